#include <almondcart/core/count.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/ledger/configuration_state.hpp>
#include <almondcart/ledger/identifier_json.hpp>

#include <algorithm>
#include <iterator>

namespace almondcart {

namespace {

struct counter_member
{
    char const* name;
    std::int64_t configuration_refusals::*member;
};

constexpr counter_member refusal_members[] = {
    {"rejected_publishes", &configuration_refusals::rejected_publishes},
    {"known_facts", &configuration_refusals::known_facts},
    {"invalid", &configuration_refusals::invalid},
    {"repeats", &configuration_refusals::repeats},
    {"unparsed", &configuration_refusals::unparsed},
};

bool is_blocking(crash_entry const& entry)
{
    return entry.agents.size() >= configuration_state::crashes_to_block;
}

} // namespace

void configuration_state::apply(stored_record const& record)
{
    if (record.offset <= offset_)
        return;
    advance_to(record.offset, record.time_ms);
    if (writers_.insert(record.record.writer, record.record.sequence, time_ms_))
        apply_record(record.record);
    else
        ++refusals_.repeats;
}

void configuration_state::advance(std::int64_t offset)
{
    offset_ = std::max(offset_, offset);
}

void configuration_state::skip(std::int64_t offset, std::int64_t time_ms)
{
    if (offset <= offset_)
        return;
    advance_to(offset, time_ms);
    ++refusals_.unparsed;
}

published_document const* configuration_state::find_document(std::string const& service) const
{
    auto const it = documents_.find(service);
    return it == documents_.end() ? nullptr : &it->second;
}

publish_result const*
configuration_state::find_publish_result(process_id const& writer, std::int64_t sequence) const
{
    auto const it = std::ranges::find_if(
        results_,
        [&](publish_result const& result)
        { return result.writer == writer && result.sequence == sequence; });
    return it == results_.end() ? nullptr : &*it;
}

bool configuration_state::is_blocked(std::string const& fingerprint) const
{
    auto const it = crashes_.find(fingerprint);
    return it != crashes_.end() && is_blocking(it->second);
}

void configuration_state::advance_to(std::int64_t offset, std::int64_t time_ms)
{
    offset_ = offset;
    time_ms_ = std::max(time_ms_, time_ms);
    // A publication that is repeated after its writer was removed is rejected by `base_version`.
    writers_.remove_idle(
        time_ms_, [](process_id const&) { return false; }, [](process_id const&) {});
}

void configuration_state::apply_record(log_record const& record)
{
    if (auto const* publish = std::get_if<publish_record>(&record.body))
        apply_publish(record, *publish);
    else if (auto const* crash = std::get_if<crash_report_record>(&record.body))
        apply_crash_report(*crash);
    else
        ++refusals_.invalid;
}

void configuration_state::apply_publish(log_record const& record, publish_record const& body)
{
    publish_result result;
    result.writer = record.writer;
    result.sequence = record.sequence;
    result.service = body.service;
    std::shared_ptr<service_document const> document;
    result.reason = check_publish(body, document);
    result.is_accepted = result.reason.empty();
    if (result.is_accepted)
    {
        result.version = body.base_version + 1;
        documents_[body.service] = {
            result.version, offset_, time_ms_, body.author, std::move(document)};
    }
    else
    {
        auto const* current = find_document(body.service);
        result.version = current == nullptr ? 0 : current->version;
        ++refusals_.rejected_publishes;
    }
    results_.push_back(std::move(result));
    if (results_.size() > publish_result_limit)
        results_.pop_front();
}

std::string configuration_state::check_publish(
    publish_record const& body,
    std::shared_ptr<service_document const>& document) const
{
    auto const* current = find_document(body.service);
    std::int64_t const version = current == nullptr ? 0 : current->version;
    if (body.base_version != version)
    {
        return "base version " + std::to_string(body.base_version) +
               " is not the current version " + std::to_string(version);
    }
    auto parsed = service_document::parse(body.document, "document");
    if (!parsed.ok())
        return std::string(parsed.status().message());
    if (parsed->service() != body.service)
        return "document names service \"" + parsed->service() + "\"";
    if (auto reason = find_key_conflict(*parsed); !reason.empty())
        return reason;
    document = std::make_shared<service_document const>(*std::move(parsed));
    return {};
}

std::string configuration_state::find_key_conflict(service_document const& document) const
{
    for (auto const& [service, published] : documents_)
    {
        if (service == document.service())
            continue;
        for (auto const& account : document.client_accounts())
        {
            for (auto const& key : account.key_sha256)
            {
                if (published.document->find_account_by_key(key) != nullptr)
                {
                    return "a key of client account \"" + account.name +
                           "\" belongs to a client account of service \"" + service + "\"";
                }
            }
        }
    }
    return {};
}

void configuration_state::apply_crash_report(crash_report_record const& body)
{
    crash_entry& entry = crashes_[body.fingerprint];
    if (is_blocking(entry) || !entry.agents.insert(body.agent).second)
    {
        ++refusals_.known_facts;
        return;
    }
    entry.last_offset = offset_;
    evict_fingerprints();
}

void configuration_state::evict_fingerprints()
{
    if (crashes_.size() <= fingerprint_limit)
        return;
    auto const oldest = std::ranges::min_element(
        crashes_,
        {},
        [](auto const& it) { return std::pair(is_blocking(it.second), it.second.last_offset); });
    crashes_.erase(oldest);
}

Json::Value configuration_state::to_json() const
{
    Json::Value value(Json::objectValue);
    value["offset"] = Json::Int64(offset_);
    value["time_ms"] = Json::Int64(time_ms_);
    value["documents"] = documents_to_json();
    value["results"] = results_to_json();
    value["crashes"] = crashes_to_json();
    value["writers"] = writers_.to_json();
    for (auto const& [name, member] : refusal_members)
        value["refusals"][name] = Json::Int64(refusals_.*member);
    return value;
}

Json::Value configuration_state::documents_to_json() const
{
    Json::Value value(Json::arrayValue);
    for (auto const& [service, published] : documents_)
    {
        Json::Value item(Json::objectValue);
        item["version"] = Json::Int64(published.version);
        item["offset"] = Json::Int64(published.offset);
        item["time_ms"] = Json::Int64(published.time_ms);
        item["author"] = published.author;
        item["document"] = published.document->json();
        value.append(item);
    }
    return value;
}

Json::Value configuration_state::results_to_json() const
{
    Json::Value value(Json::arrayValue);
    for (auto const& result : results_)
    {
        Json::Value item(Json::objectValue);
        item["writer"] = to_text(result.writer);
        item["sequence"] = Json::Int64(result.sequence);
        item["service"] = result.service;
        item["is_accepted"] = result.is_accepted;
        item["version"] = Json::Int64(result.version);
        item["reason"] = result.reason;
        value.append(item);
    }
    return value;
}

Json::Value configuration_state::crashes_to_json() const
{
    Json::Value value(Json::arrayValue);
    for (auto const& [fingerprint, entry] : crashes_)
    {
        Json::Value item(Json::objectValue);
        item["fingerprint"] = fingerprint;
        item["last_offset"] = Json::Int64(entry.last_offset);
        item["agents"] = Json::Value(Json::arrayValue);
        for (auto const& agent : entry.agents)
            item["agents"].append(agent);
        value.append(item);
    }
    return value;
}

absl::StatusOr<configuration_state> configuration_state::from_json(Json::Value const& value)
{
    json_reader reader(value, "configuration state", result_code::malformed_request);
    configuration_state state;
    state.read_members(reader);
    if (auto status = reader.finish(); !status.ok())
        return status;
    return state;
}

void configuration_state::read_members(json_reader& reader)
{
    offset_ = reader.integer("offset", -1, count_limit);
    time_ms_ = reader.integer("time_ms", 0, count_limit);
    reader.objects("documents", [this](json_reader& it) { read_document(it); });
    reader.objects("results", [this](json_reader& it) { read_result(it); });
    reader.objects(
        "crashes",
        [this](json_reader& it)
        {
            crash_entry& entry = crashes_[it.string("fingerprint")];
            entry.last_offset = it.integer("last_offset", 0, count_limit);
            auto const agents = it.strings("agents");
            entry.agents.insert(agents.begin(), agents.end());
        });
    writers_.read(reader, "writers");
    reader.object(
        "refusals",
        [this](json_reader& it)
        {
            for (auto const& [name, member] : refusal_members)
                refusals_.*member = it.integer(name, 0, count_limit);
        });
}

void configuration_state::read_document(json_reader& reader)
{
    published_document published;
    published.version = reader.integer("version", 1, count_limit);
    published.offset = reader.integer("offset", 0, count_limit);
    published.time_ms = reader.integer("time_ms", 0, count_limit);
    published.author = reader.string("author");
    auto document = service_document::parse(reader.value_or_null("document"), "document");
    if (!document.ok())
    {
        reader.fail("document", std::string(document.status().message()));
        return;
    }
    std::string const service = document->service();
    published.document = std::make_shared<service_document const>(*std::move(document));
    documents_[service] = std::move(published);
}

void configuration_state::read_result(json_reader& reader)
{
    publish_result result;
    result.writer = detail::read_process_id(reader, "writer");
    result.sequence = reader.integer("sequence", 0, count_limit);
    result.service = reader.string("service");
    result.is_accepted = reader.boolean("is_accepted");
    result.version = reader.integer("version", 0, count_limit);
    result.reason = reader.string("reason");
    results_.push_back(std::move(result));
}

} // namespace almondcart
