#include "prepaid_log.hpp"

#include <almondcart/core/status.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

using forwarding::append_outcome;
using forwarding::draw_record;

/// Pause between reads, so that draws of several routers arrive together.
constexpr duration read_pause{30};

append_outcome outcome_of(platform::store_error error)
{
    switch (error)
    {
    case platform::store_error::position:
        return append_outcome::conflict;
    case platform::store_error::rejected:
        return append_outcome::rejected;
    case platform::store_error::unanswered:
    case platform::store_error::unreadable:
        break;
    }
    return append_outcome::unknown;
}

} // namespace

prepaid_log::prepaid_log(
    event_loop& loop,
    platform::store_client& store,
    std::string topic,
    forwarding::prepaid_holder_settings settings,
    forwarding::prepaid_holder::total_function total)
    : store_(store)
    , topic_(std::move(topic))
    , holder_(
          std::move(settings),
          {.clock = [&loop] { return loop.now(); },
           .wall_time_ms = system_clock_source::wall_time_ms,
           .append = [this](
                         std::int64_t at,
                         std::vector<draw_record> const& records,
                         std::function<void(append_outcome)> done)
           { append(at, records, std::move(done)); },
           .total = std::move(total),
           .on_takeover =
               [](std::string const& account, std::int64_t taken, std::int64_t written_off)
           {
               spdlog::info(
                   "[prepaid] account={} takes over tokens={} written_off={}",
                   account,
                   taken,
                   written_off);
           }})
    , follower_(loop, store, {.topic = topic_, .pause = read_pause}, create_hooks())
{}

platform::keyed_topic::hooks prepaid_log::create_hooks()
{
    platform::keyed_topic::hooks hooks;
    hooks.on_snapshot = [this](auto const& records, std::int64_t /*end*/)
    {
        // The ledger takes records in the order of the log.
        std::vector<platform::keyed_record const*> ordered;
        ordered.reserve(records.size());
        for (auto const& [key, record] : records)
            ordered.push_back(&record);
        std::ranges::sort(ordered, {}, [](auto const* it) { return it->offset; });
        for (auto const* record : ordered)
            apply(*record);
    };
    hooks.on_record = [this](platform::keyed_record const& record) { apply(record); };
    hooks.on_position = [this](std::int64_t end) { holder_.advance(end); };
    hooks.on_lost = [](platform::store_error error)
    { spdlog::warn("[prepaid] lost the store: {}", platform::name_of(error)); };
    hooks.on_regained = [] { spdlog::info("[prepaid] regained the store"); };
    return hooks;
}

void prepaid_log::apply(platform::keyed_record const& record)
{
    if (!record.value)
    {
        holder_.skip(record.offset);
        return;
    }
    auto const draw = draw_record::parse(record.key, *record.value);
    if (draw.ok())
    {
        holder_.apply(record.offset, *draw);
        return;
    }
    spdlog::error("[prepaid] offset={} unreadable: {}", record.offset, message_of(draw.status()));
    holder_.skip(record.offset);
}

void prepaid_log::append(
    std::int64_t at,
    std::vector<draw_record> const& records,
    std::function<void(append_outcome)> done)
{
    std::vector<platform::keyed_record> encoded;
    encoded.reserve(records.size());
    for (auto const& it : records)
        encoded.push_back({0, it.key(), it.value()});
    store_.append(
        topic_,
        at,
        encoded,
        [this, done = std::move(done), at, n = records.size()](
            platform::store_result<std::int64_t> const& result)
        {
            auto const outcome =
                result.has_value() ? append_outcome::appended : outcome_of(result.error);
            spdlog::info(
                "[prepaid] append at={} records={} outcome={}",
                at,
                n,
                result.has_value() ? "appended" : platform::name_of(result.error));
            if (outcome == append_outcome::conflict)
                follower_.hurry();
            done(outcome);
        });
}

} // namespace almondcart
