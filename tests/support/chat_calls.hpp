#pragma once

#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "fleet.hpp"

namespace almondcart::test_support {

using response_future = std::future<call_response>;

/// Requests that were sent and whose responses are not read yet.
using open_calls = std::vector<std::unique_ptr<http_call>>;

struct outcome_totals
{
    int answered = 0;
    int refused = 0;
    std::int64_t tokens = 0;
};

response_future begin_request(fleet const& cluster, int router, call_request const& request);

/// Sends `count` chat requests at once, with keys that start with `key`.
std::vector<response_future>
begin_chats(fleet const& cluster, int router, std::string const& key, int count);

/// Sends `count` chat requests one after the other and returns before they are answered.
open_calls send_chats(fleet const& cluster, int router, std::string const& key, int count);

/// Reads the responses of all calls at the same time.
std::vector<response_future> finish_calls(open_calls calls);

/// Waits for the responses, each of which must be an answer or a refusal for lack of tokens.
outcome_totals collect(std::vector<response_future>& pending);

void expect_whole_answer(call_response const& response, std::string const& prompt, int tokens);

} // namespace almondcart::test_support
