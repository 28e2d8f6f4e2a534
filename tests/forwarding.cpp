#include <almondcart/forwarding/configuration.hpp>
#include <almondcart/forwarding/event_splitter.hpp>
#include <almondcart/forwarding/link_load.hpp>
#include <almondcart/forwarding/upstream_directory.hpp>
#include <almondcart/forwarding/upstream_health.hpp>
#include <almondcart/forwarding/upstream_picker.hpp>

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace almondcart;
using namespace almondcart::forwarding;

namespace {

upstream_entry engine(std::string const& id, std::string const& zone, int slots = 8)
{
    return {id, "models", "10.0.0.1:80", zone, slots, false, 1};
}

prompt_info long_prompt(std::uint64_t shared_part, std::uint64_t unique_part)
{
    return {9'000, 100, {{1, 3'000}, {shared_part, 3'000}, {unique_part, 3'000}}};
}

struct picker_fixture
{
    explicit picker_fixture(std::uint64_t seed = 1, std::string const& zone = "a")
        : picker(clock.function(), {.availability_zone = zone, .seed = seed}, directory)
    {}

    std::string pick(prompt_info const* prompt)
    {
        auto const it = picker.pick({"models", prompt, nullptr});
        return it == nullptr ? "" : it->entry.id;
    }

    manual_clock clock;
    upstream_directory directory;
    upstream_picker picker;
};

} // namespace

Test(configuration, the_longest_prefix_of_the_host_wins)
{
    configuration content;
    for (std::string const prefix : {"/a/", "/a/b/", "/"})
    {
        route it;
        it.name = prefix;
        it.host = "Club.example";
        it.path_prefix = prefix;
        content.routes.push_back(it);
    }
    content.accounts.push_back({"club", {"k1", "k2"}, std::nullopt, 10});
    configuration_view const view(content);
    cr_assert_eq(view.find_route("club.example:80", "/a/b/c")->name, "/a/b/");
    cr_assert_eq(view.find_route("CLUB.example", "/a/x")->name, "/a/");
    cr_assert_eq(view.find_route("club.example", "/x")->name, "/");
    cr_assert_null(view.find_route("other.example", "/a/b/c"));
    cr_assert_eq(view.find_account("k2")->name, "club");
    cr_assert_null(view.find_account("k3"));
}

// Guards against forwarding partial events, which a client cannot tell from complete ones.
Test(event_splitter, returns_only_complete_events)
{
    std::string const stream =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\nda";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut)
    {
        event_splitter splitter;
        auto text = splitter.feed(std::string_view(stream).substr(0, cut));
        text += splitter.feed(std::string_view(stream).substr(cut));
        cr_assert_eq(text, stream.substr(0, stream.size() - 8));
        cr_assert_eq(*splitter.last_id(), 3);
        cr_assert_eq(splitter.event_count(), 3);
        cr_assert_eq(splitter.pending_bytes(), 8);
    }
}

// Guards against passing on bytes that are no events, and against losing the events before them.
Test(event_splitter, ends_at_an_event_that_is_no_text)
{
    event_splitter it;
    cr_assert_eq(
        it.feed("id: 1\ndata: \xc3\xa4\n\nid: 2\ndata: \xc3\n\nid: 3\n\n"),
        "id: 1\ndata: \xc3\xa4\n\n");
    cr_assert(it.is_malformed());
    cr_assert_eq(it.feed("id: 4\n\n"), "");
    cr_assert_eq(it.event_count(), 1);
    it.discard_pending();
    cr_assert_eq(it.feed("id: 2\n\n"), "id: 2\n\n");
}

// Guards against duplicate events when a stream continues on another upstream.
Test(event_splitter, drops_duplicate_events)
{
    event_splitter splitter;
    splitter.feed("id: 1\n\nid: 2\n\nid: 3\nda");
    splitter.discard_pending();
    cr_assert_eq(splitter.feed("id: 2\n\nid: 3\n\n"), "id: 3\n\n");
}

// Guards against treating a new instance under a reused id as the previous one.
Test(upstream_directory, a_new_start_under_an_old_id_is_another_upstream)
{
    upstream_directory directory;
    directory.apply("i-1", engine("i-1", "a"));
    auto const first = directory.of_service("models").at(0);
    auto next = engine("i-1", "a");
    next.started_ms = 2;
    directory.apply("i-1", next);
    cr_assert(first->is_gone);
    cr_assert_neq(directory.of_service("models").at(0), first);
    directory.apply("i-1", std::nullopt);
    cr_assert(directory.of_service("models").empty());
}

