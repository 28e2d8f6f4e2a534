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

/// Keyed topic in memory that compares the end before it appends, with lost and late appends.
class fake_draw_log
{
public:
    using outcome = forwarding::append_outcome;
    using record = forwarding::draw_record;

    enum class fault
    {
        none,
        cut,         ///< nothing arrives and nothing is answered
        answer_lost, ///< records are appended, without an answer
        late,        ///< records wait until `deliver_late`, without an answer
    };

    outcome append(std::int64_t at, std::vector<record> const& records, fault how)
    {
        if (how == fault::cut)
            return outcome::unknown;
        if (how == fault::late)
        {
            late_.emplace_back(at, records);
            return outcome::unknown;
        }
        if (at != end())
            return outcome::conflict;
        records_.insert(records_.end(), records.begin(), records.end());
        return how == fault::answer_lost ? outcome::unknown : outcome::appended;
    }

    /// Appends what was held back, where the log still ends at the expected offset.
    void deliver_late()
    {
        for (auto const& [at, records] : std::exchange(late_, {}))
            append(at, records, fault::none);
    }

    std::int64_t end() const { return static_cast<std::int64_t>(records_.size()); }
    std::vector<record> const& records() const { return records_; }

private:
    std::vector<record> records_;
    std::deque<std::pair<std::int64_t, std::vector<record>>> late_;
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
        forwarding::prepaid_holder_settings settings;
        settings.vm = "vm-" + std::to_string(i);
        settings.writer = settings.vm + "@" + std::to_string(++starts_);
        forwarding::prepaid_holder::hooks hooks;
        hooks.clock = clock_.function();
        hooks.wall_time_ms = [this] { return clock_.now().since_epoch.count(); };
        hooks.append = [this,
                        i](std::int64_t at,
                           std::vector<forwarding::draw_record> const& records,
                           std::function<void(forwarding::append_outcome)> done)
        { append(i, at, records, std::move(done)); };
        hooks.total = [this](std::string const&) { return total_; };
        it.writer = settings.writer;
        it.holder = std::make_unique<forwarding::prepaid_holder>(settings, hooks);
        read(i);
    }

    void set_fault(int i, fake_draw_log::fault how) { routers_[i].fault = how; }

    /// Loses each `n`th append, without any answer.
    void lose_each(int n) { lose_each_ = n; }

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
            [this, i, tokens](forwarding::reservation result)
            {
                ++results_[result];
                if (result != forwarding::reservation::granted)
                    return;
                spent_ += tokens;
                routers_[i].holder->settle(account, tokens, tokens);
            });
    }

    void advance(duration step)
    {
        clock_.advance(step);
        complete_appends();
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

    int count(forwarding::reservation result) { return results_[result]; }
    std::int64_t spent() const { return spent_; }
    std::int64_t total() const { return total_; }
    fake_draw_log& log() { return log_; }
    forwarding::prepaid_holder& holder(int i) { return *routers_[i].holder; }
    manual_clock& clock() { return clock_; }

private:
    struct router
    {
        std::unique_ptr<forwarding::prepaid_holder> holder;
        fake_draw_log::fault fault = fake_draw_log::fault::none;
        std::string writer;
        std::int64_t next = 0;
        double owed = 0;
    };

    struct slow_append
    {
        int router;
        std::string writer;
        instant due;
        std::int64_t at;
        std::vector<forwarding::draw_record> records;
        std::function<void(forwarding::append_outcome)> done;
    };

    void append(
        int i,
        std::int64_t at,
        std::vector<forwarding::draw_record> const& records,
        std::function<void(forwarding::append_outcome)> done)
    {
        if (lose_each_ > 0 && ++appends_ % lose_each_ == 0)
            return;
        if (latency_ == duration(0) && slow_.empty())
        {
            done(log_.append(at, records, routers_[i].fault));
            return;
        }
        auto const free = slow_.empty() ? clock_.now() : std::max(clock_.now(), slow_.back().due);
        slow_.push_back({i, records.front().writer, free + latency_, at, records, std::move(done)});
    }

    void complete_appends()
    {
        while (!slow_.empty() && slow_.front().due <= clock_.now())
        {
            auto const it = std::move(slow_.front());
            slow_.pop_front();
            auto const outcome = log_.append(it.at, it.records, routers_[it.router].fault);
            // The process that sent it may be gone.
            if (routers_[it.router].writer == it.writer)
                it.done(outcome);
        }
    }

    void read(int i)
    {
        auto& it = routers_[i];
        for (; it.next < log_.end(); ++it.next)
            it.holder->apply(it.next, log_.records()[static_cast<std::size_t>(it.next)]);
        it.holder->advance(it.next);
    }

    manual_clock clock_;
    std::int64_t total_;
    std::int64_t spent_ = 0;
    int starts_ = 0;
    fake_draw_log log_;
    duration latency_{0};
    int lose_each_ = 0;
    int appends_ = 0;
    std::deque<slow_append> slow_;
    std::map<int, router> routers_;
    std::map<forwarding::reservation, int> results_;
};

} // namespace almondcart::testing
