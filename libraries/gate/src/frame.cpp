#include <almondcart/core/count.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/gate/frame.hpp>
#include <almondcart/gate/usage_json.hpp>

namespace almondcart {

namespace {

Json::Value to_json(data_frame const& frame)
{
    Json::Value json;
    json["frame"] = Json::Int64(frame.number);
    json["data"] = frame.data;
    json["tokens"] = Json::Int64(frame.tokens);
    return json;
}

Json::Value to_json(final_frame const& frame)
{
    Json::Value json;
    json["frame"] = Json::Int64(frame.number);
    json["final"] = true;
    if (frame.code != result_code::ok)
        json["code"] = static_cast<int>(frame.code);
    json["status"] = frame.status;
    json["content_type"] = frame.content_type;
    json["usage"]["prompt"] = Json::Int64(frame.usage.prompt);
    json["usage"]["output"] = Json::Int64(frame.usage.output);
    json["usage"]["total"] = Json::Int64(frame.usage.total());
    json["started_ms"] = Json::Int64(frame.started_ms);
    json["parts"] = to_json(frame.parts);
    json["data"] = frame.data;
    return json;
}

Json::Value to_json(work_refusal const& refusal)
{
    Json::Value json;
    json["refused"] = static_cast<int>(refusal.code);
    json["detail"] = refusal.detail;
    if (refusal.next_attempt > 0)
        json["next_attempt"] = refusal.next_attempt;
    return json;
}

result_code read_code(json_reader& reader, std::string_view name)
{
    auto const code = result_code_from_number(static_cast<int>(reader.integer(name, 1000, 1999)));
    if (!code)
        reader.fail(name, "a known result code");
    return code.value_or(result_code::internal_error);
}

final_frame read_final(json_reader& reader)
{
    final_frame frame;
    frame.number = reader.integer("frame", 0, count_limit);
    if (!reader.boolean("final"))
        reader.fail("final", "true");
    if (reader.has("code"))
        frame.code = read_code(reader, "code");
    frame.status = static_cast<int>(reader.integer("status", 200, 599));
    frame.content_type = reader.string("content_type");
    reader.object(
        "usage",
        [&](json_reader& it)
        {
            frame.usage.prompt = it.integer("prompt", 0, count_limit / 2);
            frame.usage.output = it.integer("output", 0, count_limit / 2);
            if (it.integer("total", 0, count_limit) != frame.usage.total())
                it.fail("total", "the sum of prompt and output");
        });
    frame.started_ms = reader.integer("started_ms", 0, count_limit);
    frame.parts = read_grant_parts(reader, "parts");
    frame.data = reader.string("data");
    return frame;
}

work_line read_line(json_reader& reader)
{
    if (reader.has("refused"))
    {
        work_refusal refusal;
        refusal.code = read_code(reader, "refused");
        refusal.detail = reader.string("detail");
        refusal.next_attempt = static_cast<int>(reader.integer_or("next_attempt", 0, 1'000'001, 0));
        return refusal;
    }
    if (reader.has("final"))
        return read_final(reader);
    data_frame frame;
    frame.number = reader.integer("frame", 0, count_limit);
    frame.data = reader.string("data");
    frame.tokens = reader.integer("tokens", 0, count_limit);
    return frame;
}

} // namespace

bool is_last(work_line const& line)
{
    return !std::holds_alternative<data_frame>(line);
}

std::string to_text(work_line const& line)
{
    auto const json = std::visit([](auto const& it) { return to_json(it); }, line);
    return to_compact_json(json) + "\n";
}

absl::StatusOr<work_line> parse_work_line(std::string_view text)
{
    auto const json = parse_json(text);
    if (!json.ok())
        return json.status();
    json_reader reader(*json, "frame", result_code::malformed_request);
    auto line = read_line(reader);
    if (auto const status = reader.finish(); !status.ok())
        return status;
    return line;
}

} // namespace almondcart
