#include <almondcart/core/buffer_budget.hpp>
#include <almondcart/core/event_journal.hpp>
#include <almondcart/core/identifiers.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/core/text.hpp>

#include <criterion/criterion.h>

#include <deque>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

using namespace almondcart;

// Guards against accepting a settings file with a misspelled member, whose default is used instead.
Test(json_reader, reports_unknown_member)
{
    auto const value = parse_json(R"({"listen":"127.0.0.1:1","lsten":2})").value();
    json_reader reader(value, "router.json", result_code::invalid_settings);
    cr_assert_eq(reader.string("listen"), "127.0.0.1:1");
    auto const status = reader.finish();
    cr_assert_eq(code_of(status), result_code::invalid_settings);
    cr_assert_eq(status.message(), "router.json: unknown member \"lsten\"");
}

// Guards against errors that do not name the nested member that is wrong.
Test(json_reader, names_path_and_expected_type)
{
    auto const value = parse_json(R"({"budgets":[{"total_tokens":"many"}]})").value();
    json_reader reader(value, "service.json", result_code::document_invalid);
    reader.objects("budgets", [](json_reader& it) { it.integer("total_tokens", 0, 10); });
    cr_assert_eq(
        reader.finish().message(),
        "service.json: member \"budgets[0].total_tokens\": expected an integer from 0 to 10");
}

// Guards against splitting one account's records over two shards by a wrong text form.
Test(identifiers, text_forms_round_trip)
{
    budget_id const budget{{"sandshare", "dune-masters"}, "season"};
    cr_assert(parse_budget_id(to_text(budget)) == budget);
    request_id const request{budget.account, "key-0001"};
    cr_assert(parse_request_id(to_text(request)) == request);
    cr_assert(parse_grant_id("3:17") == (grant_id{3, 17}));
    cr_assert(!parse_grant_id("3:17x"));
    cr_assert(!parse_budget_id("sandshare/season"));
}

// Guards against a version of the program that assigns an account to another shard, which would
// split its budget over two streams.
Test(identifiers, shard_is_stable)
{
    cr_assert_eq(shard_of({"sandshare", "dune-masters"}), 3);
}

// Guards against effects that sort before their causes in the merged timeline.
Test(event_journal, observed_time_orders_later_events)
{
    event_journal journal(
        {"router-1", "a"}, [] { return 5; }, 2);
    journal.record({});
    journal.observe(40);
    journal.record({});
    journal.record({});
    cr_assert_eq(journal.events().size(), 2);
    cr_assert_gt(journal.events().front().logical_time, 40);
}

// Guards against documentation that differs from the HTTP status or `ran` that clients receive.
Test(result_code, documented_table_equals_code)
{
    std::ifstream file(ALMONDCART_SOURCE_DIRECTORY "/docs/result-codes.md");
    std::string documented;
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with("| 1"))
            documented += line.substr(0, line.rfind('|', line.size() - 2)) + "\n";
    }
    std::ostringstream expected;
    for (auto const& entry : result_code_table())
    {
        expected << "| " << static_cast<int>(entry.code) << " | `" << entry.name << "` | "
                 << entry.http_status << " | " << name_of(entry.ran) << " \n";
    }
    cr_assert_eq(documented, expected.str());
}

// Many peers are slow at once, and each buffer grows as far as it may. Guards against a sum that
// passes the limit, and against one peer that takes what all others need.
Test(buffer_budget, buffers_that_all_grow_stay_within_the_limit_together)
{
    constexpr std::size_t limit = 24'000'000;
    constexpr std::size_t step = 1'000;
    auto const budget = std::make_shared<buffer_budget>(limit);
    std::deque<buffer_account> accounts;
    for (int n = 0; n < 200; ++n)
        accounts.emplace_back(budget);
    bool has_grown = true;
    while (has_grown)
    {
        has_grown = false;
        for (auto& it : accounts)
        {
            if (!it.allows(it.bytes() + step))
                continue;
            it.resize(it.bytes() + step);
            has_grown = true;
        }
    }
    cr_assert_leq(budget->used_bytes(), limit);
    for (auto const& it : accounts)
        cr_assert_geq(it.bytes() + step, buffer_budget::guaranteed_bytes);
    accounts.clear();
    cr_assert_eq(budget->used_bytes(), 0);
    buffer_account single(budget);
    cr_assert(single.allows(limit / 3));
    single.resize(limit / 3 + 1);
    cr_assert_not(single.allows(limit / 3 + step));
}

// Guards against small buffers, each of which is always allowed, that fill the memory together.
Test(buffer_budget, small_buffers_pass_the_limit_by_the_overrun_at_most)
{
    constexpr std::size_t limit = 1'000'000;
    constexpr std::size_t overrun = 250'000;
    auto const budget = std::make_shared<buffer_budget>(limit, overrun);
    std::deque<buffer_account> accounts;
    for (int n = 0; n < 1'000; ++n)
    {
        auto& it = accounts.emplace_back(budget);
        if (it.allows(buffer_budget::guaranteed_bytes))
            it.resize(buffer_budget::guaranteed_bytes);
        cr_assert_leq(budget->used_bytes(), limit + overrun);
    }
    cr_assert_gt(budget->used_bytes(), limit);
    cr_assert(accounts.front().allows(accounts.front().bytes()));
}

// Guards against bytes that are no text in what is passed on as text.
Test(text, tells_valid_utf8)
{
    for (std::string const valid :
         {"", "id: 1\n", "\xc3\xa4", "\xe2\x82\xac", "\xf0\x9f\x8f\x96", "\xed\x9f\xbf"})
        cr_assert(is_valid_utf8(valid), "%s", valid.c_str());
    for (std::string const invalid :
         {"\x80",
          "\xff",
          "\xc0\xaf",
          "\xc3",
          "a\xe2\x82",
          "\xed\xa0\x80",
          "\xf4\x90\x80\x80",
          "\xf8\x88\x80\x80\x80",
          "\xe2\x28\xa1"})
        cr_assert_not(is_valid_utf8(invalid), "%zu bytes", invalid.size());
}
