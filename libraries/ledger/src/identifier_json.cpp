#include <almondcart/ledger/identifier_json.hpp>

namespace almondcart::detail {

namespace {

template<typename Parser>
auto read_id(json_reader& reader, std::string_view name, Parser parser, std::string_view expected)
{
    auto const id = parser(reader.string(name));
    if (!id)
        reader.fail(name, expected);
    return id.value_or(typename decltype(id)::value_type{});
}

} // namespace

budget_id read_budget_id(json_reader& reader, std::string_view name)
{
    return read_id(reader, name, parse_budget_id, "\"service/account/budget\"");
}

process_id read_process_id(json_reader& reader, std::string_view name)
{
    return read_id(reader, name, parse_process_id, "\"name@incarnation\"");
}

grant_id read_grant_id(json_reader& reader, std::string_view name)
{
    grant_id const id = read_id(reader, name, parse_grant_id, "\"shard:offset\"");
    if (id.shard < 0 || id.shard >= budget_shard_count || id.offset < 0)
        reader.fail(name, "a shard below " + std::to_string(budget_shard_count));
    return id;
}

request_id read_request_id(json_reader& reader, std::string_view name)
{
    return read_id(reader, name, parse_request_id, "\"service/account#key\"");
}

std::vector<process_id> read_process_ids(json_reader& reader, std::string_view name)
{
    std::vector<process_id> ids;
    for (auto const& text : reader.strings(name))
    {
        auto const id = parse_process_id(text);
        if (id)
            ids.push_back(*id);
        else
            reader.fail(name, "an array of \"name@incarnation\"");
    }
    return ids;
}

} // namespace almondcart::detail
