#include <almondcart/core/count.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/http/http_server.hpp>
#include <almondcart/platform/exchange_headers.hpp>
#include <almondcart/platform/operator_records.hpp>
#include <almondcart/platform/topic_follower.hpp>

#include <criterion/criterion.h>
#include <platform/store_standin.hpp>

#include <optional>

using namespace almondcart;
using namespace almondcart::platform;

namespace {

constexpr char const* configuration_text = R"({
  "version":7,
  "routes":[{"name":"r-1","hostname":"club.example","pathPrefix":"/a/","kind":"streaming",
    "timeoutMs":5000,"sloMs":400,"priority":1,
    "trafficSplit":[{"backend":"models","weight":90},{"backend":"other","weight":10}],
    "attempts":2,"public":false,"streamResume":true,"new":1},
   {"name":"r-2","hostname":"club.example","pathPrefix":"/b/","kind":"unsafe","timeoutMs":1000,
    "backend":"entries"}],
  "backends":[{"name":"models","maxConns":620,"engine":{"slots":128,"kvCapacityTokens":600000,
    "stride":4}},{"name":"entries","maxConns":100}],
  "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400},
  "tenants":[{"name":"club","apiKeys":["k1","k2"],"priority":0,"prepaid":8772356}]})";

struct topic_fixture
{
    topic_fixture()
    {
        topic_follower::hooks hooks;
        hooks.on_snapshot = [this](auto const& records, std::int64_t)
        {
            ++snapshots;
            values.clear();
            for (auto const& [key, record] : records)
                values[key] = record.value.value_or("");
        };
        hooks.on_record = [this](keyed_record const& it)
        {
            if (it.value)
                values[it.key] = *it.value;
            else
                values.erase(it.key);
        };
        hooks.on_position = [](std::int64_t) {};
        hooks.on_disconnected = [this](store_error) { ++disconnects; };
        hooks.on_reconnected = [this] { ++reconnects; };
        topic = std::make_unique<topic_follower>(
            loop, client, topic_follower_settings{.topic = "keyed.op"}, std::move(hooks));
        topic->start();
    }

    event_loop loop;
    standins::store_standin store{loop};
    http_client http{loop};
    forwarding::log_path_selector paths{{}, {[this] { return loop.now(); }, {}}};
    store_client client{loop, http, paths, store.address()};
    std::map<std::string, std::string> values;
    int snapshots = 0;
    int disconnects = 0;
    int reconnects = 0;
    std::unique_ptr<topic_follower> topic;
};

} // namespace

Test(operator_records, decodes_a_configuration_into_typed_fields)
{
    auto const it = decode_configuration(configuration_text);
    cr_assert(it.ok());
    cr_assert_eq(it->version, 7);
    auto const& first = it->routes.at(0);
    cr_assert(first.kind == forwarding::request_kind::stream);
    cr_assert(first.is_retryable());
    cr_assert_eq(first.shares.at(1).weight, 10);
    cr_assert_eq(first.attempt_limit, 2);
    auto const& second = it->routes.at(1);
    cr_assert_not(second.is_retryable());
    cr_assert_eq(second.shares.at(0).service, "entries");
    cr_assert_eq(it->services.at(0).engine->tokens_per_event, 4);
    cr_assert_not(it->services.at(1).engine.has_value());
    cr_assert_eq(it->limits.body_bytes, 200);
    cr_assert_eq(*it->accounts.at(0).prepaid_tokens, 8'772'356);
}

// Guards against an invalid configuration that replaces a valid one.
Test(operator_records, names_the_member_that_is_wrong)
{
    auto const it = decode_configuration(
        R"({"version":1,"routes":[{"name":"r","hostname":"h","pathPrefix":"/","kind":"odd",
            "timeoutMs":1,"backend":"b"}]})");
    cr_assert_not(it.ok());
    cr_assert_neq(message_of(it.status()).find("routes[0].kind"), std::string::npos);
    cr_assert_not(decode_configuration("{").ok());
    cr_assert_not(decode_configuration(R"({"version":"1"})").ok());
}

