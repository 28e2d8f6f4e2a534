#include <almondcart/budget/reservation.hpp>

#include <algorithm>

namespace almondcart {

token_count total_of(std::vector<grant_part> const& parts)
{
    token_count sum = 0;
    for (auto const& part : parts)
        sum += part.tokens;
    return sum;
}

std::vector<grant_part> first_tokens_of(std::vector<grant_part> const& parts, token_count tokens)
{
    std::vector<grant_part> first;
    for (auto const& part : parts)
    {
        auto const n = std::min(part.tokens, tokens);
        if (n <= 0)
            break;
        first.push_back({part.grant, n});
        tokens -= n;
    }
    return first;
}

std::vector<grant_part>
remaining_parts(std::vector<grant_part> const& reserved, std::vector<grant_part> const& used)
{
    std::vector<grant_part> rest;
    for (std::size_t n = 0; n < reserved.size(); ++n)
    {
        auto const taken = n < used.size() ? used[n].tokens : 0;
        if (reserved[n].tokens > taken)
            rest.push_back({reserved[n].grant, reserved[n].tokens - taken});
    }
    return rest;
}

} // namespace almondcart
