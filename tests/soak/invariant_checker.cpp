#include "invariant_checker.hpp"

#include <almondcart/http/http_headers.hpp>

#include <platform/upstream_standin.hpp>

#include <algorithm>
#include <array>

namespace almondcart::soak {

namespace {

using http1::exchange_outcome;

constexpr int max_attempts = 2;
constexpr int tokens_per_event = 4;

bool is_success(int status)
{
    return status / 100 == 2;
}

/// Whether the status guarantees that the request has not run and never will.
bool is_not_run(int status)
{
    constexpr std::array<int, 4> statuses{408, 421, 429, 503};
    return std::ranges::find(statuses, status) != statuses.end();
}

std::int64_t event_count(std::string const& body)
{
    std::int64_t n = 0;
    for (auto at = body.find("\n\n"); at != std::string::npos; at = body.find("\n\n", at + 2))
        ++n;
    return n;
}

std::string events(std::int64_t last)
{
    std::string text;
    for (std::int64_t id = 1; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: word\n\n";
    return text;
}

} // namespace

std::string_view path_of(work_kind kind)
{
    static constexpr std::array<std::string_view, 4> paths{
        "/safe/x", "/unsafe/x", "/stream/x", "/resume/x"};
    return paths.at(static_cast<std::size_t>(kind));
}

void invariant_checker::record_exit(std::string const& gateway, int result)
{
    violations_.push_back(
        "gateway " + gateway + ": ended by itself with " + std::to_string(result));
}

void invariant_checker::add_violation(std::string const& id, std::string const& what)
{
    violations_.push_back("request " + id + ": " + what);
}

void invariant_checker::count_used_tokens(std::int64_t tokens)
{
    used_tokens_ += tokens;
    if (used_tokens_ > total_tokens_ && tokens > 0)
        add_violation(
            "-",
            "used tokens: " + std::to_string(used_tokens_) + " of " +
                std::to_string(total_tokens_));
}

void invariant_checker::record_request(call const& sent)
{
    requests_[sent.id] = {sent.kind, sent.input_tokens, 0, false};
}

void invariant_checker::record_run(std::string const& upstream, std::string const& id)
{
    auto const it = requests_.find(id);
    if (it == requests_.end())
    {
        add_violation(id, "runs at " + upstream + ", but no client sent it");
        return;
    }
    auto& entry = it->second;
    ++entry.runs;
    bool const is_repeatable = entry.kind == work_kind::safe || entry.kind == work_kind::resumable;
    if (entry.is_refused)
        add_violation(id, "runs at " + upstream + " after its client was told that it will not");
    if (!is_repeatable && entry.runs > 1)
        add_violation(id, "must not be repeated, but runs again at " + upstream);
    if (entry.runs > max_attempts)
        add_violation(id, "runs more often than its route allows");
    if (entry.runs == 1)
        count_used_tokens(entry.input_tokens);
}

void invariant_checker::record_response(call const& ended)
{
    auto& entry = requests_[ended.id];
    bool const is_complete = ended.end == exchange_outcome::complete;
    auto const status =
        ended.end == exchange_outcome::not_connected || ended.end == exchange_outcome::not_answered
            ? 0
            : ended.head.status;
    ++statuses_[status];
    if (ended.end == exchange_outcome::malformed)
        add_violation(ended.id, "its response is not valid HTTP");
    if (status != 0 && is_not_run(status))
    {
        entry.is_refused = true;
        if (entry.runs > 0)
            add_violation(ended.id, "ran, but its client was told that it did not");
        if (is_complete && !find_header(ended.head.headers, "Retry-After"))
            add_violation(ended.id, "refused without Retry-After");
    }
    if (status != 0 && is_success(status))
        check_success(ended);
}

void invariant_checker::check_success(call const& ended)
{
    auto const seal = find_header(ended.head.headers, "X-Almondcart-Response-Seal");
    if (!seal || !seal->starts_with("seal-i-"))
        add_violation(ended.id, "succeeded without the upstream's response seal");
    auto const answered_request = find_header(ended.head.headers, "X-Almondcart-Request-Id");
    if (answered_request && *answered_request != ended.id)
        add_violation(
            ended.id, "received the response to request " + std::string(*answered_request));
    bool const is_complete = ended.end == exchange_outcome::complete;
    if (ended.kind == work_kind::stream || ended.kind == work_kind::resumable)
        check_stream(ended);
    else if (is_complete && seal && ended.body != "answer of " + std::string(seal->substr(5)))
        add_violation(ended.id, "the body differs from what its upstream sent: " + ended.body);
}

void invariant_checker::check_stream(call const& ended)
{
    auto const n = event_count(ended.body);
    if (!ended.body.starts_with(events(n)))
        add_violation(ended.id, "events are missing, duplicated or out of order: " + ended.body);
    if (ended.end == exchange_outcome::complete && n != standins::upstream_standin::event_count)
        add_violation(ended.id, "an incomplete stream was delivered as complete");
    if (ended.input_tokens > 0)
        count_used_tokens(n * tokens_per_event);
}

int invariant_checker::count(int status) const
{
    auto const it = statuses_.find(status);
    return it == statuses_.end() ? 0 : it->second;
}

} // namespace almondcart::soak
