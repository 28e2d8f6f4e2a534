// Gateways' machines are lost for good and replaced by others; see review/7/claim.txt.

#include "fleet.hpp"

using namespace review;

namespace {

constexpr int prepaid = 500'000;
constexpr int losses = 6;
constexpr int added_machines = 3;
constexpr auto loss_pause = milliseconds(3000);
constexpr int recover_ms = 12'000;
constexpr auto restart_delay = milliseconds(500);
constexpr auto request_pause = milliseconds(100);
constexpr int measured_requests = 40;
constexpr std::int64_t input_tokens = 1460;
constexpr std::int64_t output_limit = 80;

verdict play(fleet& it)
{
    // What the tenant was given: input once a request, and each event at most, delivered or not.
    std::atomic<std::int64_t> consumed{0};
    for (int n = 0; n < 4; ++n)
    {
        auto& replica = it.add_replica("pool", n % 2 == 0 ? "zone-a" : "zone-b", true);
        replica.on_run = [&](review::replica& self, request const&, server_connection&)
        {
            consumed += input_tokens + self.events;
            return true;
        };
        replica.set_state("ready");
    }
    it.configure(
        1,
        {{"/draft/", "streaming", "pool", 5000, 1, false, true}},
        R"({"name":"club","apiKeys":["key-club"],"priority":1,"prepaid":)" +
            std::to_string(prepaid) + "}");

    // Machines in service. Some of the lost ones are replaced, by machines with other names and
    // addresses.
    std::mutex mutex;
    std::vector<gateway_process*> serving{
        &it.add_gateway("zone-a"),
        &it.add_gateway("zone-a"),
        &it.add_gateway("zone-b"),
        &it.add_gateway("zone-c")};
    for (auto* const gateway : serving)
        it.wait_until_ready(*gateway);

    auto const ask = [&](unsigned n)
    {
        gateway_process* to = nullptr;
        {
            std::lock_guard const lock(mutex);
            to = serving[n % serving.size()];
        }
        char prefix[64];
        std::snprintf(
            prefix,
            sizeof(prefix),
            "600d0001:800,%x:410,%x:250",
            0x50000000U + n % 8,
            0xd0000000U + n);
        return it.ask(
            *to,
            "POST",
            "/draft/2f",
            {{"Authorization", "Bearer key-club"},
             {"X-Almondcart-Model", "m"},
             {"X-Almondcart-Token-Count",
              std::to_string(input_tokens) + "," + std::to_string(output_limit)},
             {"X-Almondcart-Prompt-Prefix", prefix}},
            "prompt " + std::to_string(n),
            "r" + std::to_string(n),
            5000,
            "");
    };
    std::atomic<unsigned> number{0};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<bool> is_over{false};
    std::thread callers(
        [&]
        {
            std::vector<std::thread> open;
            while (!is_over)
            {
                open.emplace_back(
                    [&]
                    {
                        ++sent;
                        served += ask(number++).is_success() ? 1 : 0;
                    });
                std::this_thread::sleep_for(request_pause);
            }
            for (auto& thread : open)
                thread.join();
        });
    std::this_thread::sleep_for(milliseconds(4000));
    for (int n = 0; n < losses; ++n)
    {
        if (is_troubled())
        {
            gateway_process* lost = nullptr;
            {
                std::lock_guard const lock(mutex);
                lost = serving.front();
                serving.erase(serving.begin());
            }
            lost->running->end();
            it.record.line(
                "machine of %s is lost for good; the replicas have run %lld tokens of %d",
                lost->name.c_str(),
                static_cast<long long>(consumed.load()),
                prepaid);
            if (n < added_machines)
            {
                auto& added = it.add_gateway("zone-b");
                it.wait_until_ready(added);
                std::lock_guard const lock(mutex);
                serving.push_back(&added);
            }
        }
        std::this_thread::sleep_for(loss_pause);
    }
    is_over = true;
    callers.join();
    if (is_troubled())
    {
        for (auto* const gateway : serving)
            gateway->running->end();
        it.record.line("the final fault: all processes are killed");
        std::this_thread::sleep_for(restart_delay);
        for (auto* const gateway : serving)
            gateway->running->start();
    }
    for (auto* const gateway : serving)
        it.wait_until_ready(*gateway);
    it.record.line("all gateways are ready");
    std::this_thread::sleep_for(milliseconds(recover_ms));
    int served_after = 0;
    for (int n = 0; n < measured_requests; ++n)
    {
        served_after += ask(number++).is_success() ? 1 : 0;
        std::this_thread::sleep_for(request_pause);
    }
    it.record.line(
        "before the final fault %d of %d requests were served", served.load(), sent.load());
    it.record.line(
        "later than %d ms after the return %d of %d were served",
        recover_ms,
        served_after,
        measured_requests);
    it.record.line(
        "the replicas have run %lld tokens, %.1f in 100 of the %d that are prepaid",
        static_cast<long long>(consumed.load()),
        100.0 * static_cast<double>(consumed) / prepaid,
        prepaid);
    // Requests are owed while they fit into 97 in 100 of the total.
    bool const is_owed =
        static_cast<double>(consumed + measured_requests * (input_tokens + output_limit)) <
        prepaid * 0.97;
    if (!is_owed || served * 4 < sent)
        return verdict::could_not_run;
    return served_after * 4 < measured_requests ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
