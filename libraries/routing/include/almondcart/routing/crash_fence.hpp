#pragma once

#include <almondcart/core/result_code.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace almondcart {

/// Admission check of an agent for requests that are suspected to crash upstreams. At most one
/// suspect runs at a time. A fingerprint that was running when this agent's upstream crashed does
/// not run here again until it has completed on another upstream.
class crash_fence
{
public:
    /// Admits a request, or returns the code with which it must be refused.
    std::optional<result_code>
    try_start(std::string const& request, std::string const& fingerprint, bool is_suspect);

    void finished(std::string const& request);

    /// The upstream crashed: all running requests end and their fingerprints are fenced.
    void crashed();

    /// Lifts the fence of a fingerprint that completed as a suspect on some upstream.
    void clear(std::string const& fingerprint) { fenced_.erase(fingerprint); }

    bool is_suspect_running() const { return !suspect_.empty(); }

private:
    std::map<std::string, std::string> running_; ///< fingerprint by request
    std::string suspect_;                        ///< request running as a suspect, or empty
    std::set<std::string> fenced_;
};

} // namespace almondcart