// Guards against sending work to an upstream that said that it leaves, because the registry is
// behind, or lists it again after an outage of the store.
Test(upstream_directory, a_registry_entry_does_not_revive_a_process_that_leaves)
{
    upstream_directory directory;
    directory.apply("i-1", engine("i-1", "a"));
    auto const first = directory.of_service("models").at(0);
    directory.record_leaving(first);
    auto entry = engine("i-1", "a");
    entry.slots = 4;
    directory.apply("i-1", entry);
    cr_assert_not(directory.of_service("models").at(0)->accepts_work());
    directory.replace_all({});
    directory.replace_all({{"i-1", entry}});
    cr_assert_not(directory.of_service("models").at(0)->accepts_work());
}

// Guards against an upstream that gets requests in its pause, because its entry lapsed and returned
// while the store was away, or because a shorter pause came later.
Test(upstream_picker, a_pause_holds_until_its_end)
{
    picker_fixture it;
    it.directory.apply("i-1", engine("i-1", "a"));
    it.directory.record_pause(it.directory.all().at("i-1"), it.clock.now() + duration(1000));
    it.directory.record_pause(it.directory.all().at("i-1"), it.clock.now() + duration(10));
    cr_assert_eq(it.pick(nullptr), "");
    cr_assert(*it.picker.common_pause_end("models") == it.clock.now() + duration(1000));
    it.directory.replace_all({});
    it.directory.replace_all({{"i-1", engine("i-1", "a")}});
    cr_assert_eq(it.pick(nullptr), "");
    auto next = engine("i-1", "a");
    next.started_ms = 2;
    it.directory.apply("i-1", next);
    cr_assert_eq(it.pick(nullptr), "i-1");
    it.directory.apply("i-1", engine("i-1", "a"));
    it.clock.advance(duration(1000));
    cr_assert_eq(it.pick(nullptr), "i-1");
    cr_assert_not(it.picker.common_pause_end("models").has_value());
}

// Guards against a new process that gets no work, because another one had its id or address before.
Test(upstream_directory, a_new_process_does_not_inherit_that_another_left)
{
    upstream_directory directory;
    directory.apply("i-1", engine("i-1", "a"));
    auto const first = directory.of_service("models").at(0);
    auto next = engine("i-1", "a");
    next.started_ms = 2;
    directory.apply("i-1", next);
    // A response of the old process that was on its way.
    directory.record_leaving(first);
    cr_assert(directory.of_service("models").at(0)->accepts_work());
    directory.apply("i-2", engine("i-2", "a"));
    cr_assert(directory.all().at("i-2")->accepts_work());
}

// Guards against memory that grows with the number of upstreams that ever left.
Test(upstream_directory, the_number_of_remembered_processes_is_bounded)
{
    upstream_directory directory;
    for (int n = 0; n < 5000; ++n)
    {
        auto const id = "i-" + std::to_string(n);
        directory.apply(id, engine(id, "a"));
        directory.record_leaving(directory.all().at(id));
        directory.apply(id, std::nullopt);
    }
    directory.apply("i-0", engine("i-0", "a"));
    directory.apply("i-4999", engine("i-4999", "a"));
    cr_assert(directory.all().at("i-0")->accepts_work());
    cr_assert_not(directory.all().at("i-4999")->accepts_work());
}

Test(upstream_directory, a_snapshot_removes_what_it_lacks)
{
    std::vector<std::string> changes;
    upstream_directory directory([&](upstream const& it) { changes.push_back(it.entry.id); });
    directory.apply("i-1", engine("i-1", "a"));
    directory.apply("i-2", engine("i-2", "a"));
    directory.replace_all({{"i-2", engine("i-2", "a")}});
    cr_assert_eq(directory.size(), 1);
    cr_assert_eq(changes.back(), "i-1");
}

