#pragma once

#include <almondcart/core/status.hpp>
#include <almondcart/gate/chat_completion_assembler.hpp>
#include <almondcart/gate/frame.hpp>
#include <almondcart/http/http_exchange.hpp>

#include <memory>
#include <string>

namespace almondcart {

/// Format of the response that the client expects.
enum class response_format
{
    chat_stream, ///< server-sent events, one for each chunk
    chat_whole,  ///< one chat-completions object
    plain,       ///< body of a plain service, unchanged
};

/// Response to one client, built from an agent's frames.
class client_response
{
public:
    client_response(
        std::shared_ptr<http_exchange> exchange,
        response_format format,
        std::string request_key);

    void add(data_frame const& frame);

    /// Discards buffered output that has not been sent.
    void discard() { assembler_ = {}; }

    /// Sends the remaining output and completes the response.
    void finish(final_frame const& frame);

    /// Sends the answer that the log holds for an earlier call with the same key.
    void finish_recorded(int status, std::string const& content_type, std::string const& body);

    void refuse(refusal const& refused);

    /// Whether part of the response has been sent, so that it cannot be restarted.
    bool is_started() const { return is_started_; }

    /// Calls `callback` if the client disconnects before the response is complete.
    void on_disconnect(std::function<void()> callback);

private:
    http_headers headers(std::string_view content_type) const;
    void send_event(std::string_view data);

    std::shared_ptr<http_exchange> exchange_;
    response_format format_;
    std::string request_key_;
    chat_completion_assembler assembler_;
    bool is_started_ = false;
};

/// Responds with `application/problem+json`.
void send_problem(http_exchange& exchange, refusal const& refused, std::string const& request_key);

} // namespace almondcart
