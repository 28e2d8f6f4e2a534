#include "capacity_log.hpp"

#include <almondcart/core/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "capacity_samples.hpp"

namespace almondcart::bench {

void capacity_log::append(std::string body, response_function respond)
{
    ++appends_;
    append_bytes_ += std::int64_t(body.size());
    idle_at_ =
        std::max(idle_at_, time_.now() + log_model::one_way_latency) + log_model::service_time;
    time_.at(
        idle_at_,
        [this, body = std::move(body), respond = std::move(respond)]
        { handle_append(body, respond); });
}

void capacity_log::read(std::string body, response_function respond)
{
    time_.after(
        log_model::one_way_latency,
        [this, body = std::move(body), respond = std::move(respond)]
        { handle_read(body, respond); });
}

std::int64_t capacity_log::put(std::string const& stream, std::string record)
{
    auto& texts = streams_[stream];
    ++records_;
    record_bytes_ += std::int64_t(record.size());
    texts.push_back({sample_start_ms + time_.now().since_epoch.count(), std::move(record)});
    return std::int64_t(texts.size()) - 1;
}

void capacity_log::handle_append(std::string const& body, response_function const& respond)
{
    auto const request = parse_json(body);
    Json::Value response;
    for (auto const& batch : (*request)["batches"])
    {
        auto const stream = batch["stream"].asString();
        Json::Value result;
        result["stream"] = stream;
        result["first_offset"] = Json::UInt64(streams_[stream].size());
        for (auto const& record : batch["records"])
        {
            ++records_by_type_[record["type"].asString()];
            put(stream, to_compact_json(record));
        }
        response["results"].append(result);
    }
    respond_later(respond, to_compact_json(response));
    serve_pending_reads();
}

void capacity_log::handle_read(std::string const& body, response_function const& respond)
{
    auto const request = parse_json(body);
    if (has_records(*request) || (*request)["wait_ms"].asInt64() == 0)
    {
        respond_later(respond, create_response(*request));
        return;
    }
    auto const id = next_read_++;
    pending_reads_.push_back({id, *request, respond});
    time_.after(
        duration((*request)["wait_ms"].asInt64()),
        [this, id]
        {
            auto const it = std::ranges::find(pending_reads_, id, &pending_read::id);
            if (it == pending_reads_.end())
                return;
            respond_later(it->respond, create_response(it->request));
            pending_reads_.erase(it);
        });
}

void capacity_log::serve_pending_reads()
{
    auto const first = std::stable_partition(
        pending_reads_.begin(),
        pending_reads_.end(),
        [this](auto const& it) { return !has_records(it.request); });
    for (auto it = first; it != pending_reads_.end(); ++it)
        respond_later(it->respond, create_response(it->request));
    pending_reads_.erase(first, pending_reads_.end());
}

bool capacity_log::has_records(Json::Value const& request) const
{
    return std::ranges::any_of(
        request["positions"],
        [this](Json::Value const& position)
        {
            auto const stream = streams_.find(position["stream"].asString());
            return stream != streams_.end() &&
                   position["from"].asInt64() < std::int64_t(stream->second.size());
        });
}

std::string capacity_log::create_response(Json::Value const& request) const
{
    static std::vector<stored_entry> const none;
    auto remaining = request["limit"].asInt64();
    std::string text = R"({"streams":[)";
    char const* separator = "";
    for (auto const& position : request["positions"])
    {
        auto const name = position["stream"].asString();
        auto const found = streams_.find(name);
        auto const& records = found == streams_.end() ? none : found->second;
        auto const from = std::int64_t(position["from"].asInt64());
        auto const end = std::min(std::int64_t(records.size()), from + remaining);
        text += fmt::format(R"({}{{"first_offset":0,"records":[)", separator);
        for (auto n = from; n < end; ++n)
        {
            auto const& entry = records[std::size_t(n)];
            fmt::format_to(
                std::back_inserter(text),
                R"({}{{"data":{},"offset":{},"time_ms":{}}})",
                n == from ? "" : ",",
                entry.data,
                n,
                entry.time_ms);
        }
        remaining -= std::max<std::int64_t>(0, end - from);
        text += fmt::format(R"(],"next_offset":{},"stream":"{}"}})", std::max(from, end), name);
        separator = ",";
    }
    return text + "]}";
}

void capacity_log::respond_later(response_function const& respond, std::string text)
{
    time_.after(log_model::one_way_latency, [respond, text = std::move(text)] { respond(text); });
}

} // namespace almondcart::bench
