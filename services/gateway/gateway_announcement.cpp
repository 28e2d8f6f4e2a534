#include "gateway_announcement.hpp"

#include <almondcart/core/clock.hpp>
#include <almondcart/core/hash.hpp>
#include <almondcart/platform/operator_records.hpp>

#include <spdlog/spdlog.h>

#include <set>
#include <utility>

#include "record_append.hpp"

namespace almondcart {

namespace {

/// Pause between two reads. Gateways start and stop rarely.
constexpr duration read_pause{1000};

} // namespace

gateway_announcement::gateway_announcement(
    event_loop& loop,
    platform::store_client& store,
    std::string vm)
    : store_(store)
    , vm_(std::move(vm))
    , started_ms_(system_clock_source::wall_time_ms())
    , registry_(vm_)
    , writer_({}, static_cast<std::uint64_t>(started_ms_), create_writer_hooks(loop))
    , follower_(
          loop,
          store,
          {.topic = platform::gateway_topic, .pacing = {.pause = read_pause, .seed = hash64(vm_)}},
          create_follower_hooks())
{}

gateway_announcement::writer::hooks gateway_announcement::create_writer_hooks(event_loop& loop)
{
    writer::hooks hooks;
    hooks.clock = [&loop] { return loop.now(); };
    hooks.append = [this](
                       writer::append_type const& append,
                       std::function<void(forwarding::append_result)> const& done)
    { append_records(store_, platform::gateway_topic, vm_, "gateways", append, done); };
    hooks.on_end = [this](
                       forwarding::write_outcome outcome,
                       std::vector<forwarding::gateway_record> const& records,
                       std::int64_t /*offset*/)
    {
        if (outcome != forwarding::write_outcome::appended)
            return;
        if (records.front().is_removed)
            is_withdrawn_ = true;
        else
            registry_.set_registered();
    };
    return hooks;
}

platform::topic_follower::hooks gateway_announcement::create_follower_hooks()
{
    platform::topic_follower::hooks hooks;
    hooks.on_snapshot = [this](auto const& records, std::int64_t /*end*/)
    {
        std::set<std::string> gateways;
        for (auto const& [key, record] : records)
        {
            if (record.value)
                gateways.insert(key);
        }
        registry_.replace_all(std::move(gateways));
        spdlog::info("[gateways] known={}", registry_.size());
    };
    hooks.on_record = [this](platform::keyed_record const& record)
    { registry_.apply(record.key, record.value.has_value()); };
    hooks.on_position = [](std::int64_t) {};
    hooks.on_disconnected = [](platform::store_error error)
    { spdlog::warn("[gateways] store unavailable: {}", platform::name_of(error)); };
    hooks.on_reconnected = [] { spdlog::info("[gateways] store available again"); };
    return hooks;
}

void gateway_announcement::start()
{
    follower_.start();
    tick();
}

void gateway_announcement::tick()
{
    writer_.tick();
    if (!writer_.is_idle() || writer_.is_fenced())
        return;
    if (is_withdrawing_ && !is_withdrawn_)
        writer_.write({{vm_, started_ms_, true}});
    else if (!is_withdrawing_ && !registry_.is_registered())
        writer_.write({{vm_, started_ms_, false}});
}

void gateway_announcement::withdraw()
{
    if (std::exchange(is_withdrawing_, true))
        return;
    // A gateway that is not known to the others has nothing to remove.
    is_withdrawn_ = !registry_.is_registered() && !writer_.is_writing();
    tick();
}

} // namespace almondcart
