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

/// Keyed topic in memory that takes the appends of each producer in order, with lost and late ones.
class fake_draw_log
{
public:
    using result = forwarding::append_result;
    using outcome = forwarding::append_outcome;
    using record = forwarding::draw_record;

    enum class fault
    {
        none,
        cut,         ///< nothing arrives and nothing is answered
        refused,     ///< nothing arrives, which the writer learns
        answer_lost, ///< records are appended, without an answer
        late,        ///< records wait until `deliver_late`, without an answer
    };

    result append(std::string const& producer, forwarding::draw_append const& append, fault how)
    {
        if (how == fault::cut)
            return {outcome::unknown, 0};
        if (how == fault::refused)
            return {outcome::rejected, 0};
        if (how == fault::late)
        {
            late_.emplace_back(producer, append);
            return {outcome::unknown, 0};
        }
        auto const taken = take(producers_[producer], append);
        return how == fault::answer_lost ? result{outcome::unknown, 0} : taken;
    }

    /// Takes what was held back, where its producer has gone no further.
    void deliver_late()
    {
        for (auto const& [producer, append] : std::exchange(late_, {}))
            this->append(producer, append, fault::none);
    }

    std::int64_t end() const { return static_cast<std::int64_t>(records_.size()); }
    std::vector<record> const& records() const { return records_; }

private:
    struct producer_state
    {
        std::uint64_t epoch = 0;
        std::uint64_t last_sequence = 0;
        std::map<std::uint64_t, std::int64_t> offsets{}; ///< of recent appends
    };

    result take(producer_state& state, forwarding::draw_append const& append)
    {
        if (append.epoch < state.epoch)
            return {outcome::fenced, 0};
        if (append.epoch > state.epoch)
            state = {append.epoch, 0, {}};
        if (auto const it = state.offsets.find(append.sequence); it != state.offsets.end())
            return {outcome::appended, it->second};
        if (!state.offsets.empty() && append.sequence != state.last_sequence + 1)
            return {outcome::out_of_sequence, 0};
        constexpr std::size_t remembered = 5;
        state.last_sequence = append.sequence;
        state.offsets[append.sequence] = end();
        if (state.offsets.size() > remembered)
            state.offsets.erase(state.offsets.begin());
        auto const offset = end();
        records_.insert(records_.end(), append.records.begin(), append.records.end());
        return {outcome::appended, offset};
    }

    std::vector<record> records_;
    std::map<std::string, producer_state> producers_;
    std::deque<std::pair<std::string, forwarding::draw_append>> late_;
};

/// Routers that draw from one account over a shared log.
class prepaid_fleet
{
public:
    static constexpr char const* account = "account";

    explicit prepaid_fleet(int routers, std::int64_t total)
        : total_(total)
    {
        for (int i = 0; i < routers; ++i)
            start(i);
    }

