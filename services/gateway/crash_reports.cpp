#include "crash_reports.hpp"

#include <almondcart/core/hash.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/platform/operator_records.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "record_append.hpp"

namespace almondcart {

namespace {

using forwarding::crash_record;
using forwarding::request_feature;
using forwarding::upstream_process;

/// Pause between two reads, so that records of several gateways are batched.
constexpr duration read_pause{100};

/// Records of one append.
constexpr std::size_t append_limit = 16;

/// Reports that wait while the store cannot be reached; older ones are dropped.
constexpr std::size_t queue_limit = 64;

} // namespace

crash_reports::crash_reports(
    event_loop& loop,
    platform::store_client& store,
    gateway_metrics& metrics,
    std::string vm)
    : store_(store)
    , metrics_(metrics)
    , vm_(std::move(vm))
    , quarantine_({}, create_quarantine_hooks())
    , observer_({}, create_observer_hooks(loop))
    , writer_(
          {},
          static_cast<std::uint64_t>(system_clock_source::wall_time_ms()),
          create_writer_hooks(loop))
    , follower_(
          loop,
          store,
          {.topic = platform::crash_topic, .pacing = {.pause = read_pause, .seed = hash64(vm_)}},
          create_follower_hooks())
{}

forwarding::crash_quarantine::hooks crash_reports::create_quarantine_hooks()
{
    forwarding::crash_quarantine::hooks hooks;
    hooks.wall_time_ms = system_clock_source::wall_time_ms;
    hooks.on_change = [](std::string const& service,
                         request_feature const& feature,
                         bool is_quarantined,
                         std::size_t crashes)
    {
        spdlog::warn(
            "[crashes] service={} feature={} {} crashes={}",
            service,
            feature.text(),
            is_quarantined ? "quarantined" : "released",
            crashes);
    };
    return hooks;
}

forwarding::crash_observer::hooks crash_reports::create_observer_hooks(event_loop& loop)
{
    forwarding::crash_observer::hooks hooks;
    hooks.clock = [&loop] { return loop.now(); };
    hooks.wall_time_ms = system_clock_source::wall_time_ms;
    hooks.is_suspect = [this](std::string const& service, request_feature const& feature)
    { return quarantine_.is_suspect(service, feature); };
    hooks.report = [this](crash_record report) { queue(std::move(report)); };
    hooks.on_contradiction = [](upstream_process const& it)
    {
        spdlog::info(
            "[crashes] upstream={} started_ms={} responds after a loss, no crash reported",
            it.id,
            it.started_ms);
    };
    return hooks;
}

crash_reports::writer::hooks crash_reports::create_writer_hooks(event_loop& loop)
{
    writer::hooks hooks;
    hooks.clock = [&loop] { return loop.now(); };
    hooks.append = [this](
                       writer::append_type const& append,
                       std::function<void(forwarding::append_result)> const& done)
    { append_records(store_, platform::crash_topic, vm_, "crashes", append, done); };
    hooks.on_end = [this](
                       forwarding::write_outcome outcome,
                       std::vector<crash_record> const& records,
                       std::int64_t /*offset*/)
    {
        // A report that is on the log twice has no further effect.
        if (outcome != forwarding::write_outcome::appended && !writer_.is_fenced())
            queue_.insert(queue_.begin(), records.begin(), records.end());
    };
    return hooks;
}

platform::topic_follower::hooks crash_reports::create_follower_hooks()
{
    platform::topic_follower::hooks hooks;
    hooks.on_snapshot = [this](auto const& records, std::int64_t /*end*/)
    {
        quarantine_.clear();
        for (auto const* record : platform::in_log_order(records))
            apply(*record);
    };
    hooks.on_record = [this](platform::keyed_record const& record) { apply(record); };
    hooks.on_position = [this](std::int64_t) { quarantine_.update(); };
    hooks.on_disconnected = [](platform::store_error error)
    { spdlog::warn("[crashes] store unavailable: {}", platform::name_of(error)); };
    hooks.on_reconnected = [] { spdlog::info("[crashes] store available again"); };
    return hooks;
}

void crash_reports::apply(platform::keyed_record const& record)
{
    if (!record.value)
        return;
    auto const report = crash_record::parse(record.key, *record.value);
    if (!report.ok())
    {
        spdlog::error(
            "[crashes] offset={} invalid record: {}", record.offset, message_of(report.status()));
        return;
    }
    // Continues after the slots of a predecessor, so that its newest records are kept longest.
    if (report->vm == vm_ && !has_written_)
        next_slot_ = (report->slot + 1) % crash_record::slot_count;
    quarantine_.apply(*report);
}

void crash_reports::queue(crash_record report)
{
    spdlog::info(
        "[crashes] report service={} crashed={} started_ms={} requests={} first={}",
        report.service,
        report.crashed ? report.crashed->id : "-",
        report.crashed ? report.crashed->started_ms : 0,
        report.requests.size(),
        text_of(report.requests.front()));
    metrics_.count_crash_report(report.crashed.has_value());
    if (queue_.size() >= queue_limit)
    {
        spdlog::warn("[crashes] dropped a report that could not be written in time");
        queue_.pop_front();
    }
    queue_.push_back(std::move(report));
}

void crash_reports::tick()
{
    observer_.tick();
    quarantine_.update();
    metrics_.set_quarantined(quarantine_.quarantined_count());
    writer_.tick();
    write_next();
}

void crash_reports::write_next()
{
    if (queue_.empty() || !follower_.is_synced() || writer_.is_fenced() || !writer_.is_idle())
        return;
    std::vector<crash_record> records;
    while (!queue_.empty() && records.size() < append_limit)
    {
        auto report = std::move(queue_.front());
        queue_.pop_front();
        report.vm = vm_;
        report.slot = std::exchange(next_slot_, (next_slot_ + 1) % crash_record::slot_count);
        records.push_back(std::move(report));
    }
    has_written_ = true;
    writer_.write(std::move(records));
    follower_.poll_now();
}

} // namespace almondcart
