#include "chat_calls.hpp"

#include <json/json.h>

#include <utility>

namespace almondcart::test_support {

response_future begin_request(fleet const& cluster, int router, call_request const& request)
{
    return std::async(
        std::launch::async, [&cluster, router, request] { return cluster.send(router, request); });
}

std::vector<response_future>
begin_chats(fleet const& cluster, int router, std::string const& key, int count)
{
    std::vector<response_future> pending;
    for (int n = 0; n < count; ++n)
        pending.push_back(begin_request(
            cluster,
            router,
            cluster.chat(
                key + " prompt " + std::to_string(n), key + "-key-" + std::to_string(n), 64)));
    return pending;
}

open_calls send_chats(fleet const& cluster, int router, std::string const& key, int count)
{
    open_calls calls;
    for (int n = 0; n < count; ++n)
    {
        auto const text = std::to_string(n);
        calls.push_back(std::make_unique<http_call>(
            cluster.address("router-" + std::to_string(router)),
            cluster.chat(key + " prompt " + text, key + "-key-" + text, 64)));
    }
    return calls;
}

std::vector<response_future> finish_calls(open_calls calls)
{
    std::vector<response_future> pending;
    for (auto& call : calls)
        pending.push_back(
            std::async(std::launch::async, [it = std::move(call)] { return it->finish(); }));
    return pending;
}

outcome_totals collect(std::vector<response_future>& pending)
{
    outcome_totals totals;
    for (auto& future : pending)
    {
        auto const response = future.get();
        bool const is_answer = response.status == 200;
        bool const is_refusal = response.code() == 1201 || response.code() == 1202;
        expect(is_answer || is_refusal, "an answer or no tokens, got " + response.body);
        expect(is_answer || response.ran() == "no", "not run, got " + response.body);
        ++(is_answer ? totals.answered : totals.refused);
        if (is_answer)
            totals.tokens += response.json()["usage"]["total_tokens"].asInt64();
    }
    return totals;
}

void expect_whole_answer(call_response const& response, std::string const& prompt, int tokens)
{
    expect(response.status == 200 && response.is_complete, "an answer, got " + response.body);
    expect(response.text() == expected_text(prompt, tokens), "all of it, got " + response.body);
}

} // namespace almondcart::test_support
