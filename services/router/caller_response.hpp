#pragma once

#include <almondcart/core/status.hpp>
#include <almondcart/gate/chat_completion_assembler.hpp>
#include <almondcart/gate/frame.hpp>
#include <almondcart/http/http_exchange.hpp>

#include <memory>
#include <string>

namespace almondcart {

/// Shape in which the caller expects its answer.
enum class response_shape
{
    chat_stream, ///< server-sent events, one for each chunk
    chat_whole,  ///< one chat-completions object
    plain,       ///< body of a plain service, as it is
};

/// Answer to one caller, made from the frames of an agent.
class caller_response
{
public:
    caller_response(
        std::shared_ptr<http_exchange> exchange,
        response_shape shape,
        std::string request_key);

    void add(data_frame const& frame);

    /// Drops output that has not been sent.
    void discard() { assembler_ = {}; }

    /// Sends the rest. The caller's answer is complete after this call.
    void finish(final_frame const& frame);

    /// Sends an answer that the log recorded for an earlier call with the same key.
    void finish_recorded(int status, std::string const& content_type, std::string const& body);

    void refuse(refusal const& refused);

    /// Whether the caller has received part of its answer, so that it must not start again.
    bool is_started() const { return is_started_; }

    /// Calls `callback` when the caller has gone before its answer was complete.
    void on_disconnect(std::function<void()> callback);

private:
    http_headers headers(std::string_view content_type) const;
    void send_event(std::string_view data);

    std::shared_ptr<http_exchange> exchange_;
    response_shape shape_;
    std::string request_key_;
    chat_completion_assembler assembler_;
    bool is_started_ = false;
};

/// Answers with `application/problem+json`.
void send_problem(http_exchange& exchange, refusal const& refused, std::string const& request_key);

} // namespace almondcart
