// The store comes back from a copy that is some seconds old. Then four gateways, which know records
// of higher offsets, serve one account while others in its topic of draws are busy.

#include "../store-drill-3.hpp"

using namespace review;

namespace {

constexpr std::size_t gateway_count = 4;
constexpr int account_count = 24;
constexpr std::int64_t copy_age_ms = 7'000; ///< "some seconds old"
constexpr std::int64_t away_ms = 1'000;     ///< "away for a moment"
constexpr std::int64_t small_total = 700'000;
constexpr std::int64_t large_total = 1'000'000'000;

/// Accounts by the topic in which their draws are.
class topic_observer
{
public:
    explicit topic_observer(drill_fleet& fleet)
    {
        fleet.all.store.on_append(
            [this,
             &fleet](std::string const& topic, std::string const& key, std::string const& value)
            {
                if (!topic.starts_with("keyed.prepaid-draws-"))
                    return;
                fleet.record("store: %s %s %s", topic.c_str(), key.c_str(), value.c_str());
                std::lock_guard const lock(mutex_);
                accounts_[topic].insert(key.substr(0, key.rfind('/')));
            });
    }

    /// Returns the accounts of the topic with most of them.
    std::vector<std::string> largest()
    {
        std::lock_guard const lock(mutex_);
        std::set<std::string> found;
        for (auto const& [topic, accounts] : accounts_)
        {
            if (accounts.size() > found.size())
                found = accounts;
        }
        return {found.begin(), found.end()};
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::set<std::string>> accounts_;
};

} // namespace

int main(int argc, char** argv)
{
    drill_fleet fleet(argc > 1 ? argv[1] : "record.txt", gateway_count);
    topic_observer topics(fleet);
    operator_configuration configuration;
    for (int n = 1; n <= account_count; ++n)
        configuration.tenants.push_back(
            {"club-" + std::to_string(n), "key-" + std::to_string(n), large_total});
    if (!fleet.start(configuration, gateway_count))
        return 2;
    for (auto const& it : configuration.tenants)
        fleet.ask(0, it.name);
    auto busy = topics.largest();
    if (busy.size() < 2)
        return 2;
    auto const tested = busy.back();
    busy.pop_back();
    // The tested account gets a small total, of which one request has been served.
    for (auto& it : configuration.tenants)
        it.prepaid = it.name == tested ? small_total : large_total;
    configuration.version = 2;
    fleet.all.store.put("keyed.op", "config", configuration.text());
    sleep_ms(3'000);

    account_usage busy_usage;
    account_usage usage;
    usage.tokens = drill_request_tokens;
    std::vector<std::thread> clients;
    auto const start_clients = [&](std::string const& account,
                                   std::vector<std::size_t> const& gateways,
                                   std::int64_t pause_ms,
                                   std::int64_t for_ms,
                                   account_usage& its_usage)
    {
        auto started = fleet.run_clients(account, gateways, pause_ms, for_ms, its_usage);
        std::ranges::move(started, std::back_inserter(clients));
    };
    for (auto const& it : busy)
        start_clients(it, {0, 1, 2, 3}, 300, 24'000, busy_usage);
    sleep_ms(3'000);
    if (has_trouble())
        fleet.all.store.take_copy();
    sleep_ms(copy_age_ms - away_ms);
    if (has_trouble())
        fleet.all.store.restore_copy(away_ms);
    else
        sleep_ms(away_ms);
    sleep_ms(500);
    start_clients(tested, {0, 1, 2, 3, 0, 1, 2, 3}, 350, 20'000, usage);
    for (auto& it : clients)
        it.join();
    return fleet.report(tested, small_total, usage);
}
