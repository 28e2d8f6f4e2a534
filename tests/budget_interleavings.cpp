#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdint>
#include <map>

#include "budget_fleet.hpp"

using namespace almondcart;
using namespace almondcart::tests;

namespace {

/// Three routers, two agents and a log. Each random number selects one step.
class interleaving
{
public:
    interleaving()
    {
        for (auto const& it : agents_)
            log_.publish(agent_start_record{it.id, "m"});
        set_total(3000);
        for (int n = 0; n < 3; ++n)
            routers_.push_back(
                std::make_unique<router>("router-" + std::to_string(n), clock_, log_));
        for (auto const& it : routers_)
        {
            for (auto const& other : routers_)
            {
                if (other != it)
                    it->peers.push_back(other->id);
            }
            it->read();
        }
    }

    void step(std::uint32_t number)
    {
        auto& it = *routers_[number % 3];
        auto const choice = number / 3 % 16;
        auto const value = int(number / 48 % 512);
        if (choice < 3)
            it.reserve(value % 40, 1 + value, next_attempt_++);
        else if (choice < 5)
            dispatch(it, value);
        else if (choice < 7)
            finish(value);
        else if (choice < 9)
            it.read(std::size_t(value % 8));
        else if (choice == 9)
            it.flush(1 + value % 2);
        else if (choice < 12)
            transfer(it, *routers_[(number + 1 + std::uint32_t(value) % 2) % 3], value);
        else if (choice == 12)
            close_some_grant(value);
        else if (choice == 13)
            recover_some_grant(value);
        else if (choice == 14)
            set_total(2000 + value * 4);
        else
        {
            clock_.advance(duration(value * 10));
            it.holder.tick();
        }
        check();
    }

    /// Finishes all work, shuts down all routers, and closes and recovers all grants.
    void finish_all()
    {
        for (auto const& it : routers_)
            it->holder.begin_shutdown();
        for (auto& it : agents_)
        {
            while (!it.running.empty())
                finish_one(it, 0, 0);
        }
        for (int n = 0; n < 6; ++n)
        {
            for (auto const& it : routers_)
                it->settle_log();
            for (auto const& [id, grant] : std::map(folded_state().grants()))
                log_.publish(close_record{id, "end"});
            for (auto const& [id, grant] : std::map(folded_state().grants()))
                recover(id);
        }
        check();
        auto const state = folded_state();
        auto const* budget = state.find_budget(season);
        RC_ASSERT(state.grants().empty());
        RC_ASSERT(budget->charged == budget->billed);
        RC_ASSERT(budget->billed == billed_use());
        RC_ASSERT(state.refusals().usage_beyond_grant == 0);
        RC_ASSERT(state.refusals().usage_of_recovered_grant == 0);
    }

private:
    void set_total(token_count total)
    {
        largest_total_ = std::max(largest_total_, total);
        log_.publish(limit_record{season, total, budget_preference::false_refusals, ++version_});
    }

    budget_shard_state folded_state() const
    {
        budget_shard_state state(shard);
        for (auto const& record : log_.records)
            state.apply(record);
        return state;
    }

    void dispatch(router& it, int value)
    {
        if (it.granted.empty())
            return;
        auto const n = std::size_t(value) % it.granted.size();
        auto const granted = it.granted[n];
        it.granted.erase(it.granted.begin() + std::ptrdiff_t(n));
        auto const work = it.holder.dispatch(granted.request, granted.attempt);
        if (!work.ok())
            return;
        auto const actual = total_of(work->parts) * (1 + value % 4) / 4;
        if (auto const closed = agents_[std::size_t(value) % 2].try_run(*work, actual))
        {
            it.holder.grant_refused(season, *closed);
            it.holder.release(*work);
            return;
        }
        owners_[{work->request, work->attempt}] = &it;
        if (value % 5 == 0)
            it.holder.abandon(*work);
    }

    void finish(int value)
    {
        auto& it = agents_[std::size_t(value) % 2];
        if (!it.running.empty())
            finish_one(it, std::size_t(value) % it.running.size(), value);
    }

    void finish_one(agent& it, std::size_t n, int value)
    {
        auto const [work, actual] = it.running[n];
        it.running.erase(it.running.begin() + std::ptrdiff_t(n));
        usage_item const usage{work.request, work.started_ms, first_tokens_of(work.parts, actual)};
        it.finished.push_back(usage);
        runs_[work.request] = std::max(runs_[work.request], actual);
        // The final response reaches the router that dispatched the work, the agent reports the
        // usage through another router, or both.
        if (value % 3 != 1)
            owners_[{work.request, work.attempt}]->holder.settle(work, actual);
        if (value % 3 != 0)
            log_.publish(usage_record{{usage}});
    }