    /// Starts router `i`, with nothing but what the log holds.
    void start(int i)
    {
        auto& it = routers_[i];
        it = {};
        it.start = ++starts_;
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

    void set_fault(int i, fake_draw_log::fault how) { routers_[i].fault = how; }

    /// Lets all routers, also those that start later, ask each other for tokens.
    void connect_peers()
    {
        has_peers_ = true;
        for (auto& [i, router] : routers_)
            start(i);
    }

    /// Loses the answer of each `n`th gift; 0: none.
    void lose_transfers(int n) { lose_gift_ = n; }

    /// Loses each `n`th append, without any answer.
    void lose_appends(int n) { lose_each_ = n; }

    /// Time that the log takes for each append, one after the other; 0: at once.
    void set_latency(duration latency) { latency_ = latency; }
    void set_total(std::int64_t total) { total_ = total; }

    /// One request; the result is nothing while it waits.
    void request(int i, std::int64_t tokens)
    {
        routers_[i].holder->reserve(
            account,
            tokens,
            duration(300),
            [this, i, tokens](forwarding::reservation_result result)
            {
                ++results_[result];
                if (result != forwarding::reservation_result::granted)
                    return;
                spent_ += tokens;
                routers_[i].holder->settle(account, tokens, tokens);
            });
    }

    void advance(duration step)
    {
        clock_.advance(step);
        complete_appends();
        for (auto const& it : std::exchange(gifts_, {}))
            it();
        for (auto& [i, router] : routers_)
        {
            if (router.fault == fake_draw_log::fault::none)
                read(i);
            router.holder->tick();
        }
    }

    /// Lets all routers run for `time` with `tokens_per_s` each, in requests of `tokens`.
    void run(duration time, std::int64_t tokens_per_s, std::int64_t tokens)
    {
        constexpr duration step{10};
        for (duration now{0}; now < time; now += step)
        {
            for (auto& [i, router] : routers_)
            {
                router.owed += static_cast<double>(tokens_per_s) * 0.01;
                for (; router.owed >= static_cast<double>(tokens);
                     router.owed -= static_cast<double>(tokens))
                    request(i, tokens);
            }
            advance(step);
        }
    }

    /// As `run`, with all requests at router `i`.
    void run_one(int i, duration time, std::int64_t tokens_per_s, std::int64_t tokens)
    {
        constexpr duration step{10};
        auto& router = routers_[i];
        for (duration now{0}; now < time; now += step)
        {
            router.owed += static_cast<double>(tokens_per_s) * 0.01;
            for (; router.owed >= static_cast<double>(tokens);
                 router.owed -= static_cast<double>(tokens))
                request(i, tokens);
            advance(step);
        }
    }

    /// As `run`, with requests at random moments, one in `interval` on average.
    void run_random(duration time, duration interval, std::int64_t tokens, unsigned seed)
    {
        constexpr duration step{10};
        std::mt19937 random(seed);
        for (duration now{0}; now < time; now += step)
        {
            for (auto& [i, router] : routers_)
            {
                if (static_cast<std::int64_t>(random() % static_cast<unsigned>(interval.count())) <
                    step.count())
                    request(i, tokens);
            }
            advance(step);
        }
    }

    /// Tokens that router `i` claims on the log and cannot spend any more.
    std::int64_t charged(int i)
    {
        auto const& it = *routers_[i].holder;
        return it.ledger().claimed_by({account, vm_of(i)}) - it.free_tokens(account);
    }

    int count(forwarding::reservation_result result) { return results_[result]; }
    std::int64_t spent() const { return spent_; }
    std::int64_t total() const { return total_; }
    fake_draw_log& log() { return log_; }
    forwarding::prepaid_holder& holder(int i) { return *routers_[i].holder; }
    manual_clock& clock() { return clock_; }

private:
    struct router
    {
        std::unique_ptr<forwarding::token_transfer_client> exchange;
        std::unique_ptr<forwarding::prepaid_holder> holder;
        fake_draw_log::fault fault = fake_draw_log::fault::none;
        int start = 0; ///< number of the process among all
        std::int64_t next = 0;
        double owed = 0;
    };

    struct slow_append
    {
        int router;
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
        { routers_[i].holder->transfer_in(account, tokens); };
        it.on_end = [this, i](std::string const&) { routers_[i].holder->finish_peer_round(); };
        routers_[i].exchange = std::make_unique<forwarding::token_transfer_client>(
            forwarding::token_transfer_client_settings{}, vm_of(i), it);
        hooks.ask_peers = [this, i](forwarding::token_request const& request)
        { return routers_[i].exchange->request(request); };
    }

    /// The other router gives at once; the answer arrives with the next step of the clock.
    void
    ask(int i,
        std::string const& address,
        forwarding::token_request const& request,
        std::function<void(std::optional<forwarding::token_transfer>)> done)
    {
        std::optional<forwarding::token_transfer> gift;
        for (auto& [k, router] : routers_)
        {
            if (vm_of(k) == address)
                gift = router.holder->transfer_out(request);
        }
        if (lose_gift_ > 0 && ++gift_count_ % lose_gift_ == 0)
            gift.reset();
        gifts_.push_back(
            [this, i, gift, done = std::move(done), start = routers_[i].start]
            {
                if (routers_[i].start == start)
                    done(gift);
            });
    }

    static std::string vm_of(int i) { return "vm-" + std::to_string(i); }

    void append(
        int i,
        forwarding::draw_append const& append,
        std::function<void(forwarding::append_result)> done)
    {
        if (lose_each_ > 0 && ++appends_ % lose_each_ == 0)
            return;
        if (latency_ == duration(0) && slow_.empty())
        {
            done(log_.append(vm_of(i), append, routers_[i].fault));
            return;
        }
        auto const free = slow_.empty() ? clock_.now() : std::max(clock_.now(), slow_.back().due);
        slow_.push_back({i, routers_[i].start, free + latency_, append, std::move(done)});
    }

    void complete_appends()
    {
        while (!slow_.empty() && slow_.front().due <= clock_.now())
        {
            auto const it = std::move(slow_.front());
            slow_.pop_front();
            auto const result = log_.append(vm_of(it.router), it.append, routers_[it.router].fault);
            // The process that sent it may be gone.
            if (routers_[it.router].start == it.start)
                it.done(result);
        }
    }

    void read(int i)
    {
        auto& it = routers_[i];
        for (; it.next < log_.end(); ++it.next)
        {
            auto const& record = log_.records()[static_cast<std::size_t>(it.next)];
            it.holder->apply(it.next, record);
            if (it.exchange)
                it.exchange->observe(record);
        }
        it.holder->advance(it.next);
    }

    manual_clock clock_;
    std::int64_t total_;
    std::int64_t spent_ = 0;
    int starts_ = 0;
    fake_draw_log log_;
    duration latency_{0};
    int lose_each_ = 0;
    bool has_peers_ = false;
    int lose_gift_ = 0;
    int gift_count_ = 0;
    std::vector<std::function<void()>> gifts_; ///< answers under way
    int appends_ = 0;
    std::deque<slow_append> slow_;
    std::map<int, router> routers_;
    std::map<forwarding::reservation_result, int> results_;
};

} // namespace almondcart::testing
