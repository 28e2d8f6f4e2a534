#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/prepaid_holder.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace almondcart::testing {

/// In-memory keyed topic that applies the appends of each producer in order and injects faults.
class fake_draw_log
{
public:
    using result = forwarding::append_result;
    using outcome = forwarding::append_outcome;
    using record = forwarding::draw_record;

    enum class fault
    {
        none,
        unreachable,   ///< the append does not arrive; no response
        rejected,      ///< the append is rejected with a response
        response_lost, ///< the append is applied; no response
        delayed,       ///< the append is applied by `deliver_delayed`; no response
    };

    result
    append(std::string const& producer, forwarding::draw_append const& append, fault injected)
    {
        if (injected == fault::unreachable)
            return {outcome::unknown, 0};
        if (injected == fault::rejected)
            return {outcome::rejected, 0};
        if (injected == fault::delayed)
        {
            delayed_.emplace_back(producer, append);
            return {outcome::unknown, 0};
        }
        auto const applied = apply(producers_[producer], append);
        return injected == fault::response_lost ? result{outcome::unknown, 0} : applied;
    }

    /// Applies delayed appends, unless their epoch or sequence number is outdated.
    void deliver_delayed()
    {
        for (auto const& [producer, append] : std::exchange(delayed_, {}))
            this->append(producer, append, fault::none);
    }

    std::int64_t end() const { return static_cast<std::int64_t>(records_.size()); }
    std::vector<record> const& records() const { return records_; }

private:
    struct producer_state
    {
        std::uint64_t epoch = 0;
        std::uint64_t last_sequence = 0;
        std::map<std::uint64_t, std::int64_t> offsets{}; ///< of recent appends, by sequence number
    };

    result apply(producer_state& state, forwarding::draw_append const& append)
    {
        if (append.epoch < state.epoch)
            return {outcome::fenced, 0};
        if (append.epoch > state.epoch)
            state = {append.epoch, 0, {}};
        if (auto const it = state.offsets.find(append.sequence); it != state.offsets.end())
            return {outcome::appended, it->second};
        if (!state.offsets.empty() && append.sequence != state.last_sequence + 1)
            return {outcome::out_of_sequence, 0};
        constexpr std::size_t offset_limit = 5;
        state.last_sequence = append.sequence;
        state.offsets[append.sequence] = end();
        if (state.offsets.size() > offset_limit)
            state.offsets.erase(state.offsets.begin());
        auto const offset = end();
        records_.insert(records_.end(), append.records.begin(), append.records.end());
        return {outcome::appended, offset};
    }

    std::vector<record> records_;
    std::map<std::string, producer_state> producers_;
    std::deque<std::pair<std::string, forwarding::draw_append>> delayed_;
};

/// Gateways that draw from one account through a shared log, on a manual clock.
class prepaid_fleet
{
public:
    static constexpr char const* account = "account";

    explicit prepaid_fleet(int gateways, std::int64_t total)
        : total_(total)
    {
        for (int i = 0; i < gateways; ++i)
            start(i);
    }

    /// Starts or restarts gateway `i`, with no state other than the log.
    void start(int i)
    {
        auto& it = gateways_[i];
        it = {};
        it.start = ++start_count_;
        forwarding::prepaid_holder_settings settings;
        settings.vm = vm_of(i);
        forwarding::prepaid_holder::hooks hooks;
        hooks.clock = clock_.function();
        hooks.wall_time_ms = [this] { return clock_.now().since_epoch.count(); };
        hooks.append = [this,
                        i](forwarding::draw_append const& it,
                           std::function<void(forwarding::append_result)> done)
        { append(i, it, std::move(done)); };
        hooks.total = [this](std::string const&) { return total_; };
        hooks.on_read_needed = [] {};
        settings.peer_address = vm_of(i);
        if (has_peers_)
            connect(i, hooks);
        it.holder = std::make_unique<forwarding::prepaid_holder>(settings, hooks);
        read(i);
    }

    /// Ends gateway `i` for good. What it holds stays claimed on the log.
    void remove(int i) { gateways_.erase(i); }

