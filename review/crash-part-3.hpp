#pragma once

// The scenario of several cases: one part of a prompt crashes each replica that begins to write an
// answer on it, while sound requests share the other parts and the callers.

#include "harness-3.hpp"

namespace review {

struct crash_part_options
{
    /// Time from the start for which requests with the part are answered before it turns deadly.
    std::int64_t sound_ms = 0;

    /// Whether a replica has written the first event of its answer when it crashes.
    bool has_first_event = false;

    /// The part that crashes replicas, as the clients write it in `X-Almondcart-Prompt-Prefix`.
    std::string bad_part = "bad0:500";

    std::int64_t run_ms = 40'000;
};

class crash_part_case
{
public:
    crash_part_case(std::string const& record_file, crash_part_options options)
        : options_(options)
        , record_(record_file)
        , all_(record_, hosts(), 2)
    {}

    ~crash_part_case()
    {
        all_.gateways.clear();
        all_.relays.clear();
        for (auto& it : replicas_)
            it->stop();
        all_.store.stop();
    }

    /// Returns the exit code of the case: 1 if more than three requests with the part reach
    /// replicas later than `contactMs` after the fifth crash, 0 if not, 2 if it could not run.
    int run()
    {
        if (!start())
        {
            std::printf("the gateways did not become ready\n");
            return 2;
        }
        start_ = steady_ms();
        std::vector<std::thread> clients;
        for (int n = 0; n < sound_clients; ++n)
            clients.emplace_back([this, n] { ask_repeatedly(n, false, 200); });
        for (int n = 0; n < bad_clients; ++n)
            clients.emplace_back([this, n] { ask_repeatedly(n, true, 800); });
        for (auto& it : clients)
            it.join();
        return report();
    }

private:
    static constexpr std::int64_t contact_ms = 3'000;
    static constexpr std::size_t crash_limit = 5;
    static constexpr int request_limit = 3;
    static constexpr std::int64_t down_ms = 2'000; ///< "back after some seconds"
    static constexpr int event_count = 17;
    static constexpr int sound_clients = 10;
    static constexpr int bad_clients = 2;

    static std::vector<std::string> hosts()
    {
        return {"127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14"};
    }

    bool start()
    {
        int n = 0;
        for (auto const& host : hosts())
        {
            ++n;
            replicas_.push_back(std::make_unique<replica_slot>(
                record_, all_.store, host, "zone-" + std::to_string(n % 2 + 1), n));
            replicas_.back()->on_request([this, slot = replicas_.back().get()](
                                             int fd, message const& request, std::string const& id)
                                         { return answer(*slot, fd, request, id); });
        }
        if (!all_.start())
            return false;
        for (auto& it : replicas_)
            it->start();
        operator_configuration configuration;
        configuration.timeout_ms = 6'000;
        configuration.tenants = {
            {"club-1", "key-1", 1'000'000'000}, {"club-2", "key-2", 1'000'000'000}};
        all_.store.put("keyed.op", "config", configuration.text());
        if (!all_.wait_until_ready())
            return false;
        sleep_ms(500);
        return true;
    }

    bool is_deadly() const { return has_trouble() && steady_ms() - start_ >= options_.sound_ms; }

    bool answer(replica_slot& slot, int fd, message const& request, std::string const& id)
    {
        auto const name = request.header("x-almondcart-request-id");
        bool const is_bad = request.header("x-almondcart-prompt-prefix").find(options_.bad_part) !=
                            std::string::npos;
        record_("replica %s runs %s", id.c_str(), name.c_str());
        if (is_bad)
        {
            std::lock_guard const lock(mutex_);
            arrivals_.push_back(steady_ms());
        }
        bool const is_crashing = is_bad && is_deadly();
        sleep_ms(30);
        if (is_crashing && !options_.has_first_event)
            return crash(slot);
        if (!send_all(fd, stream_head(name) + chunk(events_text(1, 1))))
            return false;
        sleep_ms(20);
        if (is_crashing)
            return crash(slot);
        for (int event = 2; event <= event_count; ++event)
        {
            sleep_ms(25);
            if (!send_all(fd, chunk(events_text(event, event))))
                return false;
        }
        return send_all(fd, "0\r\n\r\n");
    }

