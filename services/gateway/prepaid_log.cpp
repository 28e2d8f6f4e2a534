#include "prepaid_log.hpp"

#include <almondcart/core/hash.hpp>
#include <almondcart/core/status.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "record_append.hpp"

namespace almondcart {

namespace {

using forwarding::append_result;
using forwarding::draw_record;

/// Pause between reads that nothing waits for, so that records of several gateways are batched.
constexpr duration read_pause{1000};

/// Longest such pause, while the store is overloaded. Reads that a claim waits for skip it.
constexpr duration max_read_pause{6'400};

} // namespace

prepaid_log::prepaid_log(
    event_loop& loop,
    platform::store_client& store,
    std::string topic,
    forwarding::prepaid_holder_settings settings,
    forwarding::prepaid_holder::total_function total,
    forwarding::token_transfer_client& peers)
    : store_(store)
    , peers_(peers)
    , topic_(std::move(topic))
    , producer_(settings.vm)
    , holder_(
          std::move(settings),
          {.clock = [&loop] { return loop.now(); },
           .wall_time_ms = system_clock_source::wall_time_ms,
           .append = [this](
                         forwarding::draw_append const& it,
                         std::function<void(append_result)> const& done) { append(it, done); },
           .total = std::move(total),
           .on_read_needed = [this] { follower_.poll_now(); },
           .ask_peers = [this](forwarding::token_request const& it) { return peers_.request(it); },
           .on_takeover =
               [](std::string const& account, std::int64_t given_up, std::int64_t written_off)
           {
               spdlog::info(
                   "[prepaid] account={} took over from predecessor: given_up={} written_off={}",
                   account,
                   given_up,
                   written_off);
           },
           .on_claim =
               [](draw_record const& it, bool is_accepted)
           {
               spdlog::info(
                   "[prepaid] account={} claimed={} demand_per_s={} {}",
                   it.owner.account,
                   it.claimed_tokens,
                   it.demand_per_s,
                   is_accepted ? "accepted" : "rejected");
           }})
    , follower_(
          loop,
          store,
          {.topic = topic_,
           .pacing = {.pause = read_pause, .max_pause = max_read_pause, .seed = hash64(producer_)}},
          create_hooks())
{}

platform::topic_follower::hooks prepaid_log::create_hooks()
{
    platform::topic_follower::hooks hooks;
    hooks.on_snapshot = [this](auto const& records, std::int64_t /*end*/)
    {
        // The ledger requires records in log order.
        for (auto const* record : platform::in_log_order(records))
            apply(*record);
    };
    hooks.on_record = [this](platform::keyed_record const& record) { apply(record); };
    hooks.on_position = [this](std::int64_t end) { holder_.advance(end); };
    hooks.on_disconnected = [](platform::store_error error)
    { spdlog::warn("[prepaid] store unavailable: {}", platform::name_of(error)); };
    hooks.on_reconnected = [] { spdlog::info("[prepaid] store available again"); };
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
        peers_.observe(*draw);
        return;
    }
    spdlog::error(
        "[prepaid] offset={} invalid record: {}", record.offset, message_of(draw.status()));
    holder_.skip(record.offset);
}

void prepaid_log::append(
    forwarding::draw_append const& append,
    std::function<void(append_result)> const& done)
{
    append_records(store_, topic_, producer_, "prepaid", append, done);
}

} // namespace almondcart
