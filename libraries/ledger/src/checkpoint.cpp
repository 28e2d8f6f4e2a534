#include <almondcart/core/count.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/ledger/checkpoint.hpp>
#include <almondcart/ledger/identifier_json.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

constexpr int parts_limit = 1'000'000;

bool is_continuation_byte(char c)
{
    return (static_cast<unsigned char>(c) & 0xc0U) == 0x80U;
}

/// End of the slice that starts at `begin`. The text may contain bodies that are not UTF-8, so the
/// search for the start of a character goes back at most 3 bytes.
std::size_t slice_end(std::string const& text, std::size_t begin, std::size_t part_bytes)
{
    constexpr std::size_t continuation_limit = 3;
    if (text.size() - begin <= part_bytes)
        return text.size();
    std::size_t const limit = begin + part_bytes;
    for (std::size_t n = 0; n <= continuation_limit; ++n)
    {
        if (!is_continuation_byte(text[limit - n]))
            return limit - n;
    }
    return limit;
}

} // namespace

std::vector<checkpoint_part> split_checkpoint(
    std::string const& id,
    std::int64_t through_offset,
    Json::Value const& state,
    std::size_t part_bytes)
{
    std::string const text = to_compact_json(state);
    std::vector<checkpoint_part> parts;
    for (std::size_t begin = 0; begin < text.size();)
    {
        std::size_t const end = slice_end(text, begin, part_bytes);
        int const n = static_cast<int>(parts.size());
        parts.push_back({id, n, 0, through_offset, text.substr(begin, end - begin)});
        begin = end;
    }
    for (auto& part : parts)
        part.parts = static_cast<int>(parts.size());
    return parts;
}

Json::Value to_json(checkpoint_part const& part)
{
    Json::Value value(Json::objectValue);
    value["type"] = std::string(checkpoint_record_type);
    value["checkpoint"] = part.checkpoint;
    value["part"] = part.part;
    value["parts"] = part.parts;
    value["through_offset"] = Json::Int64(part.through_offset);
    value["state"] = part.state;
    return value;
}

absl::StatusOr<checkpoint_part> parse_checkpoint_part(Json::Value const& value)
{
    json_reader reader(value, "checkpoint part", result_code::malformed_request);
    if (reader.string("type") != checkpoint_record_type)
        reader.fail("type", "\"checkpoint\"");
    detail::read_process_id(reader, "writer");
    reader.integer("sequence", 0, count_limit);
    checkpoint_part part;
    part.checkpoint = reader.string("checkpoint");
    part.parts = static_cast<int>(reader.integer("parts", 1, parts_limit));
    part.part = static_cast<int>(reader.integer("part", 0, part.parts - 1));
    part.through_offset = reader.integer("through_offset", -1, count_limit);
    part.state = reader.string("state");
    if (auto status = reader.finish(); !status.ok())
        return status;
    return part;
}

void checkpoint_collector::add(checkpoint_part part, std::int64_t time_ms)
{
    if (newest_ && part.through_offset <= newest_->through_offset)
        return;
    auto const [it, is_new] = incomplete_.try_emplace(part.checkpoint);
    incomplete_checkpoint& collected = it->second;
    if (is_new)
    {
        collected.parts = part.parts;
        collected.through_offset = part.through_offset;
    }
    bool const is_consistent =
        collected.parts == part.parts && collected.through_offset == part.through_offset;
    auto const known = collected.texts.find(part.part);
    if (!is_consistent || (known != collected.texts.end() && known->second != part.state))
    {
        incomplete_.erase(it);
        return;
    }
    collected.texts[part.part] = std::move(part.state);
    if (std::cmp_equal(collected.texts.size(), collected.parts))
        complete(part.checkpoint, time_ms);
    remove_older();
}

void checkpoint_collector::complete(std::string const& id, std::int64_t time_ms)
{
    auto const node = incomplete_.extract(id);
    std::string text;
    for (auto const& [n, slice] : node.mapped().texts)
        text += slice;
    if (auto state = parse_json(text); state.ok())
        newest_ = checkpoint{node.mapped().through_offset, time_ms, *std::move(state)};
}

void checkpoint_collector::remove_older()
{
    std::erase_if(
        incomplete_,
        [this](auto const& it)
        { return newest_ && it.second.through_offset <= newest_->through_offset; });
    if (incomplete_.size() <= incomplete_limit)
        return;
    incomplete_.erase(std::ranges::min_element(
        incomplete_, {}, [](auto const& it) { return it.second.through_offset; }));
}

} // namespace almondcart
