#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/gate/dispatch.hpp>
#include <almondcart/gate/frame.hpp>
#include <almondcart/http/http_client.hpp>

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondcart {

/// One `POST /work` to an agent and the lines of its response.
class work_call : public std::enable_shared_from_this<work_call>
{
public:
    struct hooks
    {
        std::function<void(work_line const&)> on_line;

        /// Called when the response has ended. The status is OK after the last line;
        /// `is_request_unsent` holds for it if the dispatch did not reach the agent; after any
        /// other error it is unknown whether the attempt ran.
        std::function<void(absl::Status const&)> on_end;
    };

    /// Sends the dispatch. The client and the journal must outlive the call.
    static std::shared_ptr<work_call> start(
        http_client& client,
        event_journal& journal,
        std::string const& address,
        dispatch const& work,
        hooks hooks);

    /// Closes the connection; no hook is called afterwards. The agent keeps the work for a repeated
    /// call.
    void cancel();

private:
    work_call() = default;

    void receive(std::string_view data);
    void receive_line(std::string_view text);
    void end(absl::Status const& status);

    hooks hooks_;
    http_call call_;
    std::string buffer_;
    int http_status_ = 0;
    bool is_complete_ = false;
    bool is_ended_ = false;
};

} // namespace almondcart
