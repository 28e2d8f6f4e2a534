// A session whose first requests hold a part that crashes replicas goes on with sound requests; see
// review/8/claim.txt.

#include "crash_fleet.hpp"

using namespace review;

namespace {

constexpr int replica_count = 16;
constexpr unsigned bad_burst = 8;
constexpr auto burst_pause = milliseconds(150);
constexpr auto sound_pause = milliseconds(200);
constexpr auto bad_pause = milliseconds(1000);
constexpr unsigned first_bad_number = 100'000;
constexpr char const* good_part = "600d0001";

std::string parts(char const* first, char const* session)
{
    return std::string(first) + ":800," + session + ":410";
}

/// Sound requests of the key in one span of time.
struct tally
{
    std::atomic<int> sent{0};
    std::atomic<int> begun{0};
};

verdict play(fleet& it)
{
    crash_fleet replicas(it, replica_count);
    tally outside;
    tally after;
    unsigned number = 0;
    auto const send_sound = [&](tally* counted, char const* session)
    {
        auto const id = "s" + std::to_string(number);
        replicas.ask(
            number++, id, parts(good_part, session), std::string("sound, session ") + session);
        if (counted == nullptr)
            return;
        ++counted->sent;
        counted->begun += replicas.has_begun(id) ? 1 : 0;
    };
    for (int n = 0; n < 30; ++n)
    {
        send_sound(&outside, "70000001");
        std::this_thread::sleep_for(sound_pause);
    }
    // The caller begins a new session.
    std::vector<std::thread> burst;
    for (unsigned n = 0; n < bad_burst; ++n)
    {
        burst.emplace_back(
            [&, n]
            {
                replicas.ask(
                    first_bad_number + n,
                    "r" + std::to_string(n),
                    parts(crash_fleet::bad_part, "70000002"),
                    "session 70000002 with the bad part");
            });
        std::this_thread::sleep_for(burst_pause);
    }
    for (auto& thread : burst)
        thread.join();
    auto const crashes = replicas.crashes();
    auto const counted_from = crashes.empty()
                                  ? 0
                                  : crashes[std::min<std::size_t>(crashes.size(), 5) - 1] +
                                        2 * crash_fleet::contact_ms / 1000.0;
    it.record.line("%zu crashes", crashes.size());
    steady_callers bad(
        bad_pause,
        [&](unsigned n)
        {
            auto const other = first_bad_number + 1000 + n;
            replicas.ask(
                other,
                "r" + std::to_string(1000 + n),
                parts(crash_fleet::bad_part, "70000002"),
                "session 70000002 with the bad part");
        });
    for (int n = 0; n < 90; ++n)
    {
        send_sound(it.record.seconds() > counted_from ? &after : nullptr, "70000002");
        std::this_thread::sleep_for(sound_pause);
    }
    bad.end();
    replicas.join();
    it.record.line(
        "outside the disruption %d of %d sound requests of the key began at the first attempt",
        outside.begun.load(),
        outside.sent.load());
    it.record.line(
        "later than %.3f, while requests with the bad part came, %d of %d did",
        counted_from,
        after.begun.load(),
        after.sent.load());
    if (outside.sent < 20 || after.sent < 20)
        return verdict::could_not_run;
    double const share_outside = static_cast<double>(outside.begun) / outside.sent;
    double const share_after = static_cast<double>(after.begun) / after.sent;
    return share_after * 2 < share_outside ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
