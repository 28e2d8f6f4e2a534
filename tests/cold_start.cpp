#include <almondcart/forwarding/cold_start_limiter.hpp>
#include <almondcart/forwarding/upstream_picker.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace almondcart;
using namespace almondcart::forwarding;

namespace {

constexpr std::int64_t per_second = 20;

/// Sends of all gateways in one second that a cold upstream tolerates: 20 x 1.5 + 5.
constexpr std::size_t tolerated = 35;

constexpr duration cold_time{10'000};

upstream_entry entry_of(std::string const& id, std::optional<duration> cold_left = {})
{
    upstream_entry it{id, "models", "10.0.0.1:80", "a", 8, false, 1};
    it.cold_left = cold_left;
    return it;
}

std::string name_of(int gateway)
{
    return "entry-" + std::to_string(gateway);
}

/// Decisions of one gateway among `count` ones that know each other.
struct gateway_state
{
    gateway_state(manual_clock& clock, std::string const& name, int count)
        : registry(name)
        , directory({}, clock.function())
        , limiter(
              {.clock = clock.function(),
               .limits_of =
                   [this](std::string const&) {
                       return cold_start_limiter::limits{cold_time, limit};
                   },
               .on_change = {}},
              registry)
        , picker(
              clock.function(),
              {.availability_zone = "a", .seed = 1},
              directory,
              nullptr,
              &limiter)
    {
        std::set<std::string> names;
        for (int n = 0; n < count; ++n)
            names.insert(name_of(n));
        registry.replace_all(std::move(names));
        registry.set_registered();
    }

    /// Chooses and sends one request as a session does. Returns the upstream's id, or nothing.
    std::string send()
    {
        auto const target = picker.pick({"models", nullptr, nullptr});
        if (target == nullptr)
            return {};
        auto permit = limiter.try_reserve(target);
        return permit && permit->confirm() ? target->entry.id : "";
    }

    upstream_pointer only() { return directory.all().begin()->second; }

    std::int64_t limit = per_second;
    gateway_registry registry;
    upstream_directory directory;
    cold_start_limiter limiter;
    upstream_picker picker;
};

/// Gateways before one upstream, with the times of what they sent to it.
struct fleet
{
    explicit fleet(int count)
    {
        for (int n = 0; n < count; ++n)
            gateways.push_back(std::make_unique<gateway_state>(clock, name_of(n), count));
    }

    void publish(upstream_entry const& entry)
    {
        for (auto& it : gateways)
            it->directory.apply(entry.id, entry);
    }

    /// Each gateway offers `burst` requests at once, every 50 ms for `time`. Returns the most sends
    /// in any second.
    std::size_t run(duration time, int burst)
    {
        constexpr duration step{50};
        std::deque<instant> sent;
        std::size_t most = 0;
        for (duration passed{0}; passed < time; passed += step)
        {
            for (auto& it : gateways)
            {
                for (int n = 0; n < burst; ++n)
                {
                    if (!it->send().empty())
                        sent.push_back(clock.now());
                }
            }
            while (!sent.empty() && clock.now() - sent.front() >= duration(1000))
                sent.pop_front();
            most = std::max(most, sent.size());
            total += sent.empty() || sent.back() != clock.now() ? 0 : 1;
            clock.advance(step);
        }
        return most;
    }

    manual_clock clock;
    std::vector<std::unique_ptr<gateway_state>> gateways;
    int total = 0; ///< steps in which at least one request was sent
};

} // namespace

// Guards against gateways that each keep to the whole limit, and against a burst at the beginning.
Test(cold_start, many_gateways_keep_to_the_limit_together)
{
    for (int const count : {1, 3, 20, 30, 37, 350})
    {
        fleet it(count);
        it.publish(entry_of("i-1", cold_time));
        auto const most = it.run(duration(3000), 50);
        cr_assert_leq(most, tolerated, "%d gateways sent %zu in a second", count, most);
        cr_assert_geq(most, 10, "%d gateways sent %zu in a second", count, most);
    }
}

// Guards against a limit that ends with the first cold start, or that remains after its end.
Test(cold_start, an_upstream_may_turn_cold_twice)
{
    fleet it(4);
    it.publish(entry_of("i-1", duration(2000)));
    cr_assert_leq(it.run(duration(1900), 20), tolerated);
    it.clock.advance(duration(200));
    cr_assert_gt(it.run(duration(1000), 20), tolerated);
    it.publish(entry_of("i-1", duration(3000)));
    it.clock.advance(duration(1000));
    cr_assert_leq(it.run(duration(1500), 20), tolerated);
}

// Guards against full load on an upstream that has started anew under its id and address, before
// its entry says so, and against an entry from before the loss that ends the caution.
Test(cold_start, a_lost_connection_makes_an_upstream_possibly_cold)
{
    fleet it(1);
    auto& gateway = *it.gateways[0];
    it.publish(entry_of("i-1"));
    cr_assert_not(gateway.limiter.is_cold(*gateway.only()));
    gateway.limiter.record_loss(*gateway.only());
    cr_assert(gateway.limiter.is_cold(*gateway.only()));
    it.clock.advance(duration(700));
    it.publish(entry_of("i-1"));
    cr_assert(gateway.limiter.is_cold(*gateway.only()));
    it.clock.advance(duration(1000));
    it.publish(entry_of("i-1"));
    cr_assert_not(gateway.limiter.is_cold(*gateway.only()));
    gateway.limiter.record_loss(*gateway.only());
    it.clock.advance(cold_time - duration(1));
    cr_assert(gateway.limiter.is_cold(*gateway.only()));
    it.clock.advance(duration(1));
    cr_assert_not(gateway.limiter.is_cold(*gateway.only()));
}

// Guards against a snapshot, whose entries may be old, that says that an upstream is warm.
Test(cold_start, an_entry_of_a_snapshot_does_not_end_the_caution)
{
    fleet it(1);
    auto& gateway = *it.gateways[0];
    it.publish(entry_of("i-1"));
    gateway.limiter.record_loss(*gateway.only());
    it.clock.advance(duration(2000));
    gateway.directory.replace_all({{"i-1", entry_of("i-1", duration(0))}});
    cr_assert(gateway.limiter.is_cold(*gateway.only()));
}

// Guards against the full load at once on a zone whose drain has ended.
Test(cold_start, upstreams_are_cold_after_a_drain)
{
    fleet it(1);
    auto& gateway = *it.gateways[0];
    it.publish(entry_of("i-1"));
    gateway.limiter.record_drain_end(*gateway.only());
    cr_assert_leq(it.run(duration(5000), 20), tolerated);
    it.publish(entry_of("i-1"));
    cr_assert(gateway.limiter.is_cold(*gateway.only()));
    it.publish(entry_of("i-1", duration(0)));
    cr_assert_not(gateway.limiter.is_cold(*gateway.only()));
    gateway.limiter.record_drain_end(*gateway.only());
    it.clock.advance(cold_time);
    cr_assert_not(gateway.limiter.is_cold(*gateway.only()));
}

// Guards against a gateway that sends before it knows how many others do, or before they know it.
Test(cold_start, nothing_is_sent_to_a_cold_upstream_without_a_known_share)
{
    gateway_registry unread("entry-0");
    unread.set_registered();
    cr_assert_eq(unread.share_of("i-1", per_second), 0);
    gateway_registry unregistered("entry-0");
    unregistered.replace_all({"entry-1"});
    cr_assert_eq(unregistered.share_of("i-1", per_second), 0);
    unregistered.set_registered();
    cr_assert_eq(unregistered.share_of("i-1", per_second), per_second / 2);
    unregistered.apply("entry-1", false);
    unregistered.apply("entry-0", false);
    cr_assert_eq(unregistered.share_of("i-1", per_second), per_second);
}

// Guards against all gateways with the same names being chosen for each upstream, or too many.
Test(cold_start, the_gateways_that_may_send_differ_by_upstream)
{
    std::set<std::string> names;
    for (int n = 0; n < 100; ++n)
        names.insert(name_of(n));
    auto const senders = [&](std::string const& id)
    {
        std::set<std::string> result;
        for (auto const& name : names)
        {
            gateway_registry it(name);
            it.replace_all(names);
            it.set_registered();
            if (it.share_of(id, per_second) > 0)
                result.insert(name);
        }
        return result;
    };
    cr_assert_eq(senders("i-1").size(), per_second);
    cr_assert(senders("i-1") != senders("i-2"));
}

// Guards against requests that wait for their connections and are then all sent in one second.
Test(cold_start, sends_in_progress_count)
{
    fleet it(1);
    auto& gateway = *it.gateways[0];
    it.publish(entry_of("i-1", cold_time));
    std::vector<send_permit> waiting;
    while (auto permit = gateway.limiter.try_reserve(gateway.only()))
        waiting.push_back(*std::move(permit));
    cr_assert_eq(waiting.size(), per_second);
    it.clock.advance(duration(1500));
    cr_assert(gateway.send().empty());
    for (auto& permit : waiting)
        cr_assert(permit.confirm());
    cr_assert(gateway.send().empty());
    it.clock.advance(duration(1000));
    cr_assert_eq(gateway.send(), "i-1");
}

// Guards against requests that were chosen while the upstream was warm and are sent when it is not.
Test(cold_start, a_send_is_checked_when_it_begins)
{
    fleet it(1);
    auto& gateway = *it.gateways[0];
    it.publish(entry_of("i-1"));
    std::vector<send_permit> waiting;
    for (int n = 0; n < 100; ++n)
        waiting.push_back(*gateway.limiter.try_reserve(gateway.only()));
    it.publish(entry_of("i-1", cold_time));
    auto const sent = std::ranges::count_if(waiting, [](auto& permit) { return permit.confirm(); });
    cr_assert_eq(sent, per_second);
}

// Guards against a share that is used up by requests that were not sent, or that the upstream
// turned away with 421.
Test(cold_start, what_was_not_taken_does_not_count)
{
    fleet it(1);
    auto& gateway = *it.gateways[0];
    it.publish(entry_of("i-1", cold_time));
    for (int n = 0; n < 100; ++n)
    {
        auto permit = gateway.limiter.try_reserve(gateway.only());
        cr_assert(permit.has_value());
        if (n % 2 == 0)
            continue;
        cr_assert(permit->confirm());
        permit->give_back();
    }
}

// Guards against refusals while others can serve, and against limits where none is configured.
Test(cold_start, other_upstreams_serve_what_a_cold_one_may_not)
{
    fleet it(4);
    auto& gateway = *it.gateways[0];
    it.publish(entry_of("i-1", cold_time));
    it.publish(entry_of("i-2"));
    std::vector<std::unique_ptr<in_flight_guard>> running;
    std::size_t cold_sends = 0;
    for (int n = 0; n < 100; ++n)
    {
        auto const target = gateway.picker.pick({"models", nullptr, nullptr});
        cr_assert_not_null(target);
        auto permit = gateway.limiter.try_reserve(target);
        cr_assert(permit && permit->confirm());
        running.push_back(gateway.picker.begin(target, "r", nullptr));
        cold_sends += target->entry.id == "i-1" ? 1 : 0;
    }
    cr_assert_leq(cold_sends, per_second / 4);
    gateway.limit = 0;
    gateway.directory.apply("i-2", std::nullopt);
    for (int n = 0; n < 100; ++n)
        cr_assert_eq(gateway.send(), "i-1");
}

// Guards against state that grows with each upstream that was ever cold, and against changes that
// are reported more than once.
Test(cold_start, changes_are_reported_once_and_state_is_dropped)
{
    manual_clock clock;
    gateway_registry registry("entry-0");
    upstream_directory directory({}, clock.function());
    std::vector<std::string> changes;
    cold_start_limiter limiter(
        {.clock = clock.function(),
         .limits_of =
             [](std::string const&) {
                 return cold_start_limiter::limits{cold_time, per_second};
             },
         .on_change = [&](upstream const& it, bool is_cold)
         { changes.push_back(it.entry.id + (is_cold ? " cold" : " warm")); }},
        registry);
    directory.apply("i-1", entry_of("i-1", duration(500)));
    limiter.tick(directory);
    limiter.tick(directory);
    cr_assert_eq(limiter.cold_count(), 1);
    clock.advance(duration(500));
    limiter.tick(directory);
    limiter.tick(directory);
    cr_assert_eq(limiter.cold_count(), 0);
    cr_assert_eq(changes, (std::vector<std::string>{"i-1 cold", "i-1 warm"}));
}
