#pragma once

#include <almondcart/budget/budget_holder.hpp>
#include <almondcart/budget/grant_recovery.hpp>
#include <almondcart/core/clock.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondcart::tests {

inline account_id const account{"sandshare", "dune-masters"};
inline budget_id const season{account, "season"};
inline int const shard = shard_of(account);

inline request_id request_of(int number)
{
    return {account, "key-" + std::to_string(10'000'000 + number)};
}

/// Log stream of one shard. Log time advances with each record.
struct log_stream
{
    std::vector<stored_record> records;

    void append(log_record record)
    {
        auto const offset = std::int64_t(records.size());
        records.push_back({offset, 1'000 + offset, std::move(record)});
    }
    void publish(record_body body) { append({{"publisher", "1"}, ++sequence, std::move(body)}); }

    std::int64_t sequence = 0;
};

/// Router with its folded state, unsent records and granted reservations.
struct router
{
    router(std::string name, manual_clock& clock, log_stream& log)
        : id{std::move(name), "1"}
        , clock(clock)
        , log(log)
        , holder({.self = id}, hooks())
    {}

    budget_holder::hooks hooks()
    {
        return {
            [this] { return clock.now(); },
            [this](record_body body)
            {
                outbox.push_back({id, ++sequence, std::move(body)});
                return sequence;
            },
            [this](int number) { return number == shard ? &state : nullptr; },
            [this] { return is_log_read ? clock.now() : instant{}; },
            [this] { return peers; },
            [this](request_id const& request) { billed.insert(request); },
            {}};
    }

    /// Appends all unsent records. `times` above 1 appends them again, as after a lost response.
    void flush(int times = 1)
    {
        for (int n = 0; n < times; ++n)
        {
            for (auto const& record : outbox)
                log.append(record);
        }
        outbox.clear();
    }

    void read(std::size_t count = 1'000'000)
    {
        for (; position < log.records.size() && count > 0; ++position, --count)
        {
            state.apply(log.records[position]);
            holder.record_applied(log.records[position], state);
        }
    }

    /// Ticks, appends and reads until draws, usage and returns are folded.
    void settle_log()
    {
        for (int n = 0; n < 3; ++n)
        {
            clock.advance(duration(500));
            holder.tick();
            flush();
            read();
        }
    }

    void reserve(int request, token_count tokens, int attempt = 1)
    {
        holder.reserve(
            request_of(request),
            attempt,
            season,
            tokens,
            clock.now() + duration(1000),
            [this, request](absl::StatusOr<reservation> result)
            {
                if (result.ok())
                    granted.push_back(*result);
                else
                    refused[request] = code_of(result.status());
            });
    }

    reservation dispatch(int request, int attempt = 1)
    {
        return holder.dispatch(request_of(request), attempt).value();
    }

    process_id id;
    manual_clock& clock;
    log_stream& log;
    bool is_log_read = true;
    std::vector<process_id> peers;
    budget_shard_state state{shard};
    std::size_t position = 0;
    std::int64_t sequence = 0;
    std::vector<log_record> outbox;
    std::set<request_id> billed;
    std::vector<reservation> granted;
    std::map<int, result_code> refused;
    budget_holder holder;
};

/// Agent with closed grants, running work and unacknowledged usage.
struct agent
{
    process_id id;
    std::set<grant_id> closed;
    std::vector<std::pair<reservation, token_count>> running;
    std::vector<usage_item> finished;

    static bool has_part(std::vector<grant_part> const& parts, grant_id const& grant)
    {
        return std::any_of(
            parts.begin(), parts.end(), [&](auto const& part) { return part.grant == grant; });
    }

    std::optional<grant_id> try_run(reservation const& work, token_count actual)
    {
        for (auto const& part : work.parts)
        {
            if (closed.contains(part.grant))
                return part.grant;
        }
        running.emplace_back(work, actual);
        return std::nullopt;
    }

    grant_report close_grant(grant_id const& grant)
    {
        closed.insert(grant);
        grant_report report{id, {}, 0};
        for (auto const& item : finished)
        {
            if (has_part(item.parts, grant))
                report.finished.push_back(item);
        }
        for (auto const& [work, actual] : running)
            report.running += has_part(work.parts, grant) ? 1 : 0;
        return report;
    }
};

} // namespace almondcart::tests
