#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/log/log_client.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

constexpr std::string_view checkpoint_suffix = ".checkpoint";

bool is_valid_chunk(Json::Value const& chunk)
{
    return chunk.isObject() && chunk["stream"].isString() && chunk["first_offset"].isInt64() &&
           chunk["next_offset"].isInt64() && chunk["records"].isArray();
}

bool is_stored_record(Json::Value const& item)
{
    return item.isObject() && item["offset"].isInt64() && item["time_ms"].isInt64();
}

} // namespace

log_client::log_client(process_id writer, log_client_hooks hooks, log_client_settings settings)
    : writer_(std::move(writer))
    , hooks_(std::move(hooks))
    , settings_(settings)
{}

void log_client::follow(std::string const& stream, log_subscriber subscriber)
{
    tails_[stream].subscriber = std::move(subscriber);
}

absl::Status log_client::offer_snapshot(
    std::string const& stream,
    std::int64_t through_offset,
    Json::Value const& state)
{
    auto const it = tails_.find(stream);
    if (it == tails_.end())
        return make_status(result_code::malformed_request, "stream is not followed");
    tail& target = it->second;
    bool const is_ahead =
        through_offset >= target.next || (target.state == phase::loading && target.next == 0);
    if (is_ahead)
    {
        if (auto status = target.subscriber.restore(state, through_offset); !status.ok())
            return status;
        target.next = through_offset + 1;
        complete_restored(stream, through_offset);
        target.state = target.next < target.first_offset ? phase::gap : phase::tailing;
    }
    if (!is_available())
        mark_caught_up(target);
    return absl::OkStatus();
}

absl::StatusOr<std::int64_t> log_client::submit(record_body body, read_back_function on_read_back)
{
    std::string const stream = stream_of(body);
    if (stream.empty())
        return make_status(result_code::malformed_request, "record does not determine a stream");
    return submit(stream, std::move(body), std::move(on_read_back));
}

absl::StatusOr<std::int64_t>
log_client::submit(std::string const& stream, record_body body, read_back_function on_read_back)
{
    pending_record record;
    record.sequence = next_sequence_;
    record.value = to_json(log_record{
        writer_, next_sequence_, std::move(body), hooks_.logical_time ? hooks_.logical_time() : 0});
    record.on_read_back = std::move(on_read_back);
    if (auto status = enqueue(stream, std::move(record)); !status.ok())
        return status;
    return next_sequence_++;
}

