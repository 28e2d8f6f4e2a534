#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/ledger/records.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondcart {

/// Request for work, sent by a router to `POST /work` of one agent incarnation.
struct dispatch
{
    process_id agent; ///< incarnation that may run it
    request_id request;
    int attempt = 1;             ///< grows when an earlier attempt is proven not to run, or failed
    std::int64_t started_ms = 0; ///< newest log time known to the router, for the usage item
    std::vector<grant_part> grants; ///< reservation, charged in this order
    std::string kind;
    bool is_idempotent = true;
    bool is_suspect = false;       ///< it ran during a crash before, as the router knows
    token_count prompt_tokens = 0; ///< upper bound; the fixed charge of a call to a plain service
    token_count output_cap = 0;    ///< 0 for plain services
    int priority = 0;
    std::int64_t deadline_ms = 0; ///< remaining time until the first byte of the answer, at sending
    bool is_stream = false;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string fingerprint;         ///< hash of client account, path and body
    std::int64_t intent_offset = -1; ///< of the durable intent, -1 for idempotent work
    std::int64_t config_offset = -1; ///< of the configuration that the router applied
    std::int64_t from_frame = 0;     ///< first frame that the reader still needs

    /// Most tokens that this attempt can be charged.
    token_count worst_case() const { return prompt_tokens + output_cap; }
    token_count reserved_tokens() const;

    friend bool operator==(dispatch const&, dispatch const&) = default;
};

Json::Value to_json(dispatch const& value);

/// Reads the message strictly. Errors carry `malformed_request`. `grants` may be empty, because a
/// router that attaches to a known request needs no reservation.
absl::StatusOr<dispatch> parse_dispatch(Json::Value const& value);

} // namespace almondcart
