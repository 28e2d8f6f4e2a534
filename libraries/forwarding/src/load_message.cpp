#include <almondcart/core/count.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/forwarding/load_message.hpp>

#include <algorithm>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// Number of values of `load_message_kind`.
constexpr std::int64_t kind_count = 5;

/// Parts of a prompt in one message.
constexpr std::size_t part_limit = 16;

constexpr std::int64_t max_running = 1'000'000;

/// Index of the first element behind the kind and the number or request.
constexpr Json::ArrayIndex prompt_index = 2;

/// Speeds are sent as integers in hundredths of a token per millisecond.
constexpr double speed_scale = 100;

void write_prompt(Json::Value& json, prompt_info const& prompt)
{
    json.append(Json::Int64(prompt.input_tokens));
    // The last part belongs to this request alone, so it is cached nowhere.
    auto const shared = prompt.parts.empty() ? 0 : prompt.parts.size() - 1;
    for (std::size_t i = 0; i < std::min(shared, part_limit); ++i)
    {
        json.append(Json::UInt64(prompt.parts[i].id));
        json.append(Json::Int64(prompt.parts[i].tokens));
    }
}

bool is_count(Json::Value const& value)
{
    return value.isInt64() && value.asInt64() >= 0 && value.asInt64() <= count_limit;
}

bool read_prompt(Json::Value const& json, prompt_info& prompt)
{
    auto const n = json.size();
    bool const is_size_valid =
        n > prompt_index && (n - prompt_index) % 2 == 1 && n <= prompt_index + 1 + 2 * part_limit;
    if (!is_size_valid || !is_count(json[prompt_index]))
        return false;
    prompt.input_tokens = json[prompt_index].asInt64();
    for (auto i = prompt_index + 1; i < n; i += 2)
    {
        if (!json[i].isUInt64() || !is_count(json[i + 1]))
            return false;
        prompt.parts.push_back({json[i].asUInt64(), json[i + 1].asInt64()});
    }
    prompt.parts.emplace_back();
    return true;
}

void write_load(Json::Value& json, engine_load const& load)
{
    json.append(Json::Int64(load.waiting_tokens));
    json.append(Json::Int64(load.cached_tokens));
    json.append(load.running);
    json.append(Json::Int64(static_cast<std::int64_t>(load.tokens_per_ms * speed_scale)));
}

bool read_load(Json::Value const& json, engine_load& load)
{
    constexpr Json::ArrayIndex member_count = 4;
    if (json.size() != prompt_index + member_count)
        return false;
    auto const& running = json[prompt_index + 2];
    auto const& speed = json[prompt_index + 3];
    if (!is_count(json[prompt_index]) || !is_count(json[prompt_index + 1]) || !is_count(running) ||
        running.asInt64() > max_running || !is_count(speed) || speed.asInt64() == 0)
        return false;
    load = {
        .waiting_tokens = json[prompt_index].asInt64(),
        .cached_tokens = json[prompt_index + 1].asInt64(),
        .running = running.asInt(),
        .tokens_per_ms = static_cast<double>(speed.asInt64()) / speed_scale};
    return true;
}

std::optional<load_message_kind> kind_of(Json::Value const& value)
{
    if (!value.isInt64() || value.asInt64() < 0 || value.asInt64() >= kind_count)
        return std::nullopt;
    return static_cast<load_message_kind>(value.asInt64());
}

} // namespace

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
    bool const is_exchange = kind == load_message_kind::query || kind == load_message_kind::answer;
    Json::Value json(Json::arrayValue);
    json.append(static_cast<int>(kind));
    json.append(is_exchange ? Json::Value(Json::Int64(number)) : Json::Value(request));
    if (kind == load_message_kind::query || kind == load_message_kind::announce)
        write_prompt(json, prompt);
    if (kind == load_message_kind::answer)
        write_load(json, load);
    return to_compact_json(json);
}

std::optional<load_message> load_message::decode(std::string_view text)
{
    auto const json = parse_json(text);
    if (!json.ok() || !json->isArray() || json->size() < prompt_index)
        return std::nullopt;
    auto const kind = kind_of((*json)[0]);
    if (!kind)
        return std::nullopt;
    load_message result;
    result.kind = *kind;
    bool const is_exchange =
        *kind == load_message_kind::query || *kind == load_message_kind::answer;
    auto const& id = (*json)[1];
    if (is_exchange ? !id.isInt64() : !id.isString())
        return std::nullopt;
    if (is_exchange)
        result.number = id.asInt64();
    else
        result.request = id.asString();
    bool const has_prompt =
        *kind == load_message_kind::query || *kind == load_message_kind::announce;
    if (has_prompt && !read_prompt(*json, result.prompt))
        return std::nullopt;
    if (*kind == load_message_kind::answer && !read_load(*json, result.load))
        return std::nullopt;
    return result;
}

} // namespace almondcart::forwarding
