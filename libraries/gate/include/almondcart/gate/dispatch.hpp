#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/ledger/records.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondcart {

/// One attempt to run a request, sent by a router to `POST /work` of one agent incarnation.
struct dispatch
{
    process_id agent; ///< the only incarnation that may run it
    request_id request;
    int attempt = 1;                ///< increases after an attempt failed or provably did not run
    std::int64_t started_ms = 0;    ///< latest log time known to the router, for the usage item
    std::vector<grant_part> grants; ///< reservation, charged in this order
    std::string kind;
    bool is_idempotent = true;
    bool is_suspect = false;       ///< the router knows that it was running during a crash
    token_count prompt_tokens = 0; ///< upper bound; for plain services, the fixed charge of a call
    token_count output_cap = 0;    ///< 0 for plain services
    int priority = 0;
    std::int64_t deadline_ms = 0; ///< time left for the first byte of the response when it was sent
    bool is_stream = false;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string fingerprint;         ///< hash of client account, path and body
    std::int64_t intent_offset = -1; ///< offset of the durable intent; -1 for idempotent work
    std::int64_t config_offset = -1; ///< offset of the configuration that the router applied
    std::int64_t from_frame = 0;     ///< first frame that the reader still needs

    /// Maximum number of tokens that this attempt can be charged.
    token_count worst_case() const { return prompt_tokens + output_cap; }
    token_count reserved_tokens() const;

    friend bool operator==(dispatch const&, dispatch const&) = default;
};

Json::Value to_json(dispatch const& value);

/// Parses the message and rejects unknown or missing members. Errors carry `malformed_request`.
/// `grants` may be empty, because attaching to a known request needs no reservation.
absl::StatusOr<dispatch> parse_dispatch(Json::Value const& value);

} // namespace almondcart