// Guards against blocking an upstream after a single lost response, and against sending requests to
// one that is down.
Test(upstream_health, blocks_an_upstream_after_losses_in_a_row)
{
    upstream_health health;
    instant now;
    health.record(attempt_result::lost, now);
    cr_assert(health.is_available(now));
    health.record(attempt_result::lost, now);
    cr_assert_not(health.is_available(now));
    now = health.blocked_until();
    cr_assert(health.is_available(now));
    health.record(attempt_result::lost, now);
    cr_assert_geq((health.blocked_until() - now).count(), 1'000);
    health.record(attempt_result::success, health.blocked_until());
    health.record(attempt_result::lost, health.blocked_until());
    cr_assert(health.is_available(health.blocked_until()));
}

// Guards against processing a popular prompt prefix on every upstream instead of reusing one cache.
Test(upstream_picker, requests_with_one_prefix_select_one_upstream_on_all_gateways)
{
    std::map<std::string, int> targets;
    for (std::uint64_t shared_part = 100; shared_part < 140; ++shared_part)
    {
        std::set<std::string> chosen;
        for (std::uint64_t gateway = 1; gateway <= 4; ++gateway)
        {
            picker_fixture it(gateway);
            for (std::string const id : {"i-1", "i-2", "i-3", "i-4"})
                it.directory.apply(id, engine(id, "a"));
            auto const prompt = long_prompt(shared_part, gateway);
            chosen.insert(it.pick(&prompt));
        }
        cr_assert_eq(chosen.size(), 1);
        ++targets[*chosen.begin()];
    }
    cr_assert_eq(targets.size(), 4, "prefixes are distributed over all upstreams");
}

// Guards against overloading one upstream with all requests that share a popular prefix.
Test(upstream_picker, a_busy_preferred_upstream_is_relieved_by_others)
{
    picker_fixture it;
    for (std::string const id : {"i-1", "i-2", "i-3"})
        it.directory.apply(id, engine(id, "a"));
    std::vector<std::unique_ptr<in_flight_guard>> guards;
    std::set<std::string> used;
    for (std::uint64_t unique_part = 0; unique_part < 6; ++unique_part)
    {
        auto const prompt = long_prompt(7, 1'000 + unique_part);
        auto const target = it.picker.pick({"models", &prompt, nullptr});
        used.insert(target->entry.id);
        guards.push_back(it.picker.begin(target, "r", &prompt));
    }
    cr_assert_geq(used.size(), 2);
}

// Guards against selecting upstreams that are draining or have failed.
Test(upstream_picker, leaves_out_upstreams_that_drain_or_fail)
{
    picker_fixture it;
    auto draining = engine("i-1", "a");
    draining.is_draining = true;
    it.directory.apply("i-1", draining);
    it.directory.apply("i-2", engine("i-2", "a"));
    it.directory.apply("i-3", engine("i-3", "a"));
    auto const failed = it.directory.all().at("i-2");
    it.picker.record(*failed, attempt_result::lost);
    it.picker.record(*failed, attempt_result::lost);
    for (int n = 0; n < 20; ++n)
        cr_assert_eq(it.pick(nullptr), "i-3");
    std::vector<std::string> const tried{"i-3"};
    cr_assert_eq(
        it.picker.pick({"models", nullptr, &tried})->entry.id,
        "i-2",
        "the only upstream left is tried even though it is blocked");
}

// Guards against needless traffic between availability zones for services without engines.
Test(upstream_picker, requests_stay_in_the_zone_until_it_is_busier)
{
    picker_fixture it(1, "b");
    it.directory.apply("i-1", engine("i-1", "a"));
    it.directory.apply("i-2", engine("i-2", "b"));
    cr_assert_eq(it.pick(nullptr), "i-2");
    auto const first = it.picker.begin(it.directory.all().at("i-2"), "r", nullptr);
    cr_assert_eq(it.pick(nullptr), "i-1");
}

// Guards against clients that stay on a VM with an overloaded link while others have capacity, and
// against a VM that turns clients away needlessly.
Test(link_load, a_link_in_heavy_use_is_overloaded_until_it_is_in_light_use)
{
    manual_clock clock;
    forwarding::link_load_settings settings;
    settings.bytes_per_s = 1'000'000;
    forwarding::link_load link(clock.function(), settings);
    std::uint64_t received = 0;
    auto const run = [&](duration time, std::uint64_t bytes_per_s)
    {
        for (duration now{0}; now < time; now += duration(50))
        {
            clock.advance(duration(50));
            received += bytes_per_s / 20;
            link.update(received, received / 2);
        }
    };
    run(duration(5'000), 400'000);
    cr_assert_not(link.is_overloaded());
    run(duration(2'000), 700'000);
    cr_assert(link.is_overloaded());
    run(duration(5'000), 400'000);
    cr_assert(link.is_overloaded(), "clients that return at once would overload it again");
    run(duration(3'000), 200'000);
    cr_assert_not(link.is_overloaded());
}

// Guards against reporting an overload if the link capacity is unknown.
Test(link_load, an_unknown_link_is_never_overloaded)
{
    manual_clock clock;
    forwarding::link_load link(clock.function(), {});
    clock.advance(duration(50));
    link.update(1'000'000'000, 0);
    cr_assert_not(link.is_overloaded());
}