    bool crash(replica_slot& slot)
    {
        if (slot.crash(down_ms))
        {
            std::lock_guard const lock(mutex_);
            crashes_.push_back(steady_ms());
        }
        return false;
    }

    void ask_repeatedly(int gateway, bool is_bad, std::int64_t pause_ms)
    {
        sleep_ms(pause_ms * gateway / 2);
        while (steady_ms() - start_ < options_.run_ms)
        {
            ask(static_cast<std::size_t>(gateway % 2), is_bad);
            sleep_ms(pause_ms);
        }
    }

    void ask(std::size_t gateway, bool is_bad)
    {
        auto const n = next_id_++;
        client_request request;
        request.id = (is_bad ? "bad-" : "sound-") + std::to_string(n);
        request.key = "key-" + std::to_string(n % 2 + 1);
        request.deadline_ms = 6'000;
        request.input_tokens = 3'000;
        request.output_tokens = 4 * event_count;
        request.body = "question " + std::to_string(n);
        // The beginning is shared by all, the last part belongs to the request.
        request.prefix = std::string("a1:2000,") + (is_bad ? options_.bad_part : "c2:500") + ",f" +
                         std::to_string(n) + ":500";
        auto const response = exchange(all_.settings[gateway].listen, request.text(), 7'000);
        record_(
            "client: %s at gateway %zu: %d events=%d complete=%d %s",
            request.id.c_str(),
            gateway + 1,
            response.status,
            count_events(response.body),
            response.is_complete,
            response.status == 200 ? "" : response.body.c_str());
        std::lock_guard const lock(mutex_);
        ++(is_bad ? bad_statuses_ : sound_statuses_)[response.status];
        if (!is_bad && response.status == 200 && !response.is_complete)
            ++sound_cut_;
    }

    int report()
    {
        int late = 0;
        std::sort(crashes_.begin(), crashes_.end());
        if (crashes_.size() >= crash_limit)
        {
            auto const from = crashes_[crash_limit - 1] + contact_ms;
            late = static_cast<int>(
                std::ranges::count_if(arrivals_, [from](auto at) { return at > from; }));
        }
        bool const is_broken = late > request_limit;
        char line[600];
        std::snprintf(
            line,
            sizeof(line),
            "%zu crashes; %d requests with the part reached replicas later than %lld ms after the "
            "fifth (at most %d); answers to them:%s; sound:%s, cut off: %d; processes run: %d: %s",
            crashes_.size(),
            late,
            static_cast<long long>(contact_ms),
            request_limit,
            text_of(bad_statuses_).c_str(),
            text_of(sound_statuses_).c_str(),
            sound_cut_,
            all_.is_running(),
            is_broken ? "BUDGET broken" : "held");
        record_("%s", line);
        std::printf("%s\n", line);
        return is_broken ? 1 : 0;
    }

    static std::string text_of(std::map<int, int> const& statuses)
    {
        std::string text;
        for (auto const& [status, n] : statuses)
            text += " " + std::to_string(status) + ":" + std::to_string(n);
        return text;
    }

    crash_part_options options_;
    recorder record_;
    fleet all_;
    std::vector<std::unique_ptr<replica_slot>> replicas_;
    std::int64_t start_ = 0;
    std::atomic<int> next_id_ = 1;
    std::mutex mutex_;
    std::vector<std::int64_t> arrivals_; ///< of requests with the part
    std::vector<std::int64_t> crashes_;
    std::map<int, int> sound_statuses_;
    std::map<int, int> bad_statuses_;
    int sound_cut_ = 0; ///< streams of sound requests that ended without their end
};

} // namespace review
