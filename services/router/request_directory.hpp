#pragma once

#include <almondcart/core/identifiers.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace almondcart {

/// Upstreams to which this router recently sent requests, so that a repeated call with the same key
/// is attached to the running or finished work. Bounded; the oldest entries are dropped.
class request_directory
{
public:
    static constexpr std::size_t capacity = 50'000;

    struct entry
    {
        std::string upstream;
        std::string fingerprint;
    };

    void add(request_id const& id, entry value);
    entry const* find(request_id const& id) const;

    /// Marks the request as handled by a session of this router. Returns false if another session
    /// already handles it.
    bool try_begin(request_id const& id) { return active_.insert(id).second; }
    void end(request_id const& id) { active_.erase(id); }

private:
    std::map<request_id, entry> entries_;
    std::deque<request_id> insertion_order_;
    std::set<request_id> active_;
};

} // namespace almondcart
