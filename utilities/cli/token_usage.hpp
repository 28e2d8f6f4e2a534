#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace almondcart {

/// Where the tokens of prepaid totals went, summed from the log lines of all gateways.
class token_usage
{
public:
    /// Sums of one client account, in tokens unless stated otherwise.
    struct account
    {
        std::int64_t total = 0;       ///< highest prepaid total that a gateway applied
        std::int64_t served = 0;      ///< used by requests that were answered
        std::int64_t failed = 0;      ///< used, or possibly used, by requests that failed
        std::int64_t written_off = 0; ///< that a crashed process may have spent after its report
        std::int64_t given = 0;       ///< to other gateways
        std::int64_t received = 0;    ///< from other gateways
        std::int64_t exhausted = 0;   ///< requests refused because the total is used up
        std::int64_t unavailable =
            0; ///< requests refused because tokens could not be drawn in time

        /// Tokens in transfers whose response was lost; nobody can spend them.
        std::int64_t lost_in_transfers() const { return given - received; }

        /// Tokens in no other sum: held by gateways, reserved by requests that a crash ended, or
        /// never claimed.
        std::int64_t rest() const
        {
            return total - served - failed - written_off - lost_in_transfers();
        }
    };

    /// Adds a log line. Lines that say nothing of tokens are ignored.
    void add_line(std::string_view line);

    std::map<std::string, account> const& accounts() const { return accounts_; }

    /// Table with one row per account, those with the most refusals first.
    std::string to_text() const;

private:
    std::map<std::string, account> accounts_;
};

} // namespace almondcart
