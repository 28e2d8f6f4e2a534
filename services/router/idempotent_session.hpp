#pragma once

#include <json/json.h>

#include <optional>
#include <string>

#include "request_session.hpp"

namespace almondcart {

/// Session of a request that may run again. Model requests are placed by the home agent of their
/// prompt prefix, so that equal requests through any router meet on one upstream.
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
    bool is_blocked() const;
    void refuse_blocked();
    void place();
    void placed(absl::StatusOr<Json::Value> const& result);
    void look_up();
    void run_elsewhere();
    void retry_after_crash(instant give_up_at, final_frame const& frame);
    void finish_suspect(suspect_result result);
    bool may_run_twice() const;

    std::string target_; ///< upstream chosen by the placement, or empty
    int refusals_ = 0;
};

} // namespace almondcart