absl::Status log_client::submit_checkpoint(
    std::string const& stream,
    std::int64_t through_offset,
    Json::Value const& state)
{
    std::string const id = to_text(writer_) + ":" + std::to_string(next_sequence_);
    auto const parts = split_checkpoint(id, through_offset, state, settings_.checkpoint_part_bytes);
    std::size_t bytes = 0;
    for (auto const& part : parts)
        bytes += to_compact_json(to_json(part)).size() + to_text(writer_).size() + 64;
    if (buffered_bytes_ + bytes > settings_.buffer_bytes)
    {
        ++counters_.refused_submissions;
        return make_status(result_code::log_unavailable, "append buffer is full");
    }
    for (auto const& part : parts)
    {
        pending_record record;
        record.sequence = next_sequence_++;
        record.value = to_json(part);
        record.value["writer"] = to_text(writer_);
        record.value["sequence"] = Json::Int64(record.sequence);
        if (auto status = enqueue(checkpoint_stream(stream), std::move(record)); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status log_client::enqueue(std::string const& stream, pending_record record)
{
    record.bytes = to_compact_json(record.value).size();
    if (buffered_bytes_ + record.bytes > settings_.buffer_bytes)
    {
        ++counters_.refused_submissions;
        return make_status(result_code::log_unavailable, "append buffer is full");
    }
    buffered_bytes_ += record.bytes;
    queues_[stream].push_back(std::move(record));
    return absl::OkStatus();
}

void log_client::tick()
{
    instant const now = hooks_.now();
    if (append_call_.is_open && now >= append_call_.deadline)
        finish_append(append_call_.id, make_status(result_code::log_unavailable, "timeout"));
    if (read_call_.is_open && now >= read_call_.deadline)
        finish_read(read_call_.id, make_status(result_code::log_unavailable, "timeout"));
    if (!append_call_.is_open && now >= append_call_.not_before)
        start_append();
    if (!read_call_.is_open && now >= read_call_.not_before)
        start_read();
}

void log_client::begin_call(call& it, duration timeout)
{
    ++it.id;
    it.is_open = true;
    it.deadline = hooks_.now() + timeout;
}

void log_client::end_call(call& it, bool succeeded)
{
    it.is_open = false;
    instant const now = hooks_.now();
    if (succeeded)
    {
        last_contact_ = now;
        it.retry_delay = duration(0);
        return;
    }
    it.retry_delay = std::min(
        std::max(settings_.flush_interval, it.retry_delay * 2), settings_.retry_delay_limit);
    it.not_before = std::max(it.not_before, now + it.retry_delay);
}

void log_client::start_append()
{
    Json::Value batches(Json::arrayValue);
    std::size_t bytes = 0;
    in_flight_.clear();
    for (auto& [stream, queue] : queues_)
    {
        sent_batch sent{stream, 0, 0};
        Json::Value records(Json::arrayValue);
        for (auto& record : queue)
        {
            if (record.is_appended)
                continue;
            // Later records of the stream must wait too. If one were appended first, readers would
            // take this one for a repeat and ignore it.
            if (bytes > 0 && bytes + record.bytes > settings_.append_bytes)
                break;
            bytes += record.bytes;
            counters_.resent_records += record.was_sent ? 1 : 0;
            record.was_sent = true;
            records.append(record.value);
            sent.last_sequence = record.sequence;
            ++sent.count;
        }
        if (sent.count == 0)
            continue;
        Json::Value batch(Json::objectValue);
        batch["stream"] = stream;
        batch["records"] = std::move(records);
        batches.append(std::move(batch));
        in_flight_.push_back(std::move(sent));
    }
    if (in_flight_.empty())
        return;
    Json::Value body(Json::objectValue);
    body["batches"] = std::move(batches);
    ++counters_.appends;
    append_call_.not_before = hooks_.now() + settings_.flush_interval;
    begin_call(append_call_, settings_.call_timeout);
    hooks_.append(
        body,
        [this, alive = std::weak_ptr(alive_), id = append_call_.id](auto const& response)
        {
            if (!alive.expired())
                finish_append(id, response);
        });
}

void log_client::finish_append(std::uint64_t id, absl::StatusOr<Json::Value> const& response)
{
    if (!append_call_.is_open || append_call_.id != id)
        return;
    bool const succeeded =
        response.ok() && response->isObject() && (*response)["results"].isArray();
    end_call(append_call_, succeeded);
    if (!succeeded)
    {
        ++counters_.failed_appends;
        return;
    }
    std::map<std::string, std::int64_t> first_offsets;
    for (auto const& result : (*response)["results"])
    {
        if (result.isObject() && result["stream"].isString() && result["first_offset"].isInt64())
            first_offsets[result["stream"].asString()] = result["first_offset"].asInt64();
    }
    mark_appended(first_offsets);
}

void log_client::mark_appended(std::map<std::string, std::int64_t> const& first_offsets)
{
    for (auto const& sent : std::exchange(in_flight_, {}))
    {
        auto const first = first_offsets.find(sent.stream);
        if (first == first_offsets.end())
            continue;
        auto& queue = queues_[sent.stream];
        if (tails_.contains(sent.stream))
        {
            std::int64_t offset = first->second + sent.count;
            for (auto it = queue.rbegin(); it != queue.rend(); ++it)
            {
                if (it->is_appended || it->sequence > sent.last_sequence)
                    continue;
                it->is_appended = true;
                it->offset = --offset;
            }
            continue;
        }
        for (std::int64_t n = 0; n < sent.count; ++n)
        {
            pending_record const record = std::move(queue.front());
            queue.pop_front();
            buffered_bytes_ -= record.bytes;
            if (record.on_read_back)
                record.on_read_back(first->second + n);
        }
    }
}

void log_client::start_read()
{
    if (tails_.empty())
        return;
    Json::Value positions(Json::arrayValue);
    for (std::size_t n = 0; n < tails_.size(); ++n)
    {
        // Rotates the order, so that one busy stream cannot use up the limit of every read.
        auto const it = std::next(
            tails_.begin(), static_cast<std::ptrdiff_t>((first_stream_ + n) % tails_.size()));
        bool const is_tailing = it->second.state == phase::tailing;
        Json::Value position(Json::objectValue);
        position["stream"] = is_tailing ? it->first : checkpoint_stream(it->first);
        position["from"] = Json::Int64(is_tailing ? it->second.next : it->second.checkpoint_next);
        positions.append(std::move(position));
    }
    ++first_stream_;
    Json::Value body(Json::objectValue);
    body["positions"] = std::move(positions);
    body["limit"] = settings_.read_limit;
    // The loading of a stream must not wait for new records on the others.
    bool const is_loading = std::ranges::any_of(
        tails_,
        [](auto const& it) { return !it.second.has_caught_up && it.second.state != phase::gap; });
    auto const wait = is_loading ? duration(0) : settings_.read_wait;
    body["wait_ms"] = Json::Int64(wait.count());
    ++counters_.reads;
    begin_call(read_call_, wait + settings_.call_timeout);
    hooks_.read(
        body,
        [this, alive = std::weak_ptr(alive_), id = read_call_.id](auto const& response)
        {
            if (!alive.expired())
                finish_read(id, response);
        });
}

void log_client::finish_read(std::uint64_t id, absl::StatusOr<Json::Value> const& response)
{
    if (!read_call_.is_open || read_call_.id != id)
        return;
    bool const succeeded = response.ok() && response->isObject() &&
                           (*response)["streams"].isArray() &&
                           std::ranges::all_of((*response)["streams"], is_valid_chunk);
    end_call(read_call_, succeeded);
    if (!succeeded)
    {
        ++counters_.failed_reads;
        return;
    }
    int count = 0;
    for (auto const& chunk : (*response)["streams"])
        count += static_cast<int>(chunk["records"].size());
    for (auto const& chunk : (*response)["streams"])
        process_chunk(chunk, count >= settings_.read_limit);
}

void log_client::process_chunk(Json::Value const& chunk, bool is_truncated)
{
    std::string const name = chunk["stream"].asString();
    auto const it = tails_.find(name);
    if (it == tails_.end())
    {
        if (name.ends_with(checkpoint_suffix))
            process_checkpoint_chunk(
                name.substr(0, name.size() - checkpoint_suffix.size()), chunk, is_truncated);
        return;
    }
    tail& target = it->second;
    target.first_offset = chunk["first_offset"].asInt64();
    target.end = std::max(target.end, chunk["next_offset"].asInt64());
    if (target.state != phase::tailing)
        return;
    if (target.first_offset > target.next)
    {
        begin_gap(target);
        return;
    }
    process_records(name, chunk);
    if (!is_truncated && target.next >= target.end)
        mark_caught_up(target);
}

void log_client::begin_gap(tail& it)
{
    it.state = phase::gap;
    it.checkpoint_next = 0;
    it.checkpoints = {};
    ++counters_.gaps;
    if (it.subscriber.on_gap)
        it.subscriber.on_gap(it.next, it.first_offset);
}

void log_client::process_checkpoint_chunk(
    std::string const& stream,
    Json::Value const& chunk,
    bool is_truncated)
{
    auto const it = tails_.find(stream);
    if (it == tails_.end() || it->second.state == phase::tailing)
        return;
    tail& target = it->second;
    for (auto const& item : chunk["records"])
    {
        if (!is_stored_record(item) || item["offset"].asInt64() < target.checkpoint_next)
            continue;
        target.checkpoint_next = item["offset"].asInt64() + 1;
        if (auto part = parse_checkpoint_part(item["data"]); part.ok())
            target.checkpoints.add(*std::move(part), item["time_ms"].asInt64());
        else
            ++counters_.unparsed_records;
    }
    if (is_truncated || target.checkpoint_next < chunk["next_offset"].asInt64())
    {
        // Skips parts that have expired from the log.
        target.checkpoint_next = std::max(target.checkpoint_next, chunk["first_offset"].asInt64());
        if (is_truncated || target.checkpoint_next < chunk["next_offset"].asInt64())
            return;
    }
    auto const& newest = target.checkpoints.newest();
    bool const is_ahead = newest && newest->through_offset >= target.next;
    if (is_ahead && target.subscriber.restore(newest->state, newest->through_offset).ok())
    {
        target.next = newest->through_offset + 1;
        complete_restored(stream, newest->through_offset);
        target.seen_checkpoint = checkpoint{newest->through_offset, newest->time_ms, {}};
    }
    if (target.state == phase::loading || target.next >= target.first_offset)
    {
        target.state = phase::tailing;
        target.checkpoints = {};
    }
}

void log_client::process_records(std::string const& stream, Json::Value const& chunk)
{
    for (auto const& item : chunk["records"])
    {
        // Looked up for each record, because a subscriber may restore a newer state on delivery.
        tail& target = tails_.at(stream);
        if (!is_stored_record(item) || item["offset"].asInt64() < target.next)
            continue;
        target.next = item["offset"].asInt64() + 1;
        ++counters_.records_read;
        deliver(stream, item);
    }
}

void log_client::deliver(std::string const& stream, Json::Value const& item)
{
    auto const& subscriber = tails_.at(stream).subscriber;
    std::int64_t const offset = item["offset"].asInt64();
    std::int64_t const time_ms = item["time_ms"].asInt64();
    auto record = parse_record(item["data"]);
    if (!record.ok())
    {
        ++counters_.unparsed_records;
        spdlog::warn(
            "[log] skipped unparsable record of {} at offset {}: {}",
            stream,
            offset,
            std::string(record.status().message()));
        if (subscriber.on_unparsed)
            subscriber.on_unparsed(offset, time_ms);
        return;
    }
    stored_record const stored{offset, time_ms, *std::move(record)};
    if (subscriber.on_record)
        subscriber.on_record(stored);
    complete_read_back(stream, stored);
}

void log_client::complete_read_back(std::string const& stream, stored_record const& record)
{
    auto const it = queues_.find(stream);
    if (record.record.writer != writer_ || it == queues_.end())
        return;
    auto const entry =
        std::ranges::find(it->second, record.record.sequence, &pending_record::sequence);
    if (entry == it->second.end())
        return;
    auto const on_read_back = std::move(entry->on_read_back);
    buffered_bytes_ -= entry->bytes;
    it->second.erase(entry);
    if (on_read_back)
        on_read_back(record.offset);
}

void log_client::complete_restored(std::string const& stream, std::int64_t through_offset)
{
    auto& queue = queues_[stream];
    while (!queue.empty() && queue.front().is_appended && queue.front().offset <= through_offset)
    {
        pending_record const record = std::move(queue.front());
        queue.pop_front();
        buffered_bytes_ -= record.bytes;
        if (record.on_read_back)
            record.on_read_back(record.offset);
    }
}

void log_client::mark_caught_up(tail& it)
{
    it.has_caught_up = true;
    if (was_caught_up_ || !has_caught_up())
        return;
    was_caught_up_ = true;
    if (on_caught_up_)
        on_caught_up_();
}

bool log_client::has_caught_up() const
{
    return std::ranges::all_of(tails_, [](auto const& it) { return it.second.has_caught_up; });
}

bool log_client::is_available() const
{
    return last_contact_ && hooks_.now() - *last_contact_ <= settings_.contact_timeout;
}

std::int64_t log_client::lag(std::string const& stream) const
{
    auto const it = tails_.find(stream);
    return it == tails_.end() ? 0 : std::max<std::int64_t>(0, it->second.end - it->second.next);
}

std::int64_t log_client::position(std::string const& stream) const
{
    auto const it = tails_.find(stream);
    return it == tails_.end() ? 0 : it->second.next;
}

std::optional<checkpoint> log_client::newest_checkpoint(std::string const& stream) const
{
    auto const it = tails_.find(stream);
    return it == tails_.end() ? std::nullopt : it->second.seen_checkpoint;
}

std::size_t log_client::buffered_records() const
{
    std::size_t count = 0;
    for (auto const& [stream, queue] : queues_)
        count += queue.size();
    return count;
}

} // namespace almondcart
