#pragma once

#include <cstdint>
#include <vector>

namespace almondcart::forwarding {

/// Part of a prompt that several requests may share. Engines cache a prefix of the parts.
struct prompt_part
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/// Size and cacheable parts of a model request's prompt. No number is above `count_limit`, so sums
/// of them cannot overflow.
struct prompt_info
{
    std::int64_t input_tokens = 0;
    std::int64_t output_limit_tokens = 0;
    std::vector<prompt_part> parts; ///< in order; the last one is unique to this request

    /// Maximum number of tokens that the request can consume.
    std::int64_t worst_case_tokens() const { return input_tokens + output_limit_tokens; }
};

} // namespace almondcart::forwarding
