#include "budget_scenario.hpp"

#include <almondcart/core/hash.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace almondcart::bench {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t budget_count = 6;
constexpr int agent_count = 12;
constexpr std::array<double, budget_count> traffic_shares = {0.40, 0.25, 0.15, 0.10, 0.06, 0.04};
constexpr double requests_per_s = 12;

/// Extra traffic of one budget at one router.
struct burst
{
    std::size_t budget = 0;
    int router = 0;
    time_span span;
    double factor = 1;
};

class trace_builder
{
public:
    trace_builder(std::string name, std::uint64_t seed, int routers, duration length)
        : random_(hash64(name, seed))
    {
        scenario_.name = std::move(name);
        scenario_.routers = routers;
        scenario_.agents = agent_count;
        scenario_.length = length;
        for (std::size_t n = 0; n < budget_count; ++n)
        {
            auto const preference =
                n % 2 == 0 ? budget_preference::false_refusals : budget_preference::overspend;
            account_id const account{"sandshare", "account-" + std::to_string(n)};
            scenario_.budgets.push_back({{account, "season"}, preference, 0});
            rates_.push_back(requests_per_s * traffic_shares[n]);
            add_router_weights();
        }
    }

    trace_builder& set_rate(std::size_t budget, double requests_per_second)
    {
        rates_[budget] = requests_per_second;
        return *this;
    }

    trace_builder& add_burst(burst extra)
    {
        bursts_.push_back(extra);
        return *this;
    }

    /// Draws the requests and sets each budget's total to `share` of the tokens that all of its
    /// requests would use.
    budget_scenario build(double share)
    {
        for (std::size_t n = 0; n < budget_count; ++n)
        {
            for (int router = 0; router < scenario_.routers; ++router)
            {
                auto const rate = rates_[n] * weights_[n][std::size_t(router)];
                add_requests(n, router, {instant{}, instant{scenario_.length}}, rate);
                for (auto const& extra : bursts_)
                {
                    if (extra.budget == n && extra.router == router)
                        add_requests(n, router, extra.span, rate * (extra.factor - 1));
                }
            }
        }
        auto& requests = scenario_.requests;
        std::stable_sort(
            requests.begin(),
            requests.end(),
            [](auto const& left, auto const& right) { return left.at < right.at; });
        for (std::size_t n = 0; n < requests.size(); ++n)
            requests[n].id.key = "key-" + std::to_string(10'000'000 + n);
        for (std::size_t n = 0; n < budget_count; ++n)
            scenario_.budgets[n].total = token_count(share * double(expected_use(n)));
        return scenario_;
    }

    token_count expected_use(std::size_t budget) const
    {
        token_count sum = 0;
        for (auto const& request : scenario_.requests)
            sum += request.budget == budget ? request.actual : 0;
        return sum;
    }

private:
    /// The traffic of an account is uneven across entry VMs, because clients are close to one of
    /// them.
    void add_router_weights()
    {
        std::exponential_distribution<double> draw(1);
        std::vector<double> weights;
        double sum = 0;
        for (int router = 0; router < scenario_.routers; ++router)
        {
            weights.push_back(0.5 + draw(random_));
            sum += weights.back();
        }
        for (auto& weight : weights)
            weight /= sum;
        weights_.push_back(std::move(weights));
    }

    void add_requests(std::size_t budget, int router, time_span span, double rate)
    {
        std::exponential_distribution<double> gap(rate / 1000);
        auto const end = double(span.to.since_epoch.count());
        for (double time = double(span.from.since_epoch.count()) + gap(random_); time < end;
             time += gap(random_))
            scenario_.requests.push_back(
                create_request(budget, router, instant{duration(std::int64_t(time))}));
    }

    trace_request create_request(std::size_t budget, int router, instant at)
    {
        static constexpr std::array<token_count, 3> caps = {256, 512, 1024};
        std::lognormal_distribution<double> prompt_bytes(std::log(1200.0), 0.7);
        std::uniform_real_distribution<double> output_share(0.1, 1);
        auto const bytes = token_count(std::clamp(prompt_bytes(random_), 50.0, 20'000.0));
        auto const cap = caps[random_() % caps.size()];
        auto const output = token_count(double(cap) * output_share(random_));
        trace_request request;
        request.at = at;
        request.router = router;
        request.budget = budget;
        request.id.account = scenario_.budgets[budget].id.account;
        request.worst_case = bytes + 16 + cap;
        request.actual = bytes / 4 + output;
        request.service_time = 200ms + output * 20ms;
        request.deadline = 1300ms;
        return request;
    }

    budget_scenario scenario_;
    std::mt19937_64 random_;
    std::vector<double> rates_;
    std::vector<std::vector<double>> weights_;
    std::vector<burst> bursts_;
};

time_span span_of(duration from, duration to)
{
    return {instant{from}, instant{to}};
}

budget_scenario create_partition_top_up(std::uint64_t seed, int routers)
{
    // The budgets run out during the partition without the top-up, and before the end of the
    // scenario with it. A policy that loses track of the spending on the other side overspends.
    auto scenario = trace_builder("partition_top_up", seed, routers, 2h).build(0.45);
    scenario.partitions = {span_of(30min, 90min)};
    for (std::size_t n = 0; n < scenario.budgets.size(); ++n)
    {
        auto const total = scenario.budgets[n].total;
        scenario.top_ups.push_back({instant{1h}, n, total + total * 4 / 9});
    }
    return scenario;
}

budget_scenario create_router_deaths(std::uint64_t seed, int routers)
{
    auto scenario = trace_builder("router_deaths", seed, routers, 30min).build(1.1);
    scenario.lost_response_share = 0.05;
    scenario.deaths = {
        {0, span_of(400s, 460s)},
        {1 % routers, span_of(900s, 960s)},
        {0, span_of(1300s, 1360s)},
        {2 % routers, span_of(1310s, 1400s)}};
    return scenario;
}

} // namespace

std::vector<budget_scenario> create_budget_scenarios(std::uint64_t seed, int routers)
{
    std::vector<budget_scenario> scenarios;
    scenarios.push_back(trace_builder("steady", seed, routers, 20min).build(1.5));
    scenarios.push_back(trace_builder("burst", seed, routers, 20min)
                            .add_burst({0, 0, span_of(600s, 660s), 20})
                            .add_burst({3, routers - 1, span_of(700s, 760s), 20})
                            .build(1.5));
    scenarios.push_back(
        trace_builder("busy_account", seed, routers, 15min).set_rate(0, 60).build(1.1));
    scenarios.push_back(trace_builder("nearly_empty", seed, routers, 15min).build(0.9));
    scenarios.push_back(trace_builder("log_outage", seed, routers, 2h).build(1.2));
    scenarios.back().log_down = {span_of(30min, 90min)};
    scenarios.push_back(create_partition_top_up(seed, routers));
    scenarios.push_back(create_router_deaths(seed, routers));
    return scenarios;
}

} // namespace almondcart::bench
