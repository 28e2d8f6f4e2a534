#pragma once

#include <almondcart/core/result_code.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace almondcart {

/// Admission rule of an agent for requests that are suspected to crash upstreams. At most one
/// suspect runs at a time, and a fingerprint that was running when this agent's upstream crashed
/// does not run here again until it has completed elsewhere.
class crash_fence
{
public:
    /// Admits a request that is about to start, or returns why it must not start.
    std::optional<result_code>
    try_start(std::string const& request, std::string const& fingerprint, bool is_suspect);

    void finished(std::string const& request);

    /// The upstream crashed: all running requests end and their fingerprints are fenced.
    void crashed();

    /// The fingerprint completed as a suspect on some upstream.
    void clear(std::string const& fingerprint) { fenced_.erase(fingerprint); }

    bool is_suspect_running() const { return !suspect_.empty(); }

private:
    std::map<std::string, std::string> running_; ///< fingerprint by request
    std::string suspect_;                        ///< request that runs as a suspect, or empty
    std::set<std::string> fenced_;
};

} // namespace almondcart
