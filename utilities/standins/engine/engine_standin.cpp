#include "engine_standin.hpp"

#include <almondcart/core/hash.hpp>
#include <almondcart/core/json.hpp>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "../common/standin_program.hpp"

namespace almondcart {

namespace {

/// Range of the output length in words, before `max_tokens` limits it.
constexpr std::uint64_t output_tokens_minimum = 8;
constexpr std::uint64_t output_tokens_range = 57;

constexpr std::int64_t max_tokens_default = 64;
constexpr int priority_default = 5;
constexpr std::string_view requests_path = "/v1/requests/";

/// Number of requests at which all finished ones are dropped and can no longer be resumed.
constexpr std::size_t generation_limit = 4096;

std::vector<std::string_view> split_words(std::string_view text)
{
    std::vector<std::string_view> words;
    while (!text.empty())
    {
        auto const begin = text.find_first_not_of(" \t\r\n");
        if (begin == std::string_view::npos)
            break;
        text.remove_prefix(begin);
        auto const word = text.substr(0, text.find_first_of(" \t\r\n"));
        words.push_back(word);
        text.remove_prefix(word.size());
    }
    return words;
}

std::string join_prompt(Json::Value const& request)
{
    std::string prompt;
    for (auto const& message : request["messages"])
    {
        if (!prompt.empty())
            prompt += ' ';
        if (message.isObject() && message["content"].isString())
            prompt += message["content"].asString();
    }
    return prompt;
}

std::int64_t parse_integer_or(std::string_view text, std::int64_t fallback)
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(std::string(text), &value) ? value : fallback;
}

std::string request_id_in_path(std::string const& path)
{
    auto const id = path.substr(std::min(path.size(), requests_path.size()));
    return id.substr(0, id.find('/'));
}

Json::Value error_object(int code, std::string const& message)
{
    Json::Value error;
    error["code"] = code;
    error["error"] = message;
    return error;
}

} // namespace

engine_standin::engine_standin(
    event_loop& loop,
    http_server& server,
    engine_standin_settings settings)
    : loop_(loop)
    , server_(server)
    , settings_(std::move(settings))
    , cache_(settings_.cache_blocks, settings_.event_delay, settings_.event_gap_every)
{
    server.route("POST", "/v1/chat/completions", [this](auto const& it) { handle_completion(it); });
    server.route("GET", "/v1/requests", [this](auto const& it) { handle_resume(it); });
    server.route("DELETE", "/v1/requests", [this](auto const& it) { handle_cancel(it); });
    server.route("POST", "/orders", [this](auto const& it) { handle_order(*it); });
    server.route("GET", "/events", [this](auto const& it) { respond_events(*it); });
    server.route("GET", "/load", [this](auto const& it) { respond_load(*it); });
    server.route("GET", "/stats", [this](auto const& it) { respond_stats(*it); });
    refresh_load();
    step_timer_ = loop_.every(settings_.token_interval, [this] { step(); });
    load_timer_ = loop_.every(settings_.load_lag, [this] { refresh_load(); });
}

engine_standin::~engine_standin()
{
    step_timer_.cancel();
    load_timer_.cancel();
    restart_timer_.cancel();
}

std::vector<std::string>
engine_standin::expected_output(std::string_view prompt, std::int64_t max_tokens)
{
    auto const seed = hash64(prompt);
    auto const length = std::min(
        static_cast<std::uint64_t>(std::max<std::int64_t>(max_tokens, 1)),
        output_tokens_minimum + seed % output_tokens_range);
    std::vector<std::string> words;
    for (std::uint64_t i = 0; i < length; ++i)
        words.push_back("w" + std::to_string(hash64(prompt, i + 1) % 1'000'000));
    return words;
}

