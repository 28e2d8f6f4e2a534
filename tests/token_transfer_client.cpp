#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/token_transfer_client.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "prepaid_fleet.hpp"

using namespace almondcart;
using namespace almondcart::forwarding;
using almondcart::testing::prepaid_fleet;

namespace {

constexpr char const* account = "club";

/// A client whose requests are answered by the test.
class client_fixture
{
public:
    struct sent
    {
        std::string address;
        token_request request;
        std::function<void(std::optional<token_transfer>)> done;
    };

    client_fixture()
        : client_({}, "vm-0", create_hooks())
    {}

    void add_peer(std::string const& vm, std::int64_t free)
    {
        draw_record record;
        record.owner = {account, vm};
        record.claimed_tokens = free;
        record.spending.most_tokens = free;
        record.peer_address = vm;
        client_.observe(record);
    }

    /// Answers the oldest open request.
    void answer(std::optional<token_transfer> const& transfer)
    {
        auto const it = std::move(open.front());
        open.pop_front();
        it.done(transfer);
    }

    bool request(std::int64_t needed, std::int64_t wanted)
    {
        return client_.request({account, needed, wanted});
    }

    std::deque<sent> open;
    int asked = 0;
    int ended = 0;
    std::int64_t received = 0;

private:
    token_transfer_client::hooks create_hooks()
    {
        token_transfer_client::hooks hooks;
        hooks.clock = clock_.function();
        hooks.ask = [this](
                        std::string const& address,
                        token_request const& request,
                        std::function<void(std::optional<token_transfer>)> done)
        {
            ++asked;
            open.push_back({address, request, std::move(done)});
        };
        hooks.receive = [this](std::string const&, std::int64_t tokens) { received += tokens; };
        hooks.on_end = [this](std::string const&) { ++ended; };
        return hooks;
    }

    manual_clock clock_;
    token_transfer_client client_;
};

} // namespace

// Guards against asking peers one after another, or all of them, and those with little first.
Test(token_transfer_client, asks_a_few_of_those_that_may_give_most_at_once)
{
    client_fixture it;
    for (int n = 1; n <= 10; ++n)
        it.add_peer("vm-" + std::to_string(n), n >= 8 ? 4'000 + n : 100 * n);
    it.request(10'000, 12'000);
    cr_assert_eq(it.open.size(), 3);
    for (auto const& sent : it.open)
        cr_assert(
            sent.address == "vm-8" || sent.address == "vm-9" || sent.address == "vm-10",
            "%s",
            sent.address.c_str());
    auto const ahead = std::ranges::count_if(
        it.open, [](auto const& sent) { return sent.request.wanted_tokens == 12'000; });
    cr_assert_eq(ahead, 1, "tokens beyond the need are asked for once");
}

// Guards against asking more peers than are needed.
Test(token_transfer_client, asks_no_third_peer_if_two_are_expected_to_suffice)
{
    client_fixture it;
    for (int n = 1; n <= 10; ++n)
        it.add_peer("vm-" + std::to_string(n), 50'000);
    it.request(10'000, 12'000);
    cr_assert_eq(it.open.size(), 2);
}

// A peer that does not respond is asked first. Guards against waiting for its time-out although
// another one gives enough, and against losing what arrives afterwards.
Test(token_transfer_client, a_silent_peer_delays_no_round_and_late_tokens_are_received)
{
    client_fixture it;
    it.add_peer("vm-1", 50'000);
    it.add_peer("vm-2", 50'000);
    it.request(10'000, 12'000);
    std::swap(it.open.front(), it.open.back());
    it.answer(token_transfer{10'000, 1'000});
    cr_assert_eq(it.ended, 1);
    it.answer(token_transfer{10'000, 1'000});
    cr_assert_eq(it.ended, 1);
    cr_assert_eq(it.received, 20'000);
}

// An answer of an earlier round arrives in a later one. Guards against checking it against the
// request of the later round, which would discard tokens that the peer has given.
Test(token_transfer_client, a_late_answer_counts_for_what_was_asked)
{
    client_fixture it;
    it.add_peer("vm-1", 50'000);
    it.add_peer("vm-2", 50'000);
    it.add_peer("vm-3", 50'000);
    it.request(10'000, 12'000);
    std::swap(it.open.front(), it.open.back());
    it.answer(token_transfer{10'000, 1'000});
    cr_assert(it.request(3'000, 3'000));
    cr_assert_eq(it.open.size(), 2);
    it.answer(token_transfer{10'000, 1'000});
    cr_assert_eq(it.received, 20'000);
    cr_assert_eq(it.ended, 2);
}

// Many peers hold a few tokens each. Guards against asking ten of them for one request.
Test(token_transfer_client, one_request_asks_fewer_than_ten_peers)
{
    client_fixture it;
    for (int n = 1; n <= 30; ++n)
        it.add_peer("vm-" + std::to_string(n), 500);
    manual_clock clock;
    std::optional<reservation_result> result;
    prepaid_holder::hooks hooks;
    hooks.clock = clock.function();
    hooks.wall_time_ms = [&] { return clock.now().since_epoch.count(); };
    hooks.append = [](auto const&, auto const&) {};
    hooks.total = [](std::string const&) { return 1'000'000; };
    hooks.on_read_needed = [] {};
    hooks.ask_peers = [&](token_request const& request)
    { return it.request(request.needed_tokens, request.wanted_tokens); };
    prepaid_holder_settings settings;
    settings.vm = "vm-0";
    prepaid_holder holder(settings, hooks);
    holder.advance(0);
    holder.reserve(
        account, 20'000, duration(300), [&](reservation_result answer) { result = answer; });
    for (int n = 0; n < 60; ++n)
    {
        while (!it.open.empty())
        {
            auto const ended = it.ended;
            auto const received = it.received;
            it.answer(token_transfer{100, 0});
            if (it.received > received)
                holder.transfer_in(account, it.received - received);
            if (it.ended > ended)
                holder.finish_peer_round(account);
        }
        clock.advance(duration(10));
        holder.tick();
    }
    cr_assert(result == reservation_result::unavailable);
    cr_assert_gt(it.asked, 4);
    cr_assert_lt(it.asked, 10, "%d", it.asked);
}

// A peer gives tokens and dies before its next report. Guards against a successor that draws them
// again while the receiver spends them.
Test(prepaid, a_peer_that_died_after_giving_is_charged_for_its_gifts)
{
    using fault = almondcart::testing::fake_draw_log::fault;
    prepaid_fleet fleet(4, 1'000'000);
    fleet.connect_peers();
    fleet.run(duration(4'000), 20'000, 2'000);
    for (int n = 0; n < 6; ++n)
    {
        for (int i = 0; i < 4; ++i)
            fleet.set_fault(i, fault::unreachable);
        fleet.run_one(0, duration(1'500), 100'000, 5'000);
        for (int i = 1; i < 4; ++i)
            fleet.start(i);
        for (int i = 0; i < 4; ++i)
            fleet.set_fault(i, fault::none);
        fleet.run(duration(500), 20'000, 2'000);
    }
    fleet.run(duration(30'000), 20'000, 2'000);
    cr_assert_leq(fleet.spent(), fleet.total());
}
