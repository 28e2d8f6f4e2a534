#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/gate/dispatch.hpp>
#include <almondcart/gate/frame.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace almondcart {

/// Receives the lines of one response. The last line is one for which `is_last` holds.
using work_reader = std::function<void(work_line const&)>;

/// Request that was started here, with its numbered output while it is kept and its final frame.
struct work_record
{
    struct attached_reader
    {
        std::uint64_t id = 0;
        std::int64_t next_frame = 0;
        std::shared_ptr<work_reader const> deliver;
    };

    dispatch work; ///< `body` is released when the call starts
    std::uint64_t call = 0;
    std::vector<data_frame> frames; ///< frame n is at index n
    std::optional<final_frame> last;
    std::size_t output_bytes = 0;
    token_count output_tokens = 0;
    bool is_output_kept = true;
    bool is_truncated = false; ///< the cap was reached; further output is dropped
    std::vector<attached_reader> readers;
    instant idle_since;  ///< when the last reader left
    instant finished_at; ///< valid once the request has finished
    instant settled_at;  ///< later of the end and the acknowledgement of usage

    bool is_finished() const { return last.has_value(); }
    bool has_failed() const { return last && last->code != result_code::ok; }
};

} // namespace almondcart
