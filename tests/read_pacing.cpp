#include <almondcart/core/hash.hpp>
#include <almondcart/forwarding/read_pacing.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace almondcart;
using namespace almondcart::forwarding;

namespace {

/// Reading calls that the store takes a second from all processes together.
constexpr double calls_per_s = 2'000;
constexpr std::int64_t page_records = 500;
constexpr duration answer_time{5};
constexpr duration read_wait{1'000};

constexpr int prepaid_topics = 8;
constexpr int accounts = 24;

/// Allows `calls_per_s` with a burst of a tenth of a second.
class call_limit
{
public:
    bool try_take(duration now)
    {
        constexpr double ms_per_s = 1'000;
        tokens_ = std::min(
            burst, tokens_ + calls_per_s / ms_per_s * static_cast<double>((now - last_).count()));
        last_ = now;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    static constexpr double burst = calls_per_s / 10;
    double tokens_ = burst;
    duration last_{0};
};

/// What `topic_follower` asks of its pacing.
struct pacing_hooks
{
    std::function<duration()> answered;
    std::function<duration(bool is_listing)> overloaded;
};

using pacing_factory =
    std::function<pacing_hooks(duration pause, duration max_pause, std::uint64_t seed)>;

pacing_hooks create_product_pacing(duration pause, duration max_pause, std::uint64_t seed)
{
    auto const pacing = std::make_shared<read_pacing>(
        read_pacing_settings{.pause = pause, .max_pause = max_pause, .seed = seed});
    return {
        [pacing]
        {
            pacing->answered();
            return pacing->next_pause();
        },
        [pacing](bool is_listing) { return pacing->overloaded(is_listing); }};
}

/// Pauses as without overload, and one backoff for listings and reads alike.
pacing_hooks create_fixed_pacing(duration pause, duration max_pause, std::uint64_t seed)
{
    auto const pacing = std::make_shared<read_pacing>(
        read_pacing_settings{.pause = pause, .max_pause = max_pause, .seed = seed});
    return {
        [pacing, pause]
        {
            pacing->answered();
            return pause;
        },
        [pacing](bool) { return pacing->failed(); }};
}

struct follower
{
    int gateway = 0;
    bool is_required = true; ///< for the gateway to be ready
    bool is_busy = false;    ///< records arrive all the time
    std::int64_t pages = 1;  ///< left to list
    pacing_hooks pacing;
};

std::int64_t pages_of(std::int64_t records)
{
    return std::max<std::int64_t>(1, (records + page_records - 1) / page_records);
}

/// Pauses are those of the gateway.
std::vector<follower> create_followers(int gateways, pacing_factory const& create_pacing)
{
    constexpr int upstreams_per_gateway = 4;
    std::vector<follower> followers;
    for (int gateway = 0; gateway < gateways; ++gateway)
    {
        auto const add = [&](duration pause, duration max_pause, std::int64_t records)
        {
            auto const seed = hash64(std::to_string(followers.size()));
            auto& it = followers.emplace_back();
            it.gateway = gateway;
            it.pages = pages_of(records);
            it.pacing = create_pacing(pause, max_pause, seed);
            return &it;
        };
        add(duration(0), duration(400), 1);
        auto const upstreams = std::int64_t{upstreams_per_gateway} * gateways;
        add(duration(200), duration(1'600), upstreams)->is_busy = true;
        for (int topic = 0; topic < prepaid_topics; ++topic)
        {
            auto const records = std::int64_t{accounts} * gateways / prepaid_topics;
            add(duration(1'000), duration(6'400), records)->is_busy = true;
        }
        add(duration(100), duration(3'200), gateways)->is_required = false;
    }
    return followers;
}

/// Plays the reads of gateways before a store until all of them are ready.
class fleet_model
{
public:
    /// The first `running` gateways are ready from the beginning.
    fleet_model(int gateways, int running, pacing_factory const& create_pacing)
        : followers_(create_followers(gateways, create_pacing))
        , missing_(static_cast<std::size_t>(gateways))
        , running_(running)
        , not_ready_(gateways - running)
    {
        for (auto& it : followers_)
        {
            if (it.gateway < running)
                it.pages = 0;
            missing_[static_cast<std::size_t>(it.gateway)] += it.is_required ? 1 : 0;
        }
    }

    /// Returns the time until all are ready, at most `limit`. Those that are not running yet start
    /// at `lead`.
    duration start(duration lead = duration(0))
    {
        for (std::size_t n = 0; n < followers_.size(); ++n)
            schedule(followers_[n].gateway < running_ ? duration(0) : lead, n);
        while (not_ready_ > 0 && std::get<duration>(calls_.top()) < lead + limit)
            play_next();
        return not_ready_ > 0 ? limit : ready_ - lead;
    }

    static constexpr duration limit{120'000};

private:
    /// Time, a random number, and the follower. Calls of the same millisecond arrive in any order.
    using call = std::tuple<duration, std::uint64_t, std::size_t>;

    void schedule(duration time, std::size_t n) { calls_.emplace(time, random_.next(), n); }

    void play_next()
    {
        auto const [now, order, n] = calls_.top();
        calls_.pop();
        auto& it = followers_[n];
        bool const is_listing = it.pages > 0;
        auto next = now + answer_time;
        if (!store_.try_take(now))
        {
            schedule(next + it.pacing.overloaded(is_listing), n);
            return;
        }
        auto const pause = it.pacing.answered();
        if (!is_listing)
            next += it.is_busy ? pause : pause + read_wait;
        else if (--it.pages == 0)
            finish_listing(it, std::exchange(next, next + pause));
        schedule(next, n);
    }

    void finish_listing(follower const& it, duration now)
    {
        auto& missing = missing_[static_cast<std::size_t>(it.gateway)];
        if (it.is_required && --missing == 0 && --not_ready_ == 0)
            ready_ = now;
    }

    std::vector<follower> followers_;
    std::vector<int> missing_; ///< for each gateway, topics that it has not listed
    int running_;
    int not_ready_;
    std::priority_queue<call, std::vector<call>, std::greater<>> calls_;
    call_limit store_;
    random_sequence random_{1};
    duration ready_{0};
};

duration time_to_ready(int gateways, pacing_factory const& create_pacing)
{
    return fleet_model(gateways, 0, create_pacing).start();
}

} // namespace

// All gateways start in the same moment, as after a loss of all, and read their topics from a store
// that takes a limited number of calls from all of them. Guards against gateways that follow their
// topics already and take the calls that others need to become ready.
Test(read_pacing, many_gateways_that_start_at_once_are_ready_soon)
{
    cr_assert_lt(time_to_ready(30, create_product_pacing).count(), 500);
    // The listings alone take 3 s: 20 calls of each gateway.
    cr_assert_lt(time_to_ready(300, create_product_pacing).count(), 5'000);
    cr_assert_lt(time_to_ready(350, create_product_pacing).count(), 8'000);
    cr_assert_lt(time_to_ready(30, create_fixed_pacing).count(), 500);
    cr_assert_gt(time_to_ready(300, create_fixed_pacing).count(), 20'000, "a naive variant");
}

// Guards against a single gateway that does not become ready, because the others use up the calls
// that the store takes.
Test(read_pacing, a_gateway_that_starts_beside_many_others_is_ready_soon)
{
    constexpr int gateways = 300;
    constexpr duration lead{60'000};
    auto const time = [](pacing_factory const& create_pacing)
    { return fleet_model(gateways, gateways - 1, create_pacing).start(lead).count(); };
    cr_assert_lt(time(create_product_pacing), 1'500);
    cr_assert_gt(time(create_fixed_pacing), 3'000, "a naive variant");
}

// Guards against a follower that stays slow after an overload, and one that waits longer than its
// limit during it.
Test(read_pacing, the_pause_grows_up_to_its_limit_and_returns)
{
    read_pacing pacing({.pause = duration(200), .max_pause = duration(1'600), .seed = 1});
    pacing.answered();
    cr_assert_eq(pacing.next_pause().count(), 200);
    for (int n = 0; n < 20; ++n)
    {
        auto const delay = pacing.overloaded(false);
        cr_assert_leq(delay.count(), 1'600);
        cr_assert_geq(delay.count(), 200);
    }
    pacing.answered();
    cr_assert_eq(pacing.next_pause().count(), 900);
    for (int n = 0; n < 30; ++n)
        pacing.answered();
    cr_assert_eq(pacing.next_pause().count(), 200);
}

// Guards against a process that starts and asks as rarely as those that have their snapshot.
Test(read_pacing, a_listing_is_repeated_soon)
{
    read_pacing pacing({.pause = duration(1'000), .max_pause = duration(6'400), .seed = 1});
    for (int n = 0; n < 20; ++n)
    {
        auto const delay = pacing.overloaded(true);
        cr_assert_leq(delay.count(), 400);
        cr_assert_geq(delay.count(), 50);
    }
}

// An outage is no overload. Guards against followers that read late after it.
Test(read_pacing, an_outage_does_not_change_the_pause)
{
    read_pacing pacing({.pause = duration(200), .seed = 1});
    for (int n = 0; n < 20; ++n)
        cr_assert_leq(pacing.failed().count(), 1'600);
    pacing.answered();
    cr_assert_eq(pacing.next_pause().count(), 200);
}
