#include "store_standin.hpp"

#include <almondcart/core/clock.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/core/text.hpp>

#include <absl/strings/escaping.h>

#include <stdexcept>
#include <utility>

namespace almondcart::standins {

namespace {

constexpr std::size_t length_field_bytes = 4;
constexpr std::size_t offset_field_bytes = 8;

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    constexpr unsigned byte_bits = 8;
    constexpr unsigned byte_mask = 0xff;
    std::string text(bytes, '\0');
    for (std::size_t i = bytes; i-- > 0; value >>= byte_bits)
        text[i] = static_cast<char>(value & byte_mask);
    return text;
}

std::size_t read_length(std::string_view data)
{
    constexpr unsigned byte_bits = 8;
    std::size_t value = 0;
    for (std::size_t i = 0; i < length_field_bytes; ++i)
        value = (value << byte_bits) | static_cast<unsigned char>(data[i]);
    return value;
}

std::int64_t query_integer(http_exchange const& exchange, std::string_view name)
{
    return parse_integer<std::int64_t>(exchange.query_value(name).value_or("")).value_or(0);
}

std::string query_topic(http_exchange const& exchange)
{
    return exchange.query_value("topic").value_or("");
}

void respond_json(http_exchange& exchange, int status, Json::Value const& value)
{
    exchange.respond_text(status, "application/json", to_compact_json(value));
}

} // namespace

store_standin::store_standin(event_loop& loop)
    : loop_(loop)
{
    auto server = http_server::create(
        loop,
        {.address = "127.0.0.1:0",
         .limiter = std::make_shared<connection_limiter>(
             connection_limits::derive(0, 0), system_clock_source::create())});
    if (!server.ok())
        throw std::runtime_error("store stand-in: cannot listen on 127.0.0.1");
    server_ = *std::move(server);
    auto const route = [this](std::string_view method, std::string_view path, auto handle)
    {
        server_->route(
            method,
            path,
            [this, handle](std::shared_ptr<http_exchange> const& exchange)
            {
                if (is_down_)
                    exchange->respond_text(503, "text/plain", "");
                else if (is_overloaded_)
                    exchange->respond_text(429, "text/plain", "");
                else
                    handle(exchange);
            });
    };
    route("POST", "/-/log-append", [this](auto const& it) { handle_append(*it); });
    route("GET", "/-/log-read", [this](auto const& it) { handle_read(it); });
    route("GET", "/-/log-newest", [this](auto const& it) { handle_newest(*it); });
}

void store_standin::put(std::string const& topic, std::string const& key, std::string const& value)
{
    topics_[topic].records.push_back({key, value});
    serve_pending_reads();
}

bool store_standin::accept_producer_append(producer& writer, http_exchange& exchange)
{
    auto const epoch = query_integer(exchange, "epoch");
    auto const sequence = query_integer(exchange, "sequence");
    Json::Value response(Json::objectValue);
    if (epoch < writer.epoch)
    {
        response["reason"] = "fenced";
        respond_json(exchange, 409, response);
        return false;
    }
    if (epoch > writer.epoch)
        writer = {.epoch = epoch};
    if (exchange.body().empty())
        return true;
    if (auto const repeated = writer.offsets.find(sequence); repeated != writer.offsets.end())
    {
        response["offset"] = Json::Int64(repeated->second);
        respond_json(exchange, 200, response);
        return false;
    }
    if (writer.has_appended && sequence != writer.last_sequence + 1)
    {
        response["reason"] = "seq";
        respond_json(exchange, 409, response);
        return false;
    }
    writer.has_appended = true;
    writer.last_sequence = sequence;
    return true;
}

void store_standin::handle_append(http_exchange& exchange)
{
    constexpr std::size_t deduplicated_appends = 5;
    auto& target = topics_[query_topic(exchange)];
    auto const end = static_cast<std::int64_t>(target.records.size());
    Json::Value response(Json::objectValue);
    if (auto const name = exchange.query_value("producer"))
    {
        auto& writer = target.producers[*name];
        if (!accept_producer_append(writer, exchange))
            return;
        if (!exchange.body().empty())
            writer.offsets[writer.last_sequence] = end;
        if (writer.offsets.size() > deduplicated_appends)
            writer.offsets.erase(writer.offsets.begin());
    }
    std::string_view data = exchange.body();
    while (data.size() > length_field_bytes)
    {
        auto const length = read_length(data);
        auto const content = data.substr(length_field_bytes, length);
        auto const key_length = static_cast<unsigned char>(content[0]);
        target.records.push_back(
            {std::string(content.substr(1, key_length)),
             std::string(content.substr(1 + key_length))});
        data.remove_prefix(length_field_bytes + length);
    }
    response["offset"] = Json::Int64(end);
    response["end"] = Json::Int64(target.records.size());
    respond_json(exchange, 200, response);
    serve_pending_reads();
}

