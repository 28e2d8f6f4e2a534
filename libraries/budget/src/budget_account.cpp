#include <almondcart/budget/budget_account.hpp>

#include <algorithm>

namespace almondcart {

token_count grant_account::transferred_total() const
{
    token_count sum = 0;
    for (auto const& [receiver, tokens] : transferred)
        sum += tokens;
    return sum;
}

bool grant_account::is_balanced() const
{
    return free >= 0 && reserved >= 0 && pending >= 0 &&
           credited ==
               free + reserved + pending + billed + returned + dropped + transferred_total();
}

void budget_account::add_free(grant_account& account, token_count tokens)
{
    if (account.is_closed)
    {
        account.dropped += tokens;
        return;
    }
    account.free += tokens;
    free_ += tokens;
}

void budget_account::credit(grant_id const& grant, token_count tokens, bool is_own)
{
    auto& account = grants_[grant];
    account.is_own = account.is_own || is_own;
    account.credited += tokens;
    add_free(account, tokens);
}

std::optional<std::vector<grant_part>> budget_account::try_reserve(token_count tokens)
{
    if (tokens > free_)
        return std::nullopt;
    std::vector<grant_part> parts;
    auto const take = [&](bool is_own)
    {
        for (auto& [id, account] : grants_)
        {
            auto const n = std::min(account.free, tokens);
            if (n <= 0 || account.is_own != is_own)
                continue;
            account.free -= n;
            account.reserved += n;
            free_ -= n;
            tokens -= n;
            parts.push_back({id, n});
        }
    };
    take(false);
    take(true);
    return parts;
}

void budget_account::unreserve(std::vector<grant_part> const& parts)
{
    for (auto const& part : parts)
    {
        auto& account = grants_[part.grant];
        account.reserved -= part.tokens;
        add_free(account, part.tokens);
    }
}

void budget_account::set_pending(std::vector<grant_part> const& parts)
{
    for (auto const& part : parts)
    {
        auto& account = grants_[part.grant];
        account.reserved -= part.tokens;
        account.pending += part.tokens;
    }
}

void budget_account::set_billed(std::vector<grant_part> const& parts)
{
    for (auto const& part : parts)
    {
        auto& account = grants_[part.grant];
        account.pending -= part.tokens;
        account.billed += part.tokens;
    }
}

void budget_account::set_unbilled(std::vector<grant_part> const& parts)
{
    for (auto const& part : parts)
    {
        auto& account = grants_[part.grant];
        account.pending -= part.tokens;
        add_free(account, part.tokens);
    }
}

std::vector<grant_part> budget_account::transfer(process_id const& receiver, token_count tokens)
{
    std::vector<grant_part> parts;
    for (auto it = grants_.rbegin(); it != grants_.rend() && tokens > 0; ++it)
    {
        auto& account = it->second;
        auto const n = std::min(account.free, tokens);
        if (n <= 0)
            continue;
        account.free -= n;
        account.transferred[receiver] += n;
        free_ -= n;
        tokens -= n;
        parts.push_back({it->first, n});
    }
    return parts;
}

std::vector<grant_part> budget_account::take_for_return(token_count tokens)
{
    std::vector<grant_part> parts;
    for (auto& [id, account] : grants_)
    {
        auto const n = std::min(account.free, tokens);
        if (n <= 0 || !account.is_own)
            continue;
        account.free -= n;
        account.returned += n;
        free_ -= n;
        tokens -= n;
        parts.push_back({id, n});
    }
    return parts;
}

void budget_account::close(grant_id const& grant)
{
    auto const it = grants_.find(grant);
    if (it == grants_.end() || it->second.is_closed)
        return;
    auto& account = it->second;
    account.is_closed = true;
    free_ -= account.free;
    account.dropped += account.free;
    account.free = 0;
}

void budget_account::remove_finished()
{
    std::erase_if(
        grants_,
        [](auto const& item)
        {
            auto const& account = item.second;
            auto const is_idle = account.free + account.reserved + account.pending == 0;
            return is_idle && (account.is_closed || !account.is_own);
        });
}

bool budget_account::is_closed(grant_id const& grant) const
{
    auto const it = grants_.find(grant);
    return it != grants_.end() && it->second.is_closed;
}

} // namespace almondcart
