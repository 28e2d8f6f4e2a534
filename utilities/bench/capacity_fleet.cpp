#include "capacity_fleet.hpp"

#include <almondcart/core/json.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

#include "capacity_probe.hpp"
#include "capacity_router.hpp"
#include "capacity_samples.hpp"

namespace almondcart::bench {

using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 20ms;
constexpr int budgets = 1'000;
constexpr double requests_per_router = 7'400.0 / sample_routers;

class capacity_fleet
{
public:
    capacity_fleet(int routers, std::uint64_t seed, duration warm_up, duration window)
        : warm_up_(warm_up)
        , window_(window)
        , random_(seed)
    {
        for (int n = 0; n < budgets; ++n)
        {
            auto const budget = sample_budget(n);
            limit_record const limit{budget, 1'000'000'000'000, {}, 1};
            log_.put(
                budget_stream(shard_of(budget.account)),
                to_compact_json(to_json(log_record{{"publisher", "0"}, n + 1, limit})));
        }
        for (int n = 0; n < routers; ++n)
            ids_.push_back(sample_router(n));
        for (int n = 0; n < routers; ++n)
            routers_.push_back(std::make_unique<capacity_router>(
                n, time_, log_, [this](int self) { return peers_of(self); }));
    }

    Json::Value execute()
    {
        for (std::size_t n = 0; n < routers_.size(); ++n)
        {
            // Routers start at different times within the flush interval, like real processes. The
            // first append ends the long polls of all routers, so their requests start later.
            auto const start = duration(std::int64_t(n * 1'000 / routers_.size()));
            time_.every(start, tick_interval, [router = routers_[n].get()] { router->tick(); });
            schedule_arrival(*routers_[n], start + 2'500ms);
        }
        time_.run_until(instant{warm_up_});
        auto const before = totals();
        auto const records_before = log_.records();
        auto const record_bytes_before = log_.record_bytes();
        auto const append_bytes_before = log_.append_bytes();
        auto const types_before = log_.records_by_type();
        time_.run_until(instant{warm_up_ + window_});
        auto value = report(before, totals());
        auto const seconds = double(window_.count()) / 1'000;
        value["log_records_per_s"] = double(log_.records() - records_before) / seconds;
        value["log_record_bytes_per_s"] =
            double(log_.record_bytes() - record_bytes_before) / seconds;
        value["log_append_bytes_per_s"] =
            double(log_.append_bytes() - append_bytes_before) / seconds;
        for (auto const& [type, count] : log_.records_by_type())
        {
            auto const known = types_before.find(type);
            auto const old = known == types_before.end() ? 0 : known->second;
            value["records_by_type_per_s"][type] = double(count - old) / seconds;
        }
        return value;
    }

private:
    struct fleet_totals
    {
        router_costs costs;
        std::int64_t appends = 0;
        std::int64_t reads = 0;
        std::int64_t records_read = 0;
    };

    std::vector<process_id> peers_of(int self) const
    {
        auto peers = ids_;
        peers.erase(peers.begin() + self);
        return peers;
    }

    void schedule_arrival(capacity_router& router, duration delay)
    {
        time_.after(
            delay,
            [this, &router]
            {
                if (!router.has_caught_up())
                {
                    schedule_arrival(router, tick_interval);
                    return;
                }
                auto const budget = sample_budget(random_budget());
                router.arrive(sample_request(budget.account, ++requests_), budget);
                std::exponential_distribution<double> gap(requests_per_router / 1'000);
                schedule_arrival(router, duration(std::int64_t(std::lround(gap(random_)))));
            });
    }

    /// Draws log-uniformly, so that a few budgets get most requests.
    int random_budget()
    {
        std::uniform_real_distribution<double> exponent(0, std::log(double(budgets)));
        return std::min(budgets - 1, int(std::exp(exponent(random_))) - 1);
    }

    fleet_totals totals() const
    {
        fleet_totals sum;
        for (auto const& router : routers_)
        {
            auto const& costs = router->costs();
            sum.costs.log_ns += costs.log_ns;
            sum.costs.request_ns += costs.request_ns;
            sum.costs.sent_bytes += costs.sent_bytes;
            sum.costs.received_bytes += costs.received_bytes;
            sum.costs.calls += costs.calls;
            sum.costs.granted += costs.granted;
            sum.costs.refused += costs.refused;
            sum.costs.billed += costs.billed;
            sum.appends += router->counters().appends;
            sum.reads += router->counters().reads;
            sum.records_read += router->counters().records_read;
        }
        return sum;
    }

    Json::Value report(fleet_totals const& before, fleet_totals const& after) const
    {
        auto const seconds = double(window_.count()) / 1'000;
        auto const per_router = [&](std::int64_t old, std::int64_t now)
        { return double(now - old) / seconds / double(routers_.size()); };
        auto const& old = before.costs;
        auto const& now = after.costs;
        Json::Value value;
        value["routers"] = Json::UInt64(routers_.size());
        value["log_appends_per_s"] = double(after.appends - before.appends) / seconds;
        value["requests_per_s"] = double(now.granted - old.granted) / seconds;
        value["refusals"] = Json::Int64(now.refused);
        value["billed_per_s"] = per_router(old.billed, now.billed); // each router applies all usage
        value["open_grants"] = Json::UInt64(routers_.front()->open_grants());
        auto& node = value["per_router_per_s"];
        node["log_calls"] = per_router(old.calls, now.calls);
        node["reads"] = per_router(before.reads, after.reads);
        node["records_read"] = per_router(before.records_read, after.records_read);
        node["sent_bytes"] = per_router(old.sent_bytes, now.sent_bytes);
        node["received_bytes"] = per_router(old.received_bytes, now.received_bytes);
        node["log_cpu_us"] = per_router(old.log_ns, now.log_ns) / 1'000;
        node["request_cpu_us"] = per_router(old.request_ns, now.request_ns) / 1'000;
        return value;
    }

    duration warm_up_;
    duration window_;
    virtual_time time_;
    capacity_log log_{time_};
    std::mt19937_64 random_;
    std::vector<process_id> ids_;
    std::vector<std::unique_ptr<capacity_router>> routers_;
    std::int64_t requests_ = 0;
};

} // namespace

Json::Value measure_fleet(int routers, std::uint64_t seed, duration warm_up, duration window)
{
    capacity_probe const probe;
    capacity_fleet fleet(routers, seed, warm_up, window);
    auto value = fleet.execute();
    value["warm_up_s"] = double(warm_up.count()) / 1'000;
    value["bytes_per_router"] = Json::Int64(probe.bytes() / routers);
    value["measure_cpu_s"] = double(probe.cpu_ns()) / 1e9;
    return value;
}

} // namespace almondcart::bench
