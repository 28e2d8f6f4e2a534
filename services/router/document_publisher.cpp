#include "document_publisher.hpp"

#include <almondcart/core/count.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/document/service_document.hpp>

#include <utility>

namespace almondcart {

namespace {

constexpr duration confirmation_timeout{10'000};
constexpr duration state_poll_interval{10};

} // namespace

document_publisher::document_publisher(
    process_id self,
    fleet_state const& state,
    event_loop& loop,
    std::function<std::int64_t(record_body)> submit)
    : self_(std::move(self))
    , state_(state)
    , loop_(loop)
    , submit_(std::move(submit))
{}

void document_publisher::publish(Json::Value const& params, reply_function const& reply)
{
    json_reader reader(params, "publish", result_code::malformed_request);
    auto const document = reader.value_or_null("document");
    auto const author = reader.string_or("author", "");
    auto const given_base = reader.integer_or("base_version", -1, count_limit, -1);
    if (auto status = reader.finish(); !status.ok())
    {
        reply(status);
        return;
    }
    auto const parsed = service_document::parse(document, "document");
    if (!parsed.ok())
    {
        reply(parsed.status());
        return;
    }
    auto const& service = parsed->service();
    auto const* current = state_.configuration().find_document(service);
    auto const in_force = current == nullptr ? 0 : current->version;
    auto const base = given_base < 0 ? in_force : given_base;
    auto const publication = std::make_shared<pending_publication>();
    publication->service = service;
    publication->reply = reply;
    publication->deadline = loop_.now() + confirmation_timeout;
    publication->sequence = submit_(publish_record{service, base, document, author});
    check(publication);
}

void document_publisher::check(std::shared_ptr<pending_publication> const& publication)
{
    auto const& configuration = state_.configuration();
    if (auto const* result = configuration.find_publish_result(self_, publication->sequence))
    {
        if (!result->is_accepted)
        {
            publication->reply(make_status(
                result_code::publish_conflict,
                result->reason + "; the version in force is " + std::to_string(result->version)));
            return;
        }
        auto const* published = configuration.find_document(publication->service);
        Json::Value value(Json::objectValue);
        value["service"] = publication->service;
        value["version"] = Json::Int64(result->version);
        value["offset"] = Json::Int64(published == nullptr ? -1 : published->offset);
        publication->reply(value);
        return;
    }
    if (loop_.now() >= publication->deadline)
    {
        publication->reply(make_status(
            result_code::log_unavailable,
            "the log has not confirmed the publication; it may still be accepted"));
        return;
    }
    loop_.after(state_poll_interval, [this, publication] { check(publication); });
}

} // namespace almondcart
