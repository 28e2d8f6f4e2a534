#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>

#include <exception>
#include <memory>

namespace almondcart {

namespace {

/// Deeper nesting is rejected before it can exhaust the stack.
constexpr int nesting_limit = 64;

Json::CharReaderBuilder create_reader_builder()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = nesting_limit;
    return builder;
}

Json::StreamWriterBuilder create_writer_builder()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
}

} // namespace

absl::StatusOr<Json::Value> parse_json(std::string_view text)
{
    static Json::CharReaderBuilder const builder = create_reader_builder();
    std::unique_ptr<Json::CharReader> const reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try
    {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return value;
    }
    catch (std::exception const& error) // jsoncpp throws when the nesting limit is exceeded
    {
        errors = error.what();
    }
    return make_status(result_code::malformed_request, "invalid JSON: " + errors);
}

std::string to_compact_json(Json::Value const& value)
{
    static Json::StreamWriterBuilder const builder = create_writer_builder();
    return Json::writeString(builder, value);
}

} // namespace almondcart