    void set_fault(int i, fake_draw_log::fault injected) { gateways_[i].fault = injected; }

    /// Restarts all gateways with token transfers enabled, which also applies to later starts.
    void connect_peers()
    {
        has_peers_ = true;
        for (auto& [i, gateway] : gateways_)
            start(i);
    }

    /// Loses the response of every `n`th token transfer; 0 loses none.
    void lose_transfers(int n) { lose_transfers_ = n; }

    /// Loses every `n`th append without a response; 0 loses none.
    void lose_appends(int n) { lose_appends_ = n; }

    /// Sets the time that the log takes for each append; appends are processed one at a time.
    void set_latency(duration latency) { latency_ = latency; }
    void set_total(std::int64_t total) { total_ = total; }

    /// Sends a request of `tokens` to gateway `i`. Its result is counted once it is known.
    void request(int i, std::int64_t tokens)
    {
        gateways_[i].holder->reserve(
            account,
            tokens,
            duration(300),
            [this, i, tokens](forwarding::reservation_result result)
            {
                ++results_[result];
                if (result != forwarding::reservation_result::granted)
                    return;
                spent_ += tokens;
                gateways_[i].holder->settle(account, tokens, tokens);
            });
    }

    void advance(duration step)
    {
        clock_.advance(step);
        complete_appends();
        for (auto const& it : std::exchange(pending_responses_, {}))
            it();
        for (auto& [i, gateway] : gateways_)
        {
            if (gateway.fault == fake_draw_log::fault::none)
                read(i);
            gateway.holder->tick();
        }
    }

    /// Runs for `time` with a load of `tokens_per_s` on each gateway, in requests of `tokens`.
    void run(duration time, std::int64_t tokens_per_s, std::int64_t tokens)
    {
        constexpr duration step{10};
        for (duration now{0}; now < time; now += step)
        {
            for (auto& [i, gateway] : gateways_)
            {
                gateway.pending_tokens += static_cast<double>(tokens_per_s) * 0.01;
                for (; gateway.pending_tokens >= static_cast<double>(tokens);
                     gateway.pending_tokens -= static_cast<double>(tokens))
                    request(i, tokens);
            }
            advance(step);
        }
    }

    /// Same as `run`, with all requests sent to gateway `i`.
    void run_one(int i, duration time, std::int64_t tokens_per_s, std::int64_t tokens)
    {
        constexpr duration step{10};
        auto& gateway = gateways_[i];
        for (duration now{0}; now < time; now += step)
        {
            gateway.pending_tokens += static_cast<double>(tokens_per_s) * 0.01;
            for (; gateway.pending_tokens >= static_cast<double>(tokens);
                 gateway.pending_tokens -= static_cast<double>(tokens))
                request(i, tokens);
            advance(step);
        }
    }

    /// Same as `run`, with random requests, one per `interval` and gateway on average.
    void run_random(duration time, duration interval, std::int64_t tokens, unsigned seed)
    {
        constexpr duration step{10};
        std::mt19937 random(seed);
        for (duration now{0}; now < time; now += step)
        {
            for (auto& [i, gateway] : gateways_)
            {
                if (static_cast<std::int64_t>(random() % static_cast<unsigned>(interval.count())) <
                    step.count())
                    request(i, tokens);
            }
            advance(step);
        }
    }

    /// Tokens that gateway `i` claims on the log but can no longer spend.
    std::int64_t charged(int i)
    {
        auto const& it = *gateways_[i].holder;
        return it.ledger().claimed_by({account, vm_of(i)}) - it.free_tokens(account);
    }

    int count(forwarding::reservation_result result) { return results_[result]; }
    std::int64_t spent() const { return spent_; }
    std::int64_t total() const { return total_; }
    fake_draw_log& log() { return log_; }
    forwarding::prepaid_holder& holder(int i) { return *gateways_[i].holder; }
    manual_clock& clock() { return clock_; }

private:
    struct gateway
    {
        std::unique_ptr<forwarding::token_transfer_client> peers;
        std::unique_ptr<forwarding::prepaid_holder> holder;
        fake_draw_log::fault fault = fake_draw_log::fault::none;
        int start = 0; ///< distinguishes successive processes of one gateway
        std::int64_t next = 0;
        double pending_tokens = 0;
    };

