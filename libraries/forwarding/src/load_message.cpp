#include <almondcart/core/count.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/forwarding/load_message.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace almondcart::forwarding {

namespace {

constexpr std::array<std::pair<load_message_kind, std::string_view>, 5> kind_names{{
    {load_message_kind::query, "query"},
    {load_message_kind::answer, "answer"},
    {load_message_kind::announce, "announce"},
    {load_message_kind::prompt_read, "prompt_read"},
    {load_message_kind::end, "end"},
}};

/// Parts of a prompt in one message.
constexpr std::size_t part_limit = 16;

constexpr std::int64_t max_running = 1'000'000;
constexpr double max_tokens_per_ms = 1e6;
constexpr std::int64_t max_number = std::numeric_limits<std::int64_t>::max();

void write_prompt(Json::Value& json, prompt_info const& prompt)
{
    json["input_tokens"] = Json::Int64(prompt.input_tokens);
    auto& parts = json["parts"] = Json::Value(Json::arrayValue);
    for (std::size_t i = 0; i < std::min(prompt.parts.size(), part_limit); ++i)
    {
        Json::Value part(Json::objectValue);
        part["id"] = Json::UInt64(prompt.parts[i].id);
        part["tokens"] = Json::Int64(prompt.parts[i].tokens);
        parts.append(std::move(part));
    }
}

bool is_count(Json::Value const& value)
{
    return value.isInt64() && value.asInt64() >= 0 && value.asInt64() <= count_limit;
}

bool read_prompt(Json::Value const& json, prompt_info& prompt)
{
    if (!is_count(json["input_tokens"]) || !json["parts"].isArray() ||
        json["parts"].size() > part_limit)
        return false;
    prompt.input_tokens = json["input_tokens"].asInt64();
    for (auto const& it : json["parts"])
    {
        if (!it.isObject() || !it["id"].isUInt64() || !is_count(it["tokens"]))
            return false;
        prompt.parts.push_back({it["id"].asUInt64(), it["tokens"].asInt64()});
    }
    return true;
}

void write_load(Json::Value& json, engine_load const& load)
{
    json["waiting_tokens"] = Json::Int64(load.waiting_tokens);
    json["cached_tokens"] = Json::Int64(load.cached_tokens);
    json["running"] = load.running;
    json["tokens_per_ms"] = load.tokens_per_ms;
}

bool read_load(Json::Value const& json, engine_load& load)
{
    auto const& running = json["running"];
    auto const& speed = json["tokens_per_ms"];
    if (!is_count(json["waiting_tokens"]) || !is_count(json["cached_tokens"]) ||
        !is_count(running) || running.asInt64() > max_running || !speed.isNumeric() ||
        speed.asDouble() <= 0 || speed.asDouble() > max_tokens_per_ms)
        return false;
    load = {
        .waiting_tokens = json["waiting_tokens"].asInt64(),
        .cached_tokens = json["cached_tokens"].asInt64(),
        .running = running.asInt(),
        .tokens_per_ms = speed.asDouble()};
    return true;
}

std::optional<load_message_kind> kind_of(std::string const& name)
{
    for (auto const& [kind, text] : kind_names)
    {
        if (text == name)
            return kind;
    }
    return std::nullopt;
}

} // namespace

std::string_view name_of(load_message_kind kind)
{
    for (auto const& [value, name] : kind_names)
    {
        if (value == kind)
            return name;
    }
    return "unknown";
}

load_message load_message::query(std::int64_t number, prompt_info const& prompt)
{
    return {load_message_kind::query, number, {}, prompt, {}};
}

load_message load_message::answer(std::int64_t number, engine_load const& load)
{
    return {load_message_kind::answer, number, {}, {}, load};
}

load_message load_message::announce(std::string const& request, prompt_info const& prompt)
{
    return {load_message_kind::announce, 0, request, prompt, {}};
}

load_message load_message::prompt_read(std::string const& request)
{
    return {load_message_kind::prompt_read, 0, request, {}, {}};
}

load_message load_message::end(std::string const& request)
{
    return {load_message_kind::end, 0, request, {}, {}};
}

std::string load_message::encode() const
{
    Json::Value json(Json::objectValue);
    json["kind"] = std::string(name_of(kind));
    if (kind == load_message_kind::query || kind == load_message_kind::answer)
        json["number"] = Json::Int64(number);
    else
        json["request"] = request;
    if (kind == load_message_kind::query || kind == load_message_kind::announce)
        write_prompt(json, prompt);
    if (kind == load_message_kind::answer)
        write_load(json, load);
    return to_compact_json(json);
}

std::optional<load_message> load_message::decode(std::string_view text)
{
    auto const json = parse_json(text);
    if (!json.ok() || !json->isObject() || !(*json)["kind"].isString())
        return std::nullopt;
    auto const kind = kind_of((*json)["kind"].asString());
    if (!kind)
        return std::nullopt;
    load_message result;
    result.kind = *kind;
    if (*kind == load_message_kind::query || *kind == load_message_kind::answer)
    {
        if (!(*json)["number"].isInt64())
            return std::nullopt;
        result.number = (*json)["number"].asInt64();
    }
    else
    {
        if (!(*json)["request"].isString())
            return std::nullopt;
        result.request = (*json)["request"].asString();
    }
    bool const has_prompt =
        *kind == load_message_kind::query || *kind == load_message_kind::announce;
    if (has_prompt && !read_prompt(*json, result.prompt))
        return std::nullopt;
    if (*kind == load_message_kind::answer && !read_load(*json, result.load))
        return std::nullopt;
    return result;
}

} // namespace almondcart::forwarding
