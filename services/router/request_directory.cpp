#include "request_directory.hpp"

#include <utility>

namespace almondcart {

void request_directory::add(request_id const& id, entry value)
{
    auto const [it, is_new] = entries_.insert_or_assign(id, std::move(value));
    if (!is_new)
        return;
    insertion_order_.push_back(it->first);
    if (insertion_order_.size() <= capacity)
        return;
    entries_.erase(insertion_order_.front());
    insertion_order_.pop_front();
}

request_directory::entry const* request_directory::find(request_id const& id) const
{
    auto const it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

} // namespace almondcart