    struct slow_append
    {
        int gateway;
        int start;
        instant due;
        forwarding::draw_append append;
        std::function<void(forwarding::append_result)> done;
    };

    void connect(int i, forwarding::prepaid_holder::hooks& hooks)
    {
        forwarding::token_transfer_client::hooks it;
        it.clock = clock_.function();
        it.ask = [this,
                  i](std::string const& address,
                     forwarding::token_request const& request,
                     std::function<void(std::optional<forwarding::token_transfer>)> done)
        { ask(i, address, request, std::move(done)); };
        it.receive = [this, i](std::string const& account, std::int64_t tokens)
        { gateways_[i].holder->transfer_in(account, tokens); };
        it.on_end = [this, i](std::string const& account)
        { gateways_[i].holder->finish_peer_round(account); };
        gateways_[i].peers = std::make_unique<forwarding::token_transfer_client>(
            forwarding::token_transfer_client_settings{}, vm_of(i), it);
        hooks.ask_peers = [this, i](forwarding::token_request const& request)
        { return gateways_[i].peers->request(request); };
    }

    /// Transfers tokens at once and delivers the response with the next step of the clock.
    void
    ask(int i,
        std::string const& address,
        forwarding::token_request const& request,
        std::function<void(std::optional<forwarding::token_transfer>)> done)
    {
        std::optional<forwarding::token_transfer> transfer;
        for (auto& [k, gateway] : gateways_)
        {
            if (vm_of(k) == address)
                transfer = gateway.holder->transfer_out(request);
        }
        if (lose_transfers_ > 0 && ++transfer_count_ % lose_transfers_ == 0)
            transfer.reset();
        pending_responses_.push_back(
            [this, i, transfer, done = std::move(done), start = gateways_[i].start]
            {
                if (gateways_[i].start == start)
                    done(transfer);
            });
    }

    static std::string vm_of(int i) { return "vm-" + std::to_string(i); }

    void append(
        int i,
        forwarding::draw_append const& append,
        std::function<void(forwarding::append_result)> done)
    {
        if (lose_appends_ > 0 && ++appends_ % lose_appends_ == 0)
            return;
        if (latency_ == duration(0) && slow_.empty())
        {
            done(log_.append(vm_of(i), append, gateways_[i].fault));
            return;
        }
        auto const free = slow_.empty() ? clock_.now() : std::max(clock_.now(), slow_.back().due);
        slow_.push_back({i, gateways_[i].start, free + latency_, append, std::move(done)});
    }

    void complete_appends()
    {
        while (!slow_.empty() && slow_.front().due <= clock_.now())
        {
            auto const it = std::move(slow_.front());
            slow_.pop_front();
            auto const result =
                log_.append(vm_of(it.gateway), it.append, gateways_[it.gateway].fault);
            // The process that sent the append may have been restarted.
            if (gateways_[it.gateway].start == it.start)
                it.done(result);
        }
    }

    void read(int i)
    {
        auto& it = gateways_[i];
        for (; it.next < log_.end(); ++it.next)
        {
            auto const& record = log_.records()[static_cast<std::size_t>(it.next)];
            it.holder->apply(it.next, record);
            if (it.peers)
                it.peers->observe(record);
        }
        it.holder->advance(it.next);
    }

    manual_clock clock_;
    std::int64_t total_;
    std::int64_t spent_ = 0;
    int start_count_ = 0;
    fake_draw_log log_;
    duration latency_{0};
    int lose_appends_ = 0;
    bool has_peers_ = false;
    int lose_transfers_ = 0;
    int transfer_count_ = 0;
    std::vector<std::function<void()>> pending_responses_; ///< transfers in flight
    int appends_ = 0;
    std::deque<slow_append> slow_;
    std::map<int, gateway> gateways_;
    std::map<forwarding::reservation_result, int> results_;
};

} // namespace almondcart::testing
