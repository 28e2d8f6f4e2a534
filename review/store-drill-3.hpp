#pragma once

// What the cases share in which the store comes back from a copy that is some seconds old.

#include "harness-3.hpp"

namespace review {

constexpr int drill_input_tokens = 9'190;
constexpr int drill_output_tokens = 68;
constexpr int drill_tokens_per_event = 4;
constexpr std::int64_t drill_request_tokens = drill_input_tokens + drill_output_tokens;

/// What the requests of one account came to, as their clients saw it.
struct account_usage
{
    std::mutex mutex;
    std::int64_t tokens = 0;
    std::map<int, int> statuses;

    void add(message const& response)
    {
        std::lock_guard const lock(mutex);
        ++statuses[response.status];
        if (response.status == 200)
            tokens +=
                drill_input_tokens +
                std::min(drill_output_tokens, count_events(response.body) * drill_tokens_per_event);
    }

    std::string status_text()
    {
        std::lock_guard const lock(mutex);
        std::string text;
        for (auto const& [status, n] : statuses)
            text += " " + std::to_string(status) + ":" + std::to_string(n);
        return text;
    }
};

/// A fleet whose replicas answer at once and write to the registry as sound ones do.
class drill_fleet
{
public:
    drill_fleet(std::string const& record_file, int gateway_count)
        : record(record_file)
        , all(record, hosts(), gateway_count)
    {
        int n = 0;
        for (auto const& host : hosts())
        {
            ++n;
            auto const id = "i-" + std::to_string(n);
            servers_.push_back(std::make_unique<server>(
                find_free_address(host),
                [this, id](int fd, message const& request) { return answer(fd, request, id); }));
            replica_entry entry;
            entry.id = id;
            entry.service = "models";
            entry.address = servers_.back()->address();
            entry.zone = "zone-" + std::to_string(n);
            entry.slots = 48;
            entry.born = wall_ms();
            entries_.push_back(entry);
        }
    }

    ~drill_fleet()
    {
        is_over_ = true;
        if (heartbeats_.joinable())
            heartbeats_.join();
        all.gateways.clear();
        all.relays.clear();
        for (auto& it : servers_)
            it->stop();
        all.store.stop();
    }

    /// Starts the first `gateway_count` gateways and waits until they are ready.
    bool start(operator_configuration const& configuration, std::size_t gateway_count)
    {
        if (!all.start(gateway_count))
            return false;
        for (auto& it : servers_)
        {
            if (!it->start())
                return false;
        }
        // The replicas write again what a copy lacks.
        heartbeats_ = std::thread(
            [this]
            {
                while (!is_over_)
                {
                    for (auto& it : entries_)
                    {
                        ++it.sequence;
                        all.store.put("keyed.servers", it.id, it.text());
                    }
                    for (int n = 0; n < 12 && !is_over_; ++n)
                        sleep_ms(100);
                }
            });
        all.store.put("keyed.op", "config", configuration.text());
        return all.wait_until_ready();
    }

    /// Sends a request of `account` and returns its response.
    message ask(std::size_t gateway, std::string const& account)
    {
        auto const n = next_id_++;
        client_request request;
        request.id = account + "-" + std::to_string(n);
        request.key = "key" + account.substr(account.rfind('-'));
        request.input_tokens = drill_input_tokens;
        request.output_tokens = drill_output_tokens;
        request.prefix = "a1:6300,b" + std::to_string(n) + ":2890";
        auto const response = exchange(all.settings[gateway].listen, request.text(), 6'000);
        record(
            "client: %s at gateway %zu: %d events=%d %s",
            request.id.c_str(),
            gateway + 1,
            response.status,
            count_events(response.body),
            response.status == 200 ? "" : response.body.c_str());
        return response;
    }

    /// Starts a client at each of `gateways` that asks again and again for `for_ms`.
    std::vector<std::thread> run_clients(
        std::string const& account,
        std::vector<std::size_t> const& gateways,
        std::int64_t pause_ms,
        std::int64_t for_ms,
        account_usage& usage)
    {
        std::vector<std::thread> clients;
        auto const end = steady_ms() + for_ms;
        for (auto const gateway : gateways)
            clients.emplace_back(
                [this, account, gateway, pause_ms, end, &usage]
                {
                    while (steady_ms() < end)
                    {
                        usage.add(ask(gateway, account));
                        sleep_ms(pause_ms);
                    }
                });
        return clients;
    }

    /// Reports the result and returns the exit code.
    int report(std::string const& account, std::int64_t total, account_usage& usage)
    {
        bool const is_broken = usage.tokens > total;
        char line[400];
        std::snprintf(
            line,
            sizeof(line),
            "account %s: prepaid %lld, got %lld (%.0f in 100); answers:%s; processes run: %d: %s",
            account.c_str(),
            static_cast<long long>(total),
            static_cast<long long>(usage.tokens),
            100.0 * static_cast<double>(usage.tokens) / static_cast<double>(total),
            usage.status_text().c_str(),
            all.is_running(),
            is_broken ? "BUDGET broken" : "held");
        record("%s", line);
        std::printf("%s\n", line);
        return is_broken ? 1 : 0;
    }

    recorder record;
    fleet all;

private:
    static std::vector<std::string> hosts() { return {"127.0.0.11", "127.0.0.12", "127.0.0.13"}; }

    bool answer(int fd, message const& request, std::string const& replica)
    {
        auto const id = request.header("x-almondcart-request-id");
        if (request.header("x-almondcart-expect-instance") != replica)
            return send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        record("replica %s runs %s", replica.c_str(), id.c_str());
        sleep_ms(20);
        return send_all(
            fd,
            stream_head(id) + chunk(events_text(1, drill_output_tokens / drill_tokens_per_event)) +
                "0\r\n\r\n");
    }

    std::vector<std::unique_ptr<server>> servers_;
    std::vector<replica_entry> entries_;
    std::atomic<bool> is_over_ = false;
    std::thread heartbeats_;
    std::atomic<int> next_id_ = 1;
};

} // namespace review
