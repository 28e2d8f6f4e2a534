#pragma once

#include <json/json.h>

#include <optional>
#include <string>

#include "request_session.hpp"

namespace almondcart {

/// Session of a request that may run more than once. The home agent of the prompt prefix chooses
/// the upstream of a model request, so that equal requests at different routers run on the same
/// upstream.
class idempotent_session : public request_session
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
    void find_answer();
    bool is_blocked() const;
    void refuse_blocked();
    void place();
    void handle_placement(absl::StatusOr<Json::Value> const& result);
    void query_target();
    void retry_on_another_upstream();
    void retry_after_crash(instant report_deadline, final_frame const& frame);
    void finish_suspect(suspect_result result);
    bool may_run_twice() const;

    std::string target_; ///< upstream chosen by the placement, or empty
    int refusals_ = 0;
    bool is_answer_only_ = false; ///< the request is billed; it must not run again
};

} // namespace almondcart