// Guards against using incomplete or malformed registry entries of other writers.
Test(operator_records, rejects_entries_with_missing_or_mistyped_fields)
{
    auto const good = decode_upstream(
        "i-1",
        R"({"backend":"models","address":"10.0.0.9:80","zone":"a","slots":8,"state":"draining",
            "born":5,"sequence":4})");
    cr_assert(good.ok());
    cr_assert(good->is_draining);
    cr_assert_eq(good->started_ms, 5);
    for (auto const* text :
         {R"({"backend":"models","address":"10.0.0.9:80","zone":"a"})",
          R"({"backend":"models","address":"10.0.0.9:80","zone":"a","state":"odd"})",
          R"({"backend":7,"address":"10.0.0.9:80","zone":"a","state":"ready"})",
          R"({"backend":"models","address":"host:80","zone":"a","state":"ready"})",
          R"([1])",
          "\xff\xfe"})
        cr_assert_not(decode_upstream("i-1", text).ok(), "%s", text);
}

// Another writer leaves entries with numbers out of range or deep nesting. Guards against upstreams
// that cannot be reached or have no slots, and against an exception that ends the process.
Test(operator_records, rejects_entries_with_values_out_of_range)
{
    auto const entry = [](std::string const& port, std::string const& members)
    {
        return R"({"backend":"models","address":"10.0.0.9:)" + port +
               R"(","zone":"a","state":"ready")" + members + "}";
    };
    cr_assert(decode_upstream("i-1", entry("80", R"(,"slots":8,"born":5)")).ok());
    for (auto const* port : {"0", "-1", "65536", "70000", "99999999999999999999", "", "8 0", "+80"})
        cr_assert_not(decode_upstream("i-1", entry(port, "")).ok(), "port %s", port);
    auto const nested = std::string(100'000, '[') + std::string(100'000, ']');
    for (auto const& members : std::vector<std::string>{
             R"(,"slots":0)",
             R"(,"slots":4294967297)",
             R"(,"slots":2147483648)",
             R"(,"slots":99999999999999999999)",
             R"(,"slots":1e400)",
             R"(,"slots":8.5)",
             R"(,"born":-1)",
             R"(,"born":1e300)",
             R"(,"other":)" + nested})
        cr_assert_not(
            decode_upstream("i-1", entry("80", members)).ok(), "%s", members.substr(0, 40).c_str());
}

// Guards against statements of an upstream that are missed, taken from another upstream at its
// address, or out of bounds.
Test(exchange_headers, decodes_what_upstreams_say_of_themselves)
{
    auto const codec = create_exchange_codec();
    auto const decode = [&](int status, std::string const& name, std::string const& value) {
        return codec.decode_response(status, {{name, value}});
    };
    cr_assert(decode(200, "server-leaving", "1").is_leaving);
    cr_assert_not(decode(200, "Server-Leaving", "0").is_leaving);
    cr_assert_not(decode(421, "Server-Leaving", "1").is_leaving);
    auto const pause = [&](std::string const& value)
    { return decode(503, "Retry-After", value).pause; };
    cr_assert(pause("2") == duration(2000));
    cr_assert(pause("0.25") == duration(250));
    cr_assert(pause("0.0001") == duration(1));
    cr_assert(pause("1e300") == duration(3'600'000));
    cr_assert(pause("inf") == duration(3'600'000));
    for (auto const* value : {"", "0", "-1", "nan", "-inf", "soon", "2 s", "0x"})
        cr_assert_not(pause(value).has_value(), "%s", value);
    cr_assert_not(decode(200, "Retry-After", "2").pause.has_value());
}

