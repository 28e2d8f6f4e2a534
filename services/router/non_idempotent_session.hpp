#pragma once

#include <functional>

#include "request_session.hpp"

namespace almondcart {

/// Session of a request that runs at most once. An intent on the log, read back before the
/// dispatch, names the one agent that may run the attempt; a repeated call finds the intent and
/// attaches to that agent.
class non_idempotent_session : public request_session
{
public:
    using request_session::request_session;

protected:
    void begin() override;
    void slot_granted() override;
    void attempt_refused(work_refusal const& refused) override;
    void attempt_unsent() override;
    void attempt_lost() override;
    void attempt_failed(final_frame const& frame) override;
    void attempt_completed(final_frame const& frame) override;

private:
    request_entry const* find_entry() const;
    bool is_own_intent(intent_record const& intent) const;
    void send_recorded_answer(outcome_record const& outcome);
    void follow_intent(intent_record const& intent, std::int64_t offset);
    void submit_intent(std::string const& upstream);
    void wait_for_intent();
    void wait_for_void(int attempt);
    void record_unknown_outcome();
    void refuse_with_unknown_outcome(std::string_view detail);

    process_id intended_agent_;
    std::string intended_upstream_;
    std::int64_t intent_offset_ = -1;
    int refusals_ = 0;
};

} // namespace almondcart
