// A request that crashes replicas comes again in bursts; see review/9/claim.txt.

#include "fleet.hpp"

using namespace review;

namespace {

constexpr int contact_ms = 3000;
constexpr int replica_count = 12;
constexpr int burst_count = 4;
constexpr int attempts_a_burst =
    5; ///< the first, its retry and three that an impatient client adds
constexpr auto burst_pause = milliseconds(4000);
constexpr auto restart_delay = milliseconds(2500);

verdict play(fleet& it)
{
    std::mutex mutex;
    std::vector<double> arrivals;
    std::vector<double> crashes;
    std::vector<std::thread> restarts;
    for (int n = 0; n < replica_count; ++n)
    {
        auto& replica = it.add_replica("app", n % 2 == 0 ? "zone-a" : "zone-b", false);
        replica.work_ms = 20;
        replica.on_run = [&](review::replica& self, request const& asked, server_connection& to)
        {
            if (asked.path() != "/look/deadly")
                return true;
            std::lock_guard const lock(mutex);
            arrivals.push_back(it.record.seconds());
            if (!is_troubled())
                return true;
            to.close_after();
            if (!self.is_alive())
                return false;
            std::this_thread::sleep_for(milliseconds(10));
            self.crash(true);
            crashes.push_back(it.record.seconds());
            restarts.emplace_back(
                [&self]
                {
                    std::this_thread::sleep_for(restart_delay);
                    self.restart();
                });
            return false;
        };
        replica.set_state("ready");
    }
    it.add_replica("pool", "zone-a", true).set_state("ready");
    it.configure(
        1,
        {{"/look/", "safe", "app", 3000, 1, false, false},
         {"/draft/", "streaming", "pool", 5000, 1, false, true}},
        R"({"name":"club","apiKeys":["key-club"],"priority":1,"prepaid":100000000})");
    it.add_gateway("zone-a");
    it.add_gateway("zone-b");
    for (auto const& gateway : it.gateways)
        it.wait_until_ready(*gateway);
    std::this_thread::sleep_for(milliseconds(500));
    std::atomic<bool> is_over{false};
    std::atomic<int> served{0};
    std::thread sound(
        [&]
        {
            for (unsigned n = 0; !is_over; ++n)
            {
                served += it.ask(
                                *it.gateways[n % 2],
                                "GET",
                                "/look/sound" + std::to_string(n),
                                {{"Authorization", "Bearer key-club"}},
                                "",
                                "s" + std::to_string(n),
                                1500,
                                "")
                                  .is_success()
                              ? 1
                              : 0;
                std::this_thread::sleep_for(milliseconds(30));
            }
        });
    std::this_thread::sleep_for(milliseconds(2000));
    unsigned number = 0;
    for (int burst = 0; burst < burst_count; ++burst)
    {
        for (int n = 0; n < attempts_a_burst; ++n)
        {
            auto const answer = it.ask(
                *it.gateways[number % 2],
                "GET",
                "/look/deadly",
                {{"Authorization", "Bearer key-club"}},
                "",
                "d" + std::to_string(number),
                1500,
                "deadly");
            ++number;
            if (answer.is_success())
                break;
        }
        std::this_thread::sleep_for(burst_pause);
    }
    is_over = true;
    sound.join();
    for (auto& t : restarts)
        t.join();
    it.record.line(
        "%zu arrivals, %zu crashes, %d sound requests served",
        arrivals.size(),
        crashes.size(),
        served.load());
    if (crashes.size() < 3)
        return verdict::held;
    auto const limit_s = crashes[2] + contact_ms / 1000.0;
    auto const late =
        std::count_if(arrivals.begin(), arrivals.end(), [&](double a) { return a > limit_s; });
    it.record.line(
        "third crash at %.3f; %ld retries reached replicas later than %.3f, 3 are allowed",
        crashes[2],
        static_cast<long>(late),
        limit_s);
    return late > 3 ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
