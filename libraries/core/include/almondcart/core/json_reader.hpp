#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/core/result_code.hpp>

#include <absl/status/status.h>
#include <json/json.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart {

/// Strict reader of one JSON object. Reads members by name and keeps the first error: a missing
/// member, a wrong type, a value out of range, or a member that was never read. Errors name the
/// source, the member's path and what was expected.
///
/// Usage: read all members, then call `finish()` and check its status. A read that fails returns a
/// placeholder value.
class json_reader
{
public:
    /// `source` names the file or message in errors. `code` is the result code of the errors, for
    /// example `invalid_settings`. `value` must outlive the reader.
    json_reader(Json::Value const& value, std::string source, result_code code);

    std::string string(std::string_view name);
    std::string string_or(std::string_view name, std::string fallback);
    bool boolean(std::string_view name);
    bool boolean_or(std::string_view name, bool fallback);
    std::int64_t integer(std::string_view name, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer_or(
        std::string_view name,
        std::int64_t minimum,
        std::int64_t maximum,
        std::int64_t fallback);
    double number_or(std::string_view name, double minimum, double maximum, double fallback);
    duration milliseconds_or(std::string_view name, duration fallback);
    std::vector<std::string> strings(std::string_view name);
    std::vector<std::string> strings_or(std::string_view name, std::vector<std::string> fallback);

    /// Calls `read` with a reader for each object of the array `name`.
    void objects(std::string_view name, std::function<void(json_reader&)> const& read);

    /// Calls `read` with a reader for the object `name`.
    void object(std::string_view name, std::function<void(json_reader&)> const& read);

    bool has(std::string_view name) const;

    /// Raw value of a member of any type, or null if it is missing.
    Json::Value value_or_null(std::string_view name);

    /// Sets an error about member `name`, unless one is already set.
    void fail(std::string_view name, std::string_view expected);

    /// First error, or OK. Members that were never read are errors.
    absl::Status finish();

private:
    json_reader(Json::Value const& value, json_reader& parent, std::string path);

    Json::Value const* find(std::string_view name, bool required, std::string_view expected);
    void set_error(std::string message);
    std::string path_of(std::string_view name) const;

    Json::Value const& value_;
    std::string source_;
    std::string path_;
    result_code code_;
    json_reader* parent_ = nullptr;
    std::set<std::string, std::less<>> read_members_;
    std::optional<std::string> error_;
};

} // namespace almondcart