void store_standin::handle_read(std::shared_ptr<http_exchange> const& exchange)
{
    auto const name = query_topic(*exchange);
    auto const from = query_integer(*exchange, "from");
    auto const& source = topics_[name];
    if (from < source.first_offset)
    {
        exchange->respond_text(410, "application/json", "{}");
        return;
    }
    if (from < static_cast<std::int64_t>(source.records.size()))
    {
        respond_read(source, from, *exchange);
        return;
    }
    pending_reads_.push_back({name, from, exchange});
    loop_.after(
        duration(query_integer(*exchange, "waitMs")),
        [this, name, from, weak = std::weak_ptr<http_exchange>(exchange)]
        {
            auto const pending = weak.lock();
            if (pending == nullptr || pending->is_started())
                return;
            respond_read(topics_[name], from, *pending);
            std::erase_if(
                pending_reads_, [&](auto const& read) { return read.exchange == pending; });
        });
}

void store_standin::respond_read(topic const& source, std::int64_t from, http_exchange& exchange)
    const
{
    std::string body = big_endian(source.records.size(), offset_field_bytes);
    body += big_endian(static_cast<std::uint64_t>(source.first_offset), offset_field_bytes);
    for (auto i = static_cast<std::size_t>(from); i < source.records.size(); ++i)
    {
        auto const& stored = source.records[i];
        body += big_endian(1 + stored.key.size() + stored.value.size(), length_field_bytes);
        body += static_cast<char>(stored.key.size());
        body += stored.key + stored.value;
    }
    exchange.respond_text(200, "application/octet-stream", std::move(body));
}

void store_standin::handle_newest(http_exchange& exchange)
{
    ++page_count_;
    auto const requested = exchange.query_value("after").value_or("");
    auto const after = are_pages_repeated_ ? "" : requested;
    if (!after.empty() && std::exchange(is_next_page_failing_, false))
    {
        exchange.respond_text(503, "text/plain", "");
        return;
    }
    Json::Value response(Json::objectValue);
    response["items"] = Json::Value(Json::arrayValue);
    response["morePages"] = false;
    response["end"] = 0;
    auto const source = topics_.find(query_topic(exchange));
    if (source != topics_.end())
    {
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < source->second.records.size(); ++i)
            newest[source->second.records[i].key] = i;
        for (auto const& [key, offset] : newest)
        {
            auto const& value = source->second.records[offset].value;
            if (value.empty() || key <= after)
                continue;
            if (response["items"].size() == page_limit_)
            {
                response["morePages"] = true;
                break;
            }
            Json::Value item(Json::objectValue);
            item["key"] = key;
            item["value"] = absl::Base64Escape(value);
            item["offset"] = Json::Int64(offset);
            response["items"].append(item);
        }
        response["end"] = Json::Int64(source->second.records.size());
    }
    respond_json(exchange, 200, response);
}

void store_standin::serve_pending_reads()
{
    for (auto const& pending : std::exchange(pending_reads_, {}))
    {
        auto const& source = topics_[pending.topic];
        if (pending.from < static_cast<std::int64_t>(source.records.size()))
            respond_read(source, pending.from, *pending.exchange);
        else
            pending_reads_.push_back(pending);
    }
}

void store_standin::abort_pending_reads()
{
    for (auto const& pending : std::exchange(pending_reads_, {}))
        pending.exchange->abort();
}

void store_standin::compact(std::string const& topic)
{
    auto& target = topics_[topic];
    target.first_offset = static_cast<std::int64_t>(target.records.size());
}

std::optional<std::string>
store_standin::newest(std::string const& topic, std::string const& key) const
{
    auto const source = topics_.find(topic);
    if (source == topics_.end())
        return std::nullopt;
    for (auto record = source->second.records.rbegin(); record != source->second.records.rend();
         ++record)
    {
        if (record->key == key)
            return record->value;
    }
    return std::nullopt;
}

} // namespace almondcart::standins
