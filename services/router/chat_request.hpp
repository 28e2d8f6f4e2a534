#pragma once

#include <almondcart/ledger/records.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace almondcart {

/// What the router needs to know of a chat-completions body.
struct chat_request
{
    std::string model;
    token_count prompt_bound = 0; ///< no tokenizer yields more prompt tokens than this
    token_count output_cap = 0;   ///< from `max_tokens`, at most the kind's cap
    std::string prefix;           ///< leading bytes of the prompt, for prefix affinity
    bool is_stream = false;

    /// Parses the body of a caller. `kind_output_cap` is the cap of the kind of work.
    /// Errors carry `malformed_request`.
    static absl::StatusOr<chat_request> parse(std::string_view body, token_count kind_output_cap);
};

} // namespace almondcart
