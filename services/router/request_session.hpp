#pragma once

#include <almondcart/budget/reservation.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller_request.hpp"
#include "caller_response.hpp"
#include "router_context.hpp"
#include "work_call.hpp"

namespace almondcart {

/// One caller's request from admission to the last byte of its answer. Derived classes decide where
/// the request may run and what follows a failed attempt; this class reserves tokens, waits for a
/// slot, dispatches, passes frames on and settles.
///
/// Only `work_refusal` lines and unsent dispatches count as proof that an attempt did not run.
class request_session : public std::enable_shared_from_this<request_session>
{
public:
    request_session(
        router_context& context,
        caller_request request,
        std::unique_ptr<caller_response> response);
    virtual ~request_session();
    request_session(request_session const&) = delete;
    request_session& operator=(request_session const&) = delete;

    /// `ended` is called once, when the caller has its answer or refusal.
    void start(std::function<void()> ended);

    request_id const& id() const { return request_.id; }
    bool is_ended() const { return is_ended_; }

protected:
    /// Begins to handle the request. Called once, when no other session of this router has its id.
    virtual void begin() = 0;

    /// Reservation and slot are there: `dispatch_to` an upstream follows.
    virtual void slot_granted() = 0;

    /// The agent proved that the attempt did not run.
    virtual void attempt_refused(work_refusal const& refused) = 0;

    /// The dispatch did not reach the agent, so that the attempt did not run.
    virtual void attempt_unsent() = 0;

    /// Contact to the agent was lost for good; the fate of the attempt is open.
    virtual void attempt_lost() = 0;

    /// The attempt ran and ended without a usable answer. Its usage is settled.
    virtual void attempt_failed(final_frame const& frame) = 0;

    /// The complete answer is about to be sent.
    virtual void attempt_completed(final_frame const&) {}

    /// Reserves the worst case of the attempt, then waits for a slot, then calls `slot_granted`.
    void reserve();

    /// Sends the attempt to the agent of `upstream`. Returns false if its agent is not known.
    bool dispatch_to(std::string const& upstream, std::int64_t intent_offset);

    /// Attaches to work that an agent knows already; nothing is reserved.
    bool attach_to(std::string const& upstream, std::int64_t intent_offset);

    /// Gives back the slot and the reservation of an attempt that did not run.
    void release_attempt();

    /// Keeps the reservation charged, because the attempt may have run.
    void abandon_attempt();

    /// Starts over with the next attempt number.
    void next_attempt(int at_least = 0);

    void refuse(refusal refused);
    void refuse(result_code code, std::string_view detail) { refuse(make_refusal(code, detail)); }

    /// Calls `function` later unless the session has ended.
    void after(duration delay, std::function<void()> function);

    bool has_deadline_passed() const { return context_.loop.now() >= deadline_; }
    void note(std::string_view name, std::string detail);

    router_context& context_;
    caller_request request_;
    std::unique_ptr<caller_response> response_;
    instant deadline_;
    upstream_pool* pool_ = nullptr;
    int attempt_ = 1;
    std::string upstream_; ///< of the current attempt
    std::vector<std::string> avoid_;
    /// Some attempt may have run, here or in an earlier call, so that no refusal says "not run".
    bool may_have_run_ = false;
    bool runs_as_suspect_ = false; ///< it ran during a crash before
    bool is_attached_ = false;     ///< the current call attaches to work of another dispatch

    void end();

private:
    void start_when_free();
    void reserved(absl::StatusOr<reservation> result);
    void enqueue();
    dispatch create_dispatch(process_id const& agent, std::int64_t intent_offset) const;
    bool send(std::string const& upstream, std::int64_t intent_offset);
    void send_call(std::string const& address, dispatch const& work);
    void receive(work_line const& line);
    void receive_data(data_frame const& frame);
    void receive_final(final_frame const& frame);
    void receive_refusal(work_refusal const& refused);
    void call_ended(absl::Status const& status);
    void reconnect();
    void settle(final_frame const& frame);
    void leave_slot(bool is_measured);
    void caller_gone();

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
    std::function<void()> ended_;
    bool is_ended_ = false;
    bool is_active_ = false; ///< registered in the directory
};

} // namespace almondcart
