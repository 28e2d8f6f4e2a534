#include "routing_trace.hpp"

#include <algorithm>
#include <cmath>
#include <random>

#include "engine_model.hpp"

namespace almondcart {

namespace {

constexpr int prefix_groups = 200;
constexpr int prefix_tokens = 1500;
constexpr int mean_tail_tokens = 150;
constexpr int accounts = 10;
constexpr double popularity_exponent = 0.7; ///< of prefix groups and accounts

std::discrete_distribution<int> create_popularity(int n)
{
    std::vector<double> weights;
    weights.reserve(static_cast<std::size_t>(n));
    for (int rank = 1; rank <= n; ++rank)
        weights.push_back(1 / std::pow(rank, popularity_exponent));
    return {weights.begin(), weights.end()};
}

} // namespace

double bench_capacity_per_s()
{
    double hold_ms = 0;
    for (auto const& kind : bench_kinds)
    {
        auto const prefill_ms = engine_model::prefill_time_ms(mean_tail_tokens + prefix_tokens / 2);
        hold_ms += kind.share *
                   (prefill_ms + kind.output_tokens * engine_model::token_time_ms(bench_slots));
    }
    return bench_upstreams * bench_slots * 1000 / hold_ms;
}

std::vector<bench_request> create_trace(std::uint64_t seed, double load, duration length)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap_s(bench_capacity_per_s() * load);
    std::discrete_distribution<int> kinds{
        bench_kinds[0].share, bench_kinds[1].share, bench_kinds[2].share};
    auto groups = create_popularity(prefix_groups);
    auto account_of = create_popularity(accounts);
    std::uniform_int_distribution<int> routers(0, bench_routers - 1);
    std::uniform_real_distribution<double> spread(0.5, 1.5);

    std::vector<bench_request> trace;
    double time_ms = 0;
    while (true)
    {
        time_ms += gap_s(random) * 1000;
        if (time_ms >= static_cast<double>(length.count()))
            return trace;
        bench_request request;
        request.id = trace.size() + 1;
        request.arrival = {duration(static_cast<duration::rep>(time_ms))};
        request.router = routers(random);
        request.kind = kinds(random);
        request.account = "account-" + std::to_string(account_of(random));
        request.prefix_group = groups(random);
        request.prefix_tokens = prefix_tokens;
        request.tail_tokens = static_cast<int>(mean_tail_tokens * spread(random));
        request.output_tokens =
            std::max(1, static_cast<int>(bench_kinds[request.kind].output_tokens * spread(random)));
        trace.push_back(std::move(request));
    }
}

} // namespace almondcart
