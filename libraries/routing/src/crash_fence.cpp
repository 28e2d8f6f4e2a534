#include <almondcart/routing/crash_fence.hpp>

namespace almondcart {

std::optional<result_code>
crash_fence::try_start(std::string const& request, std::string const& fingerprint, bool is_suspect)
{
    if (fenced_.contains(fingerprint))
        return result_code::request_crashes_upstreams;
    if (is_suspect && !suspect_.empty() && suspect_ != request)
        return result_code::overloaded;
    running_[request] = fingerprint;
    if (is_suspect)
        suspect_ = request;
    return std::nullopt;
}

void crash_fence::finished(std::string const& request)
{
    running_.erase(request);
    if (suspect_ == request)
        suspect_.clear();
}

void crash_fence::crashed()
{
    auto const suspect = running_.find(suspect_);
    if (!suspect_.empty() && suspect != running_.end())
    {
        // The suspect caused the crash; the requests that ran beside it are not suspected.
        fenced_.insert(suspect->second);
    }
    else
    {
        for (auto const& [request, fingerprint] : running_)
            fenced_.insert(fingerprint);
    }
    running_.clear();
    suspect_.clear();
}

} // namespace almondcart
