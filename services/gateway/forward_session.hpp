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

/// Handles one client request, from its arrival to the end of its response. The callbacks of the
/// connections and timers that the session waits for keep it alive.
class forward_session : public std::enable_shared_from_this<forward_session>
{
public:
    forward_session(gateway_context& context, std::shared_ptr<http1::inbound_exchange> exchange);
    ~forward_session();
    forward_session(forward_session const&) = delete;
    forward_session& operator=(forward_session const&) = delete;

    void start();

private:
    /// Whether the request may have run on an upstream.
    enum class execution_state
    {
        not_sent,
        rejected, ///< each upstream that received the request stated that it did not run it
        may_have_run,
    };

    bool admit();
    bool find_account();
    void reserve_tokens();
    std::string describe_prepaid_state(std::int64_t needed) const;
    void choose_service();
    bool refuse_if_quarantined();
    void attempt();
    void select_upstream();
    bool acquire_connection(forwarding::upstream_pointer target);
    bool refuse_if_drained();
    bool refuse_if_paused();
    /// Takes a permit to send to `target`, or to another upstream if it may get no more now.
    forwarding::upstream_pointer reserve_send(forwarding::upstream_pointer target);
    bool may_send();
    void send();
    std::string encode_head() const;

    bool on_head(http1::response_head const& head);
    void record_statements();
    void log_statement(std::string_view statement) const;
    void on_body(std::string_view data);
    void abandon_response(std::string_view reason);
    void on_end(http1::exchange_outcome outcome);
    void on_complete_response();
    void on_stream_end();
    void on_not_executed();
    void on_withheld();
    void report_broken_connection();
    void report_answer();
    void on_attempt_lost(http1::exchange_outcome outcome);
    void log_lost_attempt(http1::exchange_outcome outcome) const;
    void forward_events(std::string const& events);
    bool exceeds_limit(std::size_t bytes) const;
    bool has_too_many_events() const;
    void slow_down_upstream();
    void deliver_response();
    bool is_streaming() const;
    bool try_consume_retry();

    void expire();
    void arm_response_timer(duration connect_timeout_left, duration response_timeout);
    void abandon_unresponsive_upstream();
    void on_client_disconnected();

    void refuse(result_code code, std::string_view detail, std::optional<duration> retry_after);
    void fail(result_code code, std::string_view detail);
    void finish_with_error(
        result_code code,
        std::string_view verb,
        std::string_view detail,
        http_headers headers);
    duration retry_after() const;
    void finish(std::string_view outcome, int status);
    void drop_connection(bool is_complete);
    void settle_tokens();
    duration time_left() const;
    int priority() const;
    forwarding::prompt_info const* prompt() const;
    std::string_view caller() const;

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
    std::int64_t used_tokens_ = 0; ///< of the reserved ones; set when the request ends
    int attempts_ = 0;
    instant sent_at_{}; ///< of the last attempt
    int connect_failures_ = 0;
    forwarding::feature_list features_; ///< by which crash requests are recognized
    execution_state execution_ = execution_state::not_sent;
    std::vector<std::string> tried_;
    std::unique_ptr<forwarding::in_flight_guard> in_flight_;
    forwarding::send_permit permit_; ///< of the current attempt
    upstream_connections::connection_pointer connection_;
    std::string last_upstream_;

    forwarding::upstream_response response_;
    std::string response_body_;
    buffer_account response_account_; ///< of `response_body_` and the incomplete event
    forwarding::event_splitter events_;
    bool is_upstream_slowed_ = false;  ///< because the client reads more slowly
    bool is_response_started_ = false; ///< part of a stream was sent to the client
    bool is_done_ = false;
    std::optional<duration> first_byte_time_;

    timer deadline_timer_;
    timer response_timer_;
};

} // namespace almondcart
