#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>

#include <utility>

namespace almondcart {

json_reader::json_reader(Json::Value const& value, std::string source, result_code code)
    : value_(value)
    , source_(std::move(source))
    , code_(code)
{
    if (!value_.isObject())
        set_error("expected an object");
}

json_reader::json_reader(Json::Value const& value, json_reader& parent, std::string path)
    : value_(value)
    , source_(parent.source_)
    , path_(std::move(path))
    , code_(parent.code_)
    , parent_(&parent)
{
    if (!value_.isObject())
        set_error("member \"" + path_ + "\": expected an object");
}

std::string json_reader::string(std::string_view name)
{
    constexpr std::string_view expected = "a string";
    auto const* it = find(name, true, expected);
    if (it != nullptr && it->isString())
        return it->asString();
    fail(name, expected);
    return {};
}

std::string json_reader::string_or(std::string_view name, std::string fallback)
{
    return has(name) ? string(name) : std::move(fallback);
}

bool json_reader::boolean(std::string_view name)
{
    constexpr std::string_view expected = "true or false";
    auto const* it = find(name, true, expected);
    if (it != nullptr && it->isBool())
        return it->asBool();
    fail(name, expected);
    return false;
}

bool json_reader::boolean_or(std::string_view name, bool fallback)
{
    return has(name) ? boolean(name) : fallback;
}

std::int64_t json_reader::integer(std::string_view name, std::int64_t minimum, std::int64_t maximum)
{
    std::string const expected =
        "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    auto const* it = find(name, true, expected);
    if (it != nullptr && it->isInt64())
    {
        std::int64_t const n = it->asInt64();
        if (n >= minimum && n <= maximum)
            return n;
    }
    fail(name, expected);
    return minimum;
}

std::int64_t json_reader::integer_or(
    std::string_view name,
    std::int64_t minimum,
    std::int64_t maximum,
    std::int64_t fallback)
{
    return has(name) ? integer(name, minimum, maximum) : fallback;
}

double
json_reader::number_or(std::string_view name, double minimum, double maximum, double fallback)
{
    constexpr std::string_view expected = "a number in the allowed range";
    auto const* it = find(name, false, expected);
    if (it == nullptr)
        return fallback;
    if (it->isNumeric() && it->asDouble() >= minimum && it->asDouble() <= maximum)
        return it->asDouble();
    fail(name, expected);
    return fallback;
}

duration json_reader::milliseconds_or(std::string_view name, duration fallback)
{
    constexpr std::int64_t day_ms = 86'400'000;
    return duration(integer_or(name, 0, day_ms, fallback.count()));
}

std::vector<std::string> json_reader::strings(std::string_view name)
{
    constexpr std::string_view expected = "an array of strings";
    auto const* it = find(name, true, expected);
    std::vector<std::string> values;
    if (it == nullptr || !it->isArray())
    {
        fail(name, expected);
        return values;
    }
    for (auto const& item : *it)
    {
        if (!item.isString())
        {
            fail(name, expected);
            return {};
        }
        values.push_back(item.asString());
    }
    return values;
}

std::vector<std::string>
json_reader::strings_or(std::string_view name, std::vector<std::string> fallback)
{
    return has(name) ? strings(name) : std::move(fallback);
}

void json_reader::objects(std::string_view name, std::function<void(json_reader&)> const& read)
{
    constexpr std::string_view expected = "an array of objects";
    auto const* it = find(name, true, expected);
    if (it == nullptr || !it->isArray())
    {
        fail(name, expected);
        return;
    }
    for (Json::ArrayIndex i = 0; i < it->size(); ++i)
    {
        json_reader item((*it)[i], *this, path_of(name) + "[" + std::to_string(i) + "]");
        read(item);
        static_cast<void>(item.finish());
    }
}

void json_reader::object(std::string_view name, std::function<void(json_reader&)> const& read)
{
    auto const* it = find(name, true, "an object");
    if (it == nullptr)
        return;
    json_reader item(*it, *this, path_of(name));
    read(item);
    static_cast<void>(item.finish());
}

bool json_reader::has(std::string_view name) const
{
    return value_.isObject() && value_.isMember(std::string(name));
}

Json::Value json_reader::value_or_null(std::string_view name)
{
    auto const* it = find(name, false, "a value");
    return it == nullptr ? Json::Value() : *it;
}

void json_reader::fail(std::string_view name, std::string_view expected)
{
    set_error("member \"" + path_of(name) + "\": expected " + std::string(expected));
}

absl::Status json_reader::finish()
{
    if (!error_ && value_.isObject())
    {
        for (auto const& name : value_.getMemberNames())
        {
            if (!read_members_.contains(name))
                set_error("unknown member \"" + path_of(name) + "\"");
        }
    }
    if (!error_)
        return absl::OkStatus();
    return make_status(code_, source_ + ": " + *error_);
}

Json::Value const*
json_reader::find(std::string_view name, bool required, std::string_view expected)
{
    read_members_.emplace(name);
    if (has(name))
        return value_.find(name.data(), name.data() + name.size());
    if (required && value_.isObject())
        set_error("missing member \"" + path_of(name) + "\": expected " + std::string(expected));
    return nullptr;
}

void json_reader::set_error(std::string message)
{
    if (parent_ != nullptr)
        parent_->set_error(message);
    if (!error_)
        error_ = std::move(message);
}

std::string json_reader::path_of(std::string_view name) const
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

} // namespace almondcart
