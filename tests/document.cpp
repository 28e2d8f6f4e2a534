#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/document/service_document.hpp>

#include <criterion/criterion.h>

#include <functional>
#include <string>

using namespace almondcart;

namespace {

Json::Value create_document()
{
    return parse_json(R"({
        "service": "sandshare",
        "budgets": [{"account": "dune-masters", "name": "season", "total_tokens": 1000}],
        "client_accounts": [{"name": "dune-masters", "key_sha256": []}],
        "kinds": [{"name": "guidance", "priority": 0, "deadline_ms": 1300, "pool": "models",
                   "path": "/v1/chat/completions", "max_output_tokens": 64, "idempotent": true,
                   "models": ["carver-8b"]}],
        "pools": [{"name": "models", "upstreams": [{"name": "m1", "models": ["carver-8b"],
                   "slots": 4}]}]})")
        .value();
}

std::string error_after(std::function<void(Json::Value&)> const& change)
{
    auto value = create_document();
    change(value);
    auto const document = service_document::parse(value, "sandshare.json");
    cr_assert(not document.ok());
    cr_assert_eq(code_of(document.status()), result_code::document_invalid);
    return std::string(document.status().message());
}

} // namespace

// Guards against lookups that miss a part of the document, or find one for an unknown path or key.
Test(service_document, parses_and_finds_its_parts)
{
    auto const document = service_document::parse(create_document(), "sandshare.json").value();
    cr_assert_eq(document.find_first_budget("dune-masters")->total_tokens, 1000);
    cr_assert_eq(document.find_kind_for_path("/v1/chat/completions")->name, "guidance");
    cr_assert_null(document.find_kind_for_path("/v1/other"));
    cr_assert_null(document.find_account_by_key("00"));
}

// Guards against silently using the default of a misspelled member, such as a preference that is
// never applied.
Test(service_document, refuses_unknown_member)
{
    auto const error = error_after([](Json::Value& it) { it["budgets"][0]["preferene"] = "x"; });
    cr_assert_eq(error, "sandshare.json: unknown member \"budgets[0].preferene\"");
}

// Guards against two budgets or keys with the same name, with which a request could be charged
// twice.
Test(service_document, refuses_repeated_names)
{
    auto const error = error_after([](Json::Value& it) { it["budgets"].append(it["budgets"][0]); });
    cr_assert_eq(error, "sandshare.json: budget \"dune-masters/season\" is defined twice");
}

// Guards against a kind of work that no upstream can serve.
Test(service_document, refuses_missing_pool)
{
    auto const error = error_after([](Json::Value& it) { it["kinds"][0]["pool"] = "other"; });
    cr_assert_eq(error, "sandshare.json: kind \"guidance\" names the missing pool \"other\"");
}

// Guards against uncapped model requests, whose worst case could not be reserved.
Test(service_document, refuses_model_kind_without_output_cap)
{
    auto const error =
        error_after([](Json::Value& it) { it["kinds"][0].removeMember("max_output_tokens"); });
    cr_assert_eq(
        error,
        "sandshare.json: member \"kinds[0].max_output_tokens\": expected a cap on the output of "
        "each request to a model");
}
