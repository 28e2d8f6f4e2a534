#pragma once

#include <almondcart/core/result_code.hpp>
#include <almondcart/ledger/records.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondcart {

/// Token counts of one request after the gate has applied the caps.
struct token_usage
{
    token_count prompt = 0;
    token_count output = 0;

    token_count total() const { return prompt + output; }

    friend bool operator==(token_usage const&, token_usage const&) = default;
};

/// Part of a response. For engines, `data` is one chat-completions chunk as JSON text, whether or
/// not the client requested a stream. Plain services send only the final frame.
struct data_frame
{
    std::int64_t number = 0; ///< consecutive, starting at 0
    std::string data;
    token_count tokens = 0; ///< output tokens in `data`

    friend bool operator==(data_frame const&, data_frame const&) = default;
};

/// Last frame of a response.
struct final_frame
{
    std::int64_t number = 0;
    result_code code = result_code::ok; ///< error of a call that started; its usage is still billed
    int status = 200;                   ///< HTTP status of the upstream, or of `code`
    std::string content_type;
    token_usage usage;
    std::int64_t started_ms = 0;   ///< of the usage item
    std::vector<grant_part> parts; ///< of the usage item; from the dispatch that ran
    std::string data;              ///< body or last chunk; the reason if the call failed

    friend bool operator==(final_frame const&, final_frame const&) = default;
};

/// The only line of a refused dispatch. With `answer_expired` and `request_key_reused`, the request
/// may have run before. With all other codes, this attempt has not run and never will.
struct work_refusal
{
    result_code code = result_code::internal_error;
    std::string detail;
    int next_attempt = 0; ///< with `request_fenced`: lowest attempt that is not fenced, else 0

    friend bool operator==(work_refusal const&, work_refusal const&) = default;
};

/// One line of the response to `/work`.
using work_line = std::variant<data_frame, final_frame, work_refusal>;

/// Whether `line` ends the response.
bool is_last(work_line const& line);

/// Serializes the line as one JSON object followed by a line feed.
std::string to_text(work_line const& line);

/// Parses one line, with or without the line feed. Errors carry `malformed_request`.
absl::StatusOr<work_line> parse_work_line(std::string_view text);

} // namespace almondcart
