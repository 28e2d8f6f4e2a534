#pragma once

#include <almondcart/budget/reservation.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "client_request.hpp"
#include "client_response.hpp"
#include "router_context.hpp"
#include "work_call.hpp"

namespace almondcart {

/// Handles one client's request from admission to the last byte of its response. Derived classes
/// decide where the request may run and how a failed attempt is handled; this class reserves
/// tokens, waits for a slot, dispatches, forwards frames and settles the usage.
///
/// Only `work_refusal` lines and unsent dispatches prove that an attempt did not run.
class request_session : public std::enable_shared_from_this<request_session>
{
public:
    request_session(
        router_context& context,
        client_request request,
        std::unique_ptr<client_response> response);
    virtual ~request_session();
    request_session(request_session const&) = delete;
    request_session& operator=(request_session const&) = delete;

    /// `end_callback` is called once, when the client has received its answer or refusal.
    void start(std::function<void()> end_callback);

    request_id const& id() const { return request_.id; }
    bool is_ended() const { return is_ended_; }

protected:
    /// Starts handling the request. Called once, when no other session of this router handles its
    /// id.
    virtual void begin() = 0;

    /// Called when tokens are reserved and a slot is granted. Chooses an upstream and dispatches to
    /// it.
    virtual void slot_granted() = 0;

    /// Called when the agent has proved that the attempt did not run.
    virtual void attempt_refused(work_refusal const& refused) = 0;

    /// Called when the dispatch did not reach the agent and therefore ran nothing.
    virtual void attempt_unsent() = 0;

    /// Called when contact with the agent is lost permanently; it is unknown whether the attempt
    /// ran.
    virtual void attempt_lost() = 0;

    /// Called when the attempt ran and ended without a usable answer. Its usage has been settled.
    virtual void attempt_failed(final_frame const& frame) = 0;

    /// Called before the end of a complete answer is sent.
    virtual void attempt_completed(final_frame const&) {}

    /// Reserves the worst-case tokens of the attempt, waits for a slot and calls `slot_granted`.
    void reserve();

    /// Sends the attempt to the agent of `upstream`. Returns false if no agent is known for it.
    bool dispatch_to(std::string const& upstream, std::int64_t intent_offset);

    /// Attaches to work that the agent already has; reserves nothing.
    bool attach_to(std::string const& upstream, std::int64_t intent_offset);

    /// Releases the slot and the reservation of an attempt that did not run.
    void release_attempt();

    /// Releases the slot but leaves the reserved tokens charged, because the attempt may have run.
    void abandon_attempt();

    /// Starts the next attempt, whose number is at least `at_least`.
    void next_attempt(int at_least = 0);

    void refuse(refusal refused);
    void refuse(result_code code, std::string_view detail) { refuse(make_refusal(code, detail)); }

    /// Calls `function` after `delay` unless the session has ended by then.
    void after(duration delay, std::function<void()> function);

    bool has_deadline_passed() const { return context_.loop.now() >= deadline_; }
    void record_event(std::string_view name, std::string detail);

    router_context& context_;
    client_request request_;
    std::unique_ptr<client_response> response_;
    instant deadline_;
    upstream_pool* pool_ = nullptr;
    int attempt_ = 1;
    std::string upstream_; ///< of the current attempt
    std::vector<std::string> avoided_upstreams_;
    /// Whether an attempt may have run, in this call or an earlier one, so that no refusal may say
    /// "not run".
    bool may_have_run_ = false;
    bool runs_as_suspect_ = false; ///< the request ran during an upstream crash
    bool is_attached_ = false;     ///< the current call attaches to work of another dispatch

    void end();

private:
    void start_when_key_is_free();
    void handle_reservation(absl::StatusOr<reservation> result);
    void enqueue();
    dispatch create_dispatch(process_id const& agent, std::int64_t intent_offset) const;
    bool send(std::string const& upstream, std::int64_t intent_offset);
    void send_call(std::string const& address, dispatch const& work);
    void receive(work_line const& line);
    void receive_data(data_frame const& frame);
    void receive_final(final_frame const& frame);
    void receive_refusal(work_refusal const& refused);
    void handle_call_end(absl::Status const& status);
    void reconnect();
    void settle(final_frame const& frame);
    void release_slot(bool is_measured);
    void handle_disconnect();

    std::optional<reservation> reservation_;
    std::uint64_t ticket_ = 0;
    bool has_slot_ = false;
    bool is_reserving_ = false;
    std::uint64_t selector_epoch_ = 0;
    bool is_counted_ = false; ///< the selector counts this attempt as in flight
    std::shared_ptr<work_call> call_;
    dispatch work_;
    std::int64_t next_frame_ = 0;
    int reconnects_ = 0;
    std::function<void()> end_callback_;
    bool is_ended_ = false;
    bool is_active_ = false; ///< registered in the directory
};

} // namespace almondcart
