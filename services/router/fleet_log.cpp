#include "fleet_log.hpp"

#include <almondcart/core/clock.hpp>

#include <spdlog/spdlog.h>

#include <utility>

namespace almondcart {

namespace {

/// Checkpoints written within the retention time of the log. Several are written, so that one that
/// fails or is prevented by an outage does not let needed records expire.
constexpr int checkpoints_per_retention = 4;

constexpr duration checkpoint_check_interval{1'000};

} // namespace

fleet_log::fleet_log(
    router_settings const& settings,
    process_id self,
    http_client& client,
    event_journal& journal,
    fleet_state& state,
    std::function<bool(std::string const& stream)> writes_checkpoints)
    : checkpoint_interval_(settings.log_retention / checkpoints_per_retention)
    , journal_(journal)
    , state_(state)
    , writes_checkpoints_(std::move(writes_checkpoints))
    , transport_(client, settings.log_address)
    , client_(
          std::move(self),
          {[this](Json::Value const& body, log_response_function done)
           { transport_.append(body, std::move(done)); },
           [this](Json::Value const& body, log_response_function done)
           { transport_.read(body, std::move(done)); },
           system_clock_source::create(),
           [this] { return journal_.logical_time(); }},
          {.flush_interval = settings.flush_interval})
{}

void fleet_log::start()
{
    for (auto const& stream : fleet_state::streams())
        client_.follow(stream, create_subscriber(stream));
}

log_subscriber fleet_log::create_subscriber(std::string const& stream)
{
    log_subscriber subscriber;
    subscriber.restore = [this, stream](Json::Value const& state, std::int64_t)
    {
        has_gap_ = false;
        return state_.replace(stream, state);
    };
    subscriber.on_record = [this, stream](stored_record const& record)
    {
        journal_.observe(record.record.logical_time);
        state_.apply(stream, record);
    };
    subscriber.on_unparsed = [this, stream](std::int64_t offset, std::int64_t time_ms)
    {
        spdlog::warn("[log] Skipped the record at {} of {}: it cannot be parsed.", offset, stream);
        state_.skip(stream, offset, time_ms);
    };
    subscriber.on_gap = [this, stream](std::int64_t needed, std::int64_t first_offset)
    {
        has_gap_ = true;
        spdlog::error(
            "[log] Records {} to {} of {} have expired; a checkpoint or a peer must fill the gap.",
            needed,
            first_offset - 1,
            stream);
    };
    return subscriber;
}

void fleet_log::tick()
{
    client_.tick();
    report_availability_change();
    auto const now = system_clock_source::now();
    if (now - last_checkpoint_check_ < checkpoint_check_interval)
        return;
    last_checkpoint_check_ = now;
    write_checkpoints();
}

void fleet_log::report_availability_change()
{
    if (client_.is_available() == was_available_)
        return;
    was_available_ = client_.is_available();
    if (was_available_)
        spdlog::info("[log] The log responds.");
    else
        spdlog::warn("[log] The log does not respond; serving from granted tokens and peer state.");
    event entry;
    entry.part = "log";
    entry.name = was_available_ ? "log_available" : "log_unavailable";
    journal_.record(std::move(entry));
}

void fleet_log::write_checkpoints()
{
    if (!has_caught_up() || !is_available())
        return;
    auto const now = system_clock_source::now();
    for (auto const& stream : fleet_state::streams())
    {
        if (!writes_checkpoints_(stream) || !is_checkpoint_due(stream, now))
            continue;
        auto const status =
            client_.submit_checkpoint(stream, state_.offset(stream), state_.to_json(stream));
        if (!status.ok())
        {
            spdlog::warn("[log] Could not queue a checkpoint of {}.", stream);
            return;
        }
        checkpoint_times_[stream] = now;
    }
}

bool fleet_log::is_checkpoint_due(std::string const& stream, instant now)
{
    if (state_.offset(stream) < 0)
        return false;
    auto const it = checkpoint_times_.find(stream);
    if (it != checkpoint_times_.end())
        return now - it->second >= checkpoint_interval_;
    // The first checkpoint becomes due by the age of the one that this process started with.
    auto const newest = client_.newest_checkpoint(stream);
    duration const age =
        newest ? duration(state_.time_ms() - newest->time_ms) : checkpoint_interval_;
    checkpoint_times_[stream] = now - age;
    return age >= checkpoint_interval_;
}

std::int64_t fleet_log::submit(record_body body)
{
    auto const stream = stream_of(body);
    return submit_to(stream, std::move(body));
}

std::int64_t fleet_log::submit_to(std::string const& stream, record_body body)
{
    auto const sequence = client_.submit(stream, std::move(body));
    if (sequence.ok())
        return *sequence;
    spdlog::error("[log] Could not queue a record for {}: the buffer is full.", stream);
    return -1;
}

void fleet_log::offer_snapshot(
    std::string const& stream,
    std::int64_t offset,
    Json::Value const& state)
{
    if (!client_.offer_snapshot(stream, offset, state).ok())
        spdlog::warn("[log] Refused a peer's state of {}: it is not valid.", stream);
}

} // namespace almondcart
