#pragma once

#include <almondcart/ledger/records.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace almondcart {

/// Fields of a chat-completions request body that the router uses.
struct chat_request
{
    std::string model;
    token_count prompt_bound = 0; ///< upper bound of the prompt's tokens for any tokenizer
    token_count output_cap = 0;   ///< from `max_tokens`, at most the kind's cap
    std::string prefix;           ///< leading bytes of the prompt, for prefix affinity
    bool is_stream = false;

    /// Parses a request body. `kind_output_cap` limits the output tokens for the kind of work.
    /// Errors carry `malformed_request`.
    static absl::StatusOr<chat_request> parse(std::string_view body, token_count kind_output_cap);
};

} // namespace almondcart