// Guards against headers with which a client could impersonate the gateway, and against forwarding
// API keys to an upstream.
Test(exchange_headers, replaces_what_only_the_gateway_may_set)
{
    auto const codec = create_exchange_codec();
    auto const request = codec.decode_request(
        "POST",
        "/a/b?c",
        {{"Host", "club.example"},
         {"X-Almondcart-Request-Id", "r1"},
         {"X-Almondcart-Deadline-Ms", "5000"},
         {"X-Almondcart-Token-Count", "1460,80"},
         {"X-Almondcart-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
         {"X-Almondcart-Model", "m"},
         {"Authorization", "Bearer k1"},
         {"X-Almondcart-Tenant", "other"},
         {"X-Almondcart-Hold", "h"},
         {"X-Almondcart-Pin-Ms", "1"},
         {"X-Almondcart-Kv-Backup", "a"},
         {"Kv-From", "b"},
         {"Connection", "x-hop, X-Almondcart-Model"},
         {"X-Hop", "1"},
         {"X-Other", "2"}});
    cr_assert(request.ok());
    cr_assert_eq(request->key, "k1");
    cr_assert_eq(request->path(), "/a/b");
    cr_assert_eq(request->prompt->worst_case_tokens(), 1'540);
    cr_assert_eq(request->prompt->parts.at(1).id, 0x91bd3f06);
    auto const headers = codec.encode_attempt(*request, {"i-1", "club", duration(900), 1, "4"});
    auto const value = [&](std::string_view name)
    { return std::string(find_header(headers, name).value_or("none")); };
    cr_assert_eq(value("X-Almondcart-Tenant"), "club");
    cr_assert_eq(value("X-Almondcart-Deadline-Ms"), "900");
    cr_assert_eq(value("X-Almondcart-Expect-Instance"), "i-1");
    cr_assert_eq(value("X-Almondcart-Model"), "m");
    cr_assert_eq(value("X-Almondcart-Request-Urgency"), "1");
    cr_assert_eq(value("Last-Event-Id"), "4");
    cr_assert_eq(value("X-Other"), "2");
    for (auto const* name :
         {"Authorization",
          "X-Almondcart-Hold",
          "X-Almondcart-Pin-Ms",
          "X-Almondcart-Kv-Backup",
          "Kv-From",
          "X-Hop",
          "Connection"})
        cr_assert_eq(value(name), "none", "%s", name);
    cr_assert_not(codec.decode_request("GET", "/", {}).ok());
}

Test(exchange_headers, tells_whether_an_upstream_ran_a_request)
{
    auto const codec = create_exchange_codec();
    cr_assert(codec.decode_response(503, {{"X-Almondcart-Not-Executed", "1"}}).is_not_executed);
    cr_assert(codec.decode_response(421, {}).is_misdirected);
    cr_assert_not(codec.decode_response(503, {}).is_not_executed);
    auto const response = codec.decode_response(
        200, {{"X-Almondcart-Response-Seal", "s"}, {"Keep-Alive", "timeout=1"}});
    cr_assert(response.is_signed);
    cr_assert_eq(response.forwarded.size(), 1);
}

// Guards against an append that takes effect twice, or after a later process of the same VM has
// started.
Test(store_client, an_append_takes_effect_once_and_only_in_its_epoch)
{
    event_loop loop;
    standins::store_standin store(loop);
    http_client http(loop);
    forwarding::log_path_selector paths({}, {[&] { return loop.now(); }, {}});
    store_client client(loop, http, paths, store.address());
    std::vector<store_result<std::int64_t>> results;
    auto const append = [&](std::uint64_t epoch, std::uint64_t sequence, int records)
    {
        client.append(
            "keyed.x",
            {"vm-1", epoch, sequence},
            std::vector<keyed_record>(static_cast<std::size_t>(records), {0, "k", "v"}),
            [&](store_result<std::int64_t> const& it) { results.push_back(it); });
        auto const n = results.size() + 1;
        loop.run_until([&, n] { return results.size() == n; });
        return results.back();
    };
    cr_assert(append(7, 0, 0).has_value(), "sets the epoch");
    cr_assert_eq(*append(7, 1, 2).value, 0);
    cr_assert_eq(*append(7, 2, 1).value, 2);
    cr_assert_eq(*append(7, 1, 2).value, 0, "a resent append gets its original result");
    cr_assert(append(7, 9, 1).error == store_error::out_of_sequence);
    cr_assert(append(8, 0, 0).has_value());
    cr_assert(append(7, 3, 1).error == store_error::fenced);
    cr_assert_eq(*append(8, 1, 1).value, 3);
    store.set_down(true);
    cr_assert(append(8, 2, 1).error == store_error::rejected);
}

// A store that is overloaded rejects some pages of a large registry. Guards against starting over
// after each failure, so that a listing of many pages never completes.
Test(topic_follower, a_listing_resumes_after_a_failed_page)
{
    topic_fixture it;
    it.loop.run_until([&] { return it.snapshots == 1; });
    for (int n = 0; n < 8; ++n)
        it.store.put("keyed.op", "key-" + std::to_string(n), "value");
    it.store.set_page_limit(2);
    it.store.compact("keyed.op");
    it.store.abort_pending_reads();
    it.store.fail_next_page();
    auto const before = it.store.page_count();
    it.loop.run_until([&] { return it.snapshots == 2; });
    cr_assert_eq(it.values.size(), 8);
    cr_assert_eq(it.store.page_count() - before, 5, "four pages, one of which was requested twice");
}

// A store sends the same page of a listing whatever page is asked for. Guards against a process
// that asks for it without pause.
Test(topic_follower, a_listing_that_does_not_go_on_is_asked_for_with_pauses)
{
    topic_fixture it;
    it.loop.run_until([&] { return it.snapshots == 1; });
    for (int n = 0; n < 8; ++n)
        it.store.put("keyed.op", "key-" + std::to_string(n), "value");
    it.store.set_page_limit(2);
    it.store.set_pages_repeated(true);
    it.store.compact("keyed.op");
    it.store.abort_pending_reads();
    auto const before = it.store.page_count();
    auto const end = it.loop.now() + duration(1000);
    it.loop.run_until([&] { return it.loop.now() >= end; });
    cr_assert_lt(it.store.page_count() - before, 20);
    it.store.set_pages_repeated(false);
    it.loop.run_until([&] { return it.snapshots == 2; });
    cr_assert_eq(it.values.size(), 8);
}

// Guards against a follower that returns to its usual pause at once when a store that is overloaded
// takes a call, and against one that takes the overload for an outage.
Test(topic_follower, reads_less_often_after_the_store_was_overloaded)
{
    topic_fixture it;
    it.loop.run_until([&] { return it.snapshots == 1; });
    it.store.set_overloaded(true);
    it.loop.run_until([&] { return it.client.overloaded_count() == 4; });
    it.store.set_overloaded(false);
    it.store.put("keyed.op", "a", "1");
    it.loop.run_until([&] { return it.values["a"] == "1"; });
    auto const answered = it.loop.now();
    it.store.put("keyed.op", "a", "2");
    it.loop.run_until([&] { return it.values["a"] == "2"; });
    // The pause of 0 became 100 ms and doubled three times, and half of that is taken back.
    cr_assert_geq((it.loop.now() - answered).count(), 390);
    cr_assert_eq(it.snapshots, 1);
    cr_assert_eq(it.disconnects, 0);
}

// A claim of tokens waits for a read. Guards against one that waits for the end of a pause that is
// long because the store was overloaded.
Test(topic_follower, a_read_that_is_waited_for_is_repeated_soon)
{
    constexpr duration long_pause{1'600};
    topic_fixture it;
    it.loop.run_until([&] { return it.snapshots == 1; });
    it.store.set_overloaded(true);
    // From here on each pause is between 1.6 s and 3.2 s.
    it.loop.run_until([&] { return it.client.overloaded_count() == 6; });
    auto const begin = it.loop.now();
    it.topic->poll_now();
    it.loop.run_until([&] { return it.client.overloaded_count() == 9; });
    cr_assert_lt((it.loop.now() - begin).count(), long_pause.count());
    it.store.set_overloaded(false);
    it.store.put("keyed.op", "a", "1");
    it.loop.run_until([&] { return it.values["a"] == "1"; });
}

// Guards against missing changes while the store is down and after it has deleted old records.
Test(topic_follower, follows_a_topic_through_outages_and_deleted_records)
{
    topic_fixture it;
    it.store.put("keyed.op", "a", "1");
    it.loop.run_until([&] { return it.values["a"] == "1"; });
    it.store.set_down(true);
    it.store.abort_pending_reads();
    it.loop.run_until([&] { return it.disconnects == 1; });
    it.store.put("keyed.op", "a", "2");
    it.store.put("keyed.op", "b", "3");
    it.store.compact("keyed.op");
    it.store.set_down(false);
    it.loop.run_until([&] { return it.values["b"] == "3"; });
    cr_assert_eq(it.values["a"], "2");
    cr_assert_eq(it.reconnects, 1);
    cr_assert_eq(it.snapshots, 2);
    it.store.remove("keyed.op", "a");
    it.loop.run_until([&] { return !it.values.contains("a"); });
}

namespace {

absl::StatusOr<forwarding::client_request> decode_with_tokens(std::string const& count)
{
    auto const codec = create_exchange_codec();
    return codec.decode_request(
        "POST", "/x", {{"X-Almondcart-Request-Id", "r-1"}, {"X-Almondcart-Token-Count", count}});
}

} // namespace

// Clients state the largest numbers that there are, or what is no number. Guards against sums that
// overflow, and against requests that are served without being charged.
Test(exchange_headers, numbers_of_clients_never_overflow)
{
    constexpr auto max = "9223372036854775807";
    for (std::string const huge : {max, "9223372036854775808", "99999999999999999999999999"})
    {
        auto const request = decode_with_tokens(huge + "," + huge);
        cr_assert(request.ok());
        cr_assert_eq(request->prompt->worst_case_tokens(), 2 * count_limit);
    }
    for (std::string const bad : {"", "1", "1,", ",1", "-1,5", "5,-1", "1,2,3", "1;2", "0x10,1"})
        cr_assert_not(decode_with_tokens(bad).ok(), "%s", bad.c_str());
    auto const codec = create_exchange_codec();
    auto const request = codec.decode_request(
        "POST",
        "/x",
        {{"X-Almondcart-Request-Id", "r-1"},
         {"X-Almondcart-Token-Count", "5,5"},
         {"X-Almondcart-Deadline-Ms", max},
         {"X-Almondcart-Prompt-Prefix", std::string("a:") + max + ",b:" + max + ",c:1"}});
    cr_assert(request.ok());
    cr_assert_eq(request->time_limit->count(), count_limit);
    cr_assert_eq(request->prompt->parts.size(), 3);
    cr_assert_eq(request->prompt->parts[0].tokens, count_limit);
}

// An operator states a total or a time that means "no limit". Guards against a configuration that
// is rejected, and against sums that overflow.
Test(operator_records, numbers_without_a_limit_are_limited)
{
    auto const text = [](std::string const& n)
    {
        return R"({"version":1,"routes":[{"name":"r","hostname":"h","pathPrefix":"/","kind":"safe",)"
               R"("timeoutMs":)" +
               n + R"(,"backend":"b"}],"backends":[{"name":"b"}],"tenants":[{"name":"t",)" +
               R"("apiKeys":["k"],"prepaid":)" + n + "}]}";
    };
    for (std::string const n : {"9223372036854775807", "18446744073709551615"})
    {
        auto const configuration = decode_configuration(text(n));
        cr_assert(configuration.ok());
        cr_assert_eq(configuration->accounts[0].prepaid_tokens, count_limit);
        cr_assert_eq(configuration->routes[0].timeout.count(), count_limit);
    }
    cr_assert_not(decode_configuration(text("-1")).ok());
}

// Guards against a configuration or an upstream that is lost by a fraction or a negative number in
// what is said of cold upstreams, and against a limit of a fraction that counts as none.
Test(platform, cold_members_are_read_and_odd_ones_harm_nothing)
{
    auto const decode = [](std::string const& members)
    {
        auto const content = platform::decode_configuration(
            R"({"version":1,"backends":[{"name":"models")" + members + "}]}");
        cr_assert(content.ok());
        return content->services.at(0);
    };
    cr_assert_eq(decode("").cold_per_second, 0);
    auto const service = decode(R"(,"coldStartS":2.5,"coldPerS":20)");
    cr_assert_eq(service.cold_time.count(), 2500);
    cr_assert_eq(service.cold_per_second, 20);
    cr_assert_eq(decode(R"(,"coldPerS":0.5)").cold_per_second, 1);
    cr_assert_eq(decode(R"(,"coldPerS":-3)").cold_per_second, 0);
    auto const cold_left = [](std::string const& members)
    {
        auto const entry = platform::decode_upstream(
            "i-1",
            R"({"backend":"models","address":"10.0.0.1:80","zone":"a","state":"ready")" + members +
                "}");
        cr_assert(entry.ok());
        return entry->cold_left;
    };
    cr_assert_not(cold_left("").has_value());
    cr_assert_eq(cold_left(R"(,"coldLeftMs":0)")->count(), 0);
    cr_assert_eq(cold_left(R"(,"coldLeftMs":1234.5)")->count(), 1234);
    cr_assert_eq(cold_left(R"(,"coldLeftMs":-1)")->count(), 0);
}
