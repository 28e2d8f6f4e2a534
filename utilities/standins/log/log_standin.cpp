#include "log_standin.hpp"

#include <almondcart/core/clock.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include "../common/standin_program.hpp"

namespace almondcart {

namespace {

constexpr std::array<std::string_view, 4> fault_mode_names = {"up", "down", "slow", "lose_answers"};

constexpr Json::Int64 read_limit_default = 500;

Json::Value expected_error(std::string const& expected)
{
    Json::Value error;
    error["error"] = "expected " + expected;
    return error;
}

bool is_append_request(Json::Value const& request)
{
    auto const& batches = request["batches"];
    return batches.isArray() && std::ranges::all_of(
                                    batches,
                                    [](Json::Value const& batch) {
                                        return batch.isObject() && batch["stream"].isString() &&
                                               batch["records"].isArray();
                                    });
}

bool is_read_request(Json::Value const& request)
{
    auto const& positions = request["positions"];
    return positions.isArray() && std::ranges::all_of(
                                      positions,
                                      [](Json::Value const& position) {
                                          return position.isObject() &&
                                                 position["stream"].isString() &&
                                                 position["from"].isInt64();
                                      });
}

} // namespace

log_standin::log_standin(event_loop& loop, http_server& server, log_standin_settings settings)
    : loop_(loop)
    , settings_(std::move(settings))
{
    if (settings_.wall_time_ms == nullptr)
        settings_.wall_time_ms = system_clock_source::wall_time_ms;
    server.route("POST", "/v1/append", [this](auto const& it) { handle_call(it, true); });
    server.route("POST", "/v1/read", [this](auto const& it) { handle_call(it, false); });
    server.route("POST", "/faults", [this](auto const& it) { set_fault(*it); });
    server.route("GET", "/stats", [this](auto const& it) { respond_stats(*it); });
}

log_standin::~log_standin()
{
    *is_alive_ = false;
    for (auto& pending : pending_reads_)
        pending.timeout.cancel();
}

void log_standin::handle_call(exchange_pointer const& exchange, bool is_append)
{
    auto const mode = consume_fault(is_append);
    auto const serve = [this, exchange, is_append, mode, is_alive = is_alive_]
    {
        if (!*is_alive)
            return;
        if (is_append)
            append(*exchange, mode == fault_mode::lose_answers);
        else
            read(exchange);
    };
    if (mode == fault_mode::down)
        exchange->abort();
    else if (mode == fault_mode::slow)
        loop_.after(delay_, serve);
    else
        serve();
}

log_standin::fault_mode log_standin::consume_fault(bool is_append)
{
    auto const mode = mode_;
    if (mode == fault_mode::lose_answers && !is_append)
        return fault_mode::up;
    if (mode != fault_mode::up && remaining_fault_calls_ > 0 && --remaining_fault_calls_ == 0)
        mode_ = fault_mode::up;
    return mode;
}

void log_standin::append(http_exchange& exchange, bool is_response_lost)
{
    auto const request = read_json_object(exchange);
    if (request.isNull())
        return;
    if (!is_append_request(request))
        return respond_json(exchange, 400, expected_error("batches of stream and records"));
    ++append_count_;
    last_time_ms_ = std::max(last_time_ms_, settings_.wall_time_ms());
    Json::Value response;
    response["results"] = Json::Value(Json::arrayValue);
    for (auto const& batch : request["batches"])
    {
        auto& target = streams_[batch["stream"].asString()];
        Json::Value result;
        result["stream"] = batch["stream"];
        result["first_offset"] = static_cast<Json::Int64>(target.end_offset());
        for (auto const& data : batch["records"])
            target.records.push_back({last_time_ms_, data});
        response["results"].append(result);
    }
    if (is_response_lost)
    {
        ++lost_response_count_;
        exchange.abort();
    }
    else
    {
        respond_json(exchange, 200, response);
    }
    serve_pending_reads();
    apply_retention();
}

void log_standin::read(exchange_pointer const& exchange)
{
    auto const request = read_json_object(*exchange);
    if (request.isNull())
        return;
    if (!is_read_request(request))
        return respond_json(*exchange, 400, expected_error("positions of stream and from"));
    ++read_count_;
    bool has_records = false;
    auto const response = read_records(request, has_records);
    auto const wait = duration(request.get("wait_ms", 0).asInt64());
    if (has_records || wait <= duration(0))
        return respond_json(*exchange, 200, response);
    auto const pending = pending_reads_.insert(pending_reads_.end(), {exchange, request, {}});
    pending->timeout = loop_.after(
        wait,
        [this, pending]
        {
            bool has_records = false;
            respond_json(*pending->exchange, 200, read_records(pending->request, has_records));
            pending_reads_.erase(pending);
        });
}

void log_standin::serve_pending_reads()
{
    for (auto pending = pending_reads_.begin(); pending != pending_reads_.end();)
    {
        bool has_records = false;
        auto const response = read_records(pending->request, has_records);
        if (!has_records)
        {
            ++pending;
            continue;
        }
        respond_json(*pending->exchange, 200, response);
        pending->timeout.cancel();
        pending = pending_reads_.erase(pending);
    }
}

Json::Value log_standin::read_records(Json::Value const& request, bool& has_records)
{
    apply_retention();
    auto remaining = request.get("limit", read_limit_default).asInt64();
    Json::Value response;
    response["streams"] = Json::Value(Json::arrayValue);
    for (auto const& position : request["positions"])
    {
        auto const& source = streams_[position["stream"].asString()];
        auto next = std::clamp(
            static_cast<std::int64_t>(position["from"].asInt64()),
            source.first_offset,
            source.end_offset());
        Json::Value records(Json::arrayValue);
        for (; next < source.end_offset() && remaining > 0; ++next, --remaining)
        {
            auto const& stored =
                source.records[static_cast<std::size_t>(next - source.first_offset)];
            Json::Value record;
            record["offset"] = static_cast<Json::Int64>(next);
            record["time_ms"] = static_cast<Json::Int64>(stored.time_ms);
            record["data"] = stored.data;
            records.append(record);
        }
        has_records = has_records || !records.empty();
        Json::Value stream;
        stream["stream"] = position["stream"];
        stream["first_offset"] = static_cast<Json::Int64>(source.first_offset);
        stream["next_offset"] = static_cast<Json::Int64>(next);
        stream["records"] = std::move(records);
        response["streams"].append(std::move(stream));
    }
    return response;
}

void log_standin::apply_retention()
{
    auto const oldest_ms = settings_.wall_time_ms() - settings_.retention_ms;
    for (auto& [name, target] : streams_)
    {
        while (
            !target.records.empty() &&
            ((settings_.retention_ms > 0 && target.records.front().time_ms < oldest_ms) ||
             (settings_.retention_count > 0 && target.records.size() > settings_.retention_count)))
        {
            target.records.pop_front();
            ++target.first_offset;
        }
    }
}

void log_standin::set_fault(http_exchange& exchange)
{
    auto const request = read_json_object(exchange);
    if (request.isNull())
        return;
    auto const name = request.get("mode", "up").asString();
    auto const found = std::ranges::find(fault_mode_names, name);
    if (found == fault_mode_names.end())
        return respond_json(exchange, 400, expected_error("mode up, down, slow or lose_answers"));
    mode_ = static_cast<fault_mode>(found - fault_mode_names.begin());
    delay_ = duration(request.get("delay_ms", 0).asInt64());
    remaining_fault_calls_ = request.get("count", 0).asInt64();
    auto const expire_before_ms = request.get("expire_before_ms", 0).asInt64();
    for (auto& [stream_name, target] : streams_)
    {
        while (!target.records.empty() && target.records.front().time_ms < expire_before_ms)
        {
            target.records.pop_front();
            ++target.first_offset;
        }
    }
    if (mode_ == fault_mode::down)
    {
        for (auto& pending : pending_reads_)
        {
            pending.timeout.cancel();
            pending.exchange->abort();
        }
        pending_reads_.clear();
    }
    respond_json(exchange, 200, Json::Value(Json::objectValue));
}

void log_standin::respond_stats(http_exchange& exchange)
{
    Json::Value stats;
    stats["appends"] = static_cast<Json::Int64>(append_count_);
    stats["reads"] = static_cast<Json::Int64>(read_count_);
    stats["lost_answers"] = static_cast<Json::Int64>(lost_response_count_);
    for (auto const& [name, target] : streams_)
        stats["streams"][name] = static_cast<Json::Int64>(target.end_offset());
    respond_json(exchange, 200, stats);
}

} // namespace almondcart