void engine_standin::handle_completion(exchange_pointer const& exchange)
{
    auto const request = read_json_object(*exchange);
    if (request.isNull())
        return;
    if (!request["messages"].isArray() || request["messages"].empty())
        return respond_json(
            *exchange, 400, error_object(1101, "\"messages\" must be a non-empty array"));
    auto const target = std::make_shared<generation>();
    target->id = exchange->header("request-id");
    target->is_resumable = !target->id.empty();
    if (!target->is_resumable)
        target->id = "engine-" + std::to_string(next_arrival_);
    target->model = request.get("model", "").asString();
    target->prompt = join_prompt(request);
    target->words =
        expected_output(target->prompt, request.get("max_tokens", max_tokens_default).asInt64());
    target->prompt_tokens = split_words(target->prompt).size();
    target->priority =
        static_cast<int>(parse_integer_or(exchange->header("priority"), priority_default));
    target->arrival = next_arrival_++;
    std::string const key(exchange->header("idempotency-key"));
    ++executions_[key.empty() ? target->id : key];
    if (generations_.size() >= generation_limit)
        std::erase_if(generations_, [](auto const& it) { return it.second->is_done(); });
    generations_[target->id] = target;
    active_.push_back(target);
    add_listener(target, exchange, {exchange, 0, request.get("stream", false).asBool()});
}

void engine_standin::add_listener(
    std::shared_ptr<generation> const& target,
    exchange_pointer const& exchange,
    listener added)
{
    if (added.is_stream)
        exchange->start(200, {{"content-type", "text/event-stream"}, {"request-id", target->id}});
    exchange->on_disconnect(
        [target, exchange_address = exchange.get()]
        {
            std::erase_if(
                target->listeners,
                [exchange_address](listener const& it)
                { return it.exchange.get() == exchange_address; });
            if (!target->is_resumable && target->listeners.empty())
                target->is_cancelled = true;
        });
    target->listeners.push_back(std::move(added));
    notify_listeners(*target);
}

void engine_standin::handle_resume(exchange_pointer const& exchange)
{
    auto const it = generations_.find(request_id_in_path(exchange->path()));
    if (it == generations_.end())
        return respond_json(*exchange, 404, error_object(404, "no such request"));
    auto const position = parse_integer_or(exchange->query_value("position").value_or("0"), 0);
    auto const index = static_cast<std::size_t>(std::max<std::int64_t>(position, 0));
    add_listener(it->second, exchange, {exchange, index, true});
}

void engine_standin::handle_cancel(exchange_pointer const& exchange)
{
    auto const it = generations_.find(request_id_in_path(exchange->path()));
    if (it == generations_.end())
        return respond_json(*exchange, 404, error_object(404, "no such request"));
    Json::Value response;
    response["produced"] = static_cast<Json::UInt64>(it->second->produced);
    response["was_running"] = !it->second->is_done();
    if (!it->second->is_done())
        it->second->is_cancelled = true;
    notify_listeners(*it->second);
    respond_json(*exchange, 200, response);
}

void engine_standin::step()
{
    std::erase_if(active_, [](auto const& it) { return it->is_done(); });
    schedule_batch();
    auto const now = loop_.now();
    auto const active = active_;
    for (auto const& candidate : active)
    {
        if (!candidate->is_running || candidate->is_done() || candidate->first_token_at > now)
            continue;
        if (!settings_.crash_marker.empty() &&
            candidate->prompt.find(settings_.crash_marker) != std::string::npos)
        {
            crash();
            return;
        }
        ++candidate->produced;
        notify_listeners(*candidate);
    }
}

void engine_standin::schedule_batch()
{
    std::ranges::stable_sort(
        active_,
        [](auto const& left, auto const& right)
        {
            return std::tuple(!left->is_running, left->priority, left->arrival) <
                   std::tuple(!right->is_running, right->priority, right->arrival);
        });
    auto const count = std::min(active_.size(), static_cast<std::size_t>(settings_.slots));
    for (std::size_t i = 0; i < count; ++i)
    {
        auto& next = *active_[i];
        if (next.is_running)
            continue;
        next.is_running = true;
        auto const now = loop_.now();
        auto const cached = cache_.match_and_insert(split_words(next.prompt), now);
        auto const prefill_us =
            static_cast<std::int64_t>(next.prompt_tokens - cached) * settings_.prefill_us_per_token;
        next.first_token_at = now + duration(prefill_us / 1000);
    }
}

void engine_standin::notify_listeners(generation& target)
{
    // The list is moved out, because finishing an exchange may change it.
    auto listeners = std::exchange(target.listeners, {});
    std::erase_if(listeners, [&target](listener& it) { return deliver_output(target, it); });
    for (auto& added : target.listeners)
        listeners.push_back(std::move(added));
    target.listeners = std::move(listeners);
}