    void transfer(router& to, router& from, int value)
    {
        if (&to == &from)
            return;
        auto const id = to.holder.create_transfer(season);
        auto const response = from.holder.transfer_out(id, season, value);
        auto const repeated = from.holder.transfer_out(id, season, value);
        if (response.ok())
            RC_ASSERT(*response == *repeated);
        if (!response.ok() || value % 4 == 0)
        {
            to.holder.forget_transfer(id);
            return;
        }
        to.holder.transfer_in(id, *response);
        to.holder.transfer_in(id, *response);
    }

    void close_some_grant(int value)
    {
        auto const state = folded_state();
        if (state.grants().empty())
            return;
        auto const n = std::size_t(value) % state.grants().size();
        log_.publish(close_record{std::next(state.grants().begin(), std::ptrdiff_t(n))->first, ""});
    }

    void recover_some_grant(int value)
    {
        auto const state = folded_state();
        if (!state.grants().empty())
        {
            auto const n = std::size_t(value) % state.grants().size();
            recover(std::next(state.grants().begin(), std::ptrdiff_t(n))->first);
        }
    }

    /// Does the work of `grant_recovery` in one step.
    void recover(grant_id const& grant)
    {
        auto const required = folded_state().required_reports(grant);
        for (auto& it : agents_)
        {
            if (std::find(required.begin(), required.end(), it.id) == required.end())
                continue;
            auto const report = it.close_grant(grant);
            if (report.running > 0)
                return;
            log_.publish(usage_record{report.finished});
        }
        log_.publish(recover_record{grant, required});
    }

    token_count billed_use() const
    {
        token_count sum = 0;
        auto const state = folded_state();
        for (auto const& [request, tokens] : runs_)
        {
            auto const* entry = state.find_request(request);
            sum += entry != nullptr ? entry->billed_tokens : 0;
        }
        return sum;
    }

    void check() const
    {
        for (auto const& it : routers_)
        {
            auto const* held = it->holder.find_account(season);
            if (held == nullptr)
                continue;
            for (auto const& [id, account] : held->grants())
                RC_ASSERT(account.is_balanced());
        }
        check_supply();
    }

    /// Checks that the tokens of a grant that are free at routers or reserved by running work do
    /// not exceed its unbilled amount.
    void check_supply() const
    {
        auto const state = folded_state();
        std::map<grant_id, token_count> held;
        for (auto const& it : routers_)
        {
            if (auto const* account = it->holder.find_account(season))
            {
                for (auto const& [id, grant] : account->grants())
                    held[id] += grant.is_closed ? 0 : grant.free;
            }
        }
        for (auto const& it : agents_)
        {
            for (auto const& [work, actual] : it.running)
            {
                for (auto const& part : work.parts)
                    held[part.grant] += part.tokens;
            }
        }
        for (auto const& [id, tokens] : held)
        {
            auto const* grant = state.find_grant(id);
            if (grant != nullptr)
                RC_ASSERT(tokens <= grant->amount - grant->billed);
        }
        auto const* budget = state.find_budget(season);
        RC_ASSERT(budget->billed <= budget->charged);
        RC_ASSERT(budget->charged <= largest_total_);
    }

    manual_clock clock_;
    log_stream log_;
    std::vector<agent> agents_{{{"agent-1", "1"}, {}, {}, {}}, {{"agent-2", "1"}, {}, {}, {}}};
    std::vector<std::unique_ptr<router>> routers_;
    std::map<std::pair<request_id, int>, router*> owners_;
    std::map<request_id, token_count> runs_; ///< largest actual use of each request
    token_count largest_total_ = 0;
    std::int64_t version_ = 0;
    int next_attempt_ = 1;
};

} // namespace

// Guards against tokens being created, lost or spent beyond the total in any order of log delays,
// repeated appends, lost transfer responses, closed grants, abandoned and repeated attempts,
// top-ups and reductions.
Test(budget_interleavings, tokens_are_conserved)
{
    auto const is_passed = rc::check(
        "tokens are conserved",
        []
        {
            auto const steps = *rc::gen::container<std::vector<std::uint32_t>>(
                300, rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
            interleaving fleet;
            for (auto const number : steps)
                fleet.step(number);
            fleet.finish_all();
        });
    cr_assert(is_passed);
}
