#pragma once

#include <almondcart/core/status.hpp>
#include <almondcart/forwarding/event_splitter.hpp>
#include <almondcart/http1/inbound_server.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_context.hpp"

namespace almondcart {

/// One request of a caller, from its arrival to the end of its answer. The session owns itself
/// through the callbacks of the connections and timers that it waits for.
class forward_session : public std::enable_shared_from_this<forward_session>
{
public:
    forward_session(gateway_context& context, std::shared_ptr<http1::inbound_exchange> exchange);
    ~forward_session();
    forward_session(forward_session const&) = delete;
    forward_session& operator=(forward_session const&) = delete;

    void start();

private:
    /// What is known about the work of the attempts so far.
    enum class run_state
    {
        not_sent,
        refused, ///< each upstream that got the request stated that it did not run it
        maybe_run,
    };

    bool admit();
    bool find_account();
    void reserve_tokens();
    std::string describe_budget(std::int64_t needed) const;
    void choose_service();
    void attempt();
    bool acquire_connection();
    void send();
    std::string encode_request() const;

    bool on_head(http1::response_head const& head);
    void on_body(std::string_view data);
    void on_end(http1::exchange_outcome end);
    void on_whole_answer();
    void on_stream_end();
    void on_refused_by_upstream();
    void on_lost(http1::exchange_outcome end);
    void forward_events(std::string const& events);
    void deliver_answer();
    bool is_streaming() const;
    bool may_repeat();

    void expire();
    void watch_silence(duration connect_limit, duration answer_limit);
    void give_up_silent_upstream();
    void on_client_gone();

    void refuse(result_code code, std::string_view detail, std::optional<duration> retry_after);
    void fail(result_code code, std::string_view detail);
    void end_with(
        result_code code,
        std::string_view verb,
        std::string_view detail,
        http_headers headers);
    duration retry_after() const;
    void finish(std::string_view outcome, int status);
    void drop_connection(bool is_finished);
    void settle_tokens();
    duration time_left() const;
    int priority() const;
    forwarding::prompt_info const* size() const;

    gateway_context& context_;
    std::shared_ptr<http1::inbound_exchange> exchange_;
    forwarding::configuration_pointer configuration_;
    forwarding::client_request request_;
    forwarding::route const* route_ = nullptr;
    forwarding::client_account const* account_ = nullptr;
    forwarding::service const* service_ = nullptr;
    instant arrived_;
    instant deadline_;

    std::int64_t reserved_tokens_ = 0;
    std::int64_t used_tokens_ = 0; ///< of those reserved, once the request has ended
    int attempts_ = 0;
    int connect_failures_ = 0;
    run_state run_ = run_state::not_sent;
    std::vector<std::string> tried_;
    std::unique_ptr<forwarding::in_flight_guard> ticket_;
    upstream_connections::connection_pointer connection_;
    std::string last_upstream_;

    forwarding::upstream_response answer_;
    std::string answer_body_;
    forwarding::event_splitter events_;
    bool is_answer_started_ = false; ///< a streamed answer has reached the caller in part
    bool is_done_ = false;
    std::optional<duration> first_byte_time_;

    timer deadline_timer_;
    timer silence_timer_;
};

} // namespace almondcart