bool engine_standin::deliver_output(generation const& target, listener& receiver)
{
    if (!receiver.exchange->is_open())
        return true;
    if (!receiver.is_stream)
    {
        if (!target.is_done())
            return false;
        std::string text;
        for (std::size_t i = 0; i < target.produced; ++i)
            text += (i == 0 ? "" : " ") + target.words[i];
        auto body = create_chunk(target, text, true);
        body["choices"][0]["message"] = body["choices"][0]["delta"];
        body["choices"][0].removeMember("delta");
        respond_json(*receiver.exchange, 200, body);
        return true;
    }
    for (; receiver.position < target.produced; ++receiver.position)
    {
        auto event = create_chunk(
            target, (receiver.position == 0 ? "" : " ") + target.words[receiver.position], false);
        event["position"] = static_cast<Json::UInt64>(receiver.position);
        receiver.exchange->send("data: " + to_compact_json(event) + "\n\n");
    }
    if (!target.is_done())
        return false;
    receiver.exchange->send(
        "data: " + to_compact_json(create_chunk(target, "", true)) + "\n\ndata: [DONE]\n\n");
    receiver.exchange->finish();
    return true;
}

Json::Value
engine_standin::create_chunk(generation const& target, std::string const& text, bool is_final)
{
    Json::Value value;
    value["id"] = target.id;
    value["object"] = "chat.completion.chunk";
    value["model"] = target.model;
    auto& choice = value["choices"][0];
    choice["index"] = 0;
    choice["delta"]["content"] = text;
    choice["finish_reason"] = Json::Value();
    if (!is_final)
        return value;
    choice["finish_reason"] = target.is_cancelled ? "cancelled" : "stop";
    value["usage"]["prompt_tokens"] = static_cast<Json::UInt64>(target.prompt_tokens);
    value["usage"]["completion_tokens"] = static_cast<Json::UInt64>(target.produced);
    value["usage"]["total_tokens"] =
        static_cast<Json::UInt64>(target.prompt_tokens + target.produced);
    return value;
}

void engine_standin::crash()
{
    ++crash_count_;
    active_.clear();
    generations_.clear();
    cache_.clear();
    server_.close_listener();
    server_.drop_connections();
    restart_timer_ =
        loop_.after(settings_.restart_time, [this] { static_cast<void>(server_.open_listener()); });
}

void engine_standin::handle_order(http_exchange& exchange)
{
    auto const request = read_json_object(exchange);
    if (request.isNull())
        return;
    if (!request["fencing_number"].isInt64())
        return respond_json(
            exchange, 400, error_object(1101, "\"fencing_number\" must be an integer"));
    auto const number = request["fencing_number"].asInt64();
    if (settings_.is_fencing_checked && number < fencing_number_)
        return respond_json(exchange, 409, error_object(1604, "stale fencing number"));
    fencing_number_ = std::max<std::int64_t>(fencing_number_, number);
    orders_.push_back(request);
    respond_json(exchange, 200, Json::Value(Json::objectValue));
}

void engine_standin::respond_events(http_exchange& exchange)
{
    auto const after = parse_integer_or(exchange.query_value("after").value_or("0"), 0);
    respond_json(
        exchange, 200, cache_.events_after(static_cast<std::uint64_t>(after), loop_.now()));
}

std::size_t engine_standin::running_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        active_, [](auto const& it) { return it->is_running && !it->is_done(); }));
}

void engine_standin::refresh_load()
{
    auto const running = running_count();
    load_["running"] = static_cast<Json::UInt64>(running);
    load_["queued"] = static_cast<Json::UInt64>(active_.size() - running);
    load_["slots"] = settings_.slots;
}

void engine_standin::respond_load(http_exchange& exchange) const
{
    respond_json(exchange, 200, load_);
}

void engine_standin::respond_stats(http_exchange& exchange) const
{
    Json::Value stats;
    stats["crashes"] = crash_count_;
    stats["executions"] = Json::Value(Json::objectValue);
    for (auto const& [id, count] : executions_)
        stats["executions"][id] = count;
    stats["orders"] = Json::Value(Json::arrayValue);
    for (auto const& order : orders_)
        stats["orders"].append(order);
    respond_json(exchange, 200, stats);
}

} // namespace almondcart
