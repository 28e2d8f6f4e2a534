#include <almondcart/forwarding/upstream_directory.hpp>

#include <utility>

namespace almondcart::forwarding {

upstream_directory::upstream_directory(std::function<void(upstream const&)> on_change)
    : on_change_(std::move(on_change))
{}

void upstream_directory::apply(std::string const& id, std::optional<upstream_entry> entry)
{
    auto const it = by_id_.find(id);
    if (!entry)
    {
        remove(id);
        return;
    }
    if (it != by_id_.end())
    {
        auto& known = *it->second;
        bool const is_same_start = known.entry.address == entry->address &&
                                   known.entry.service == entry->service &&
                                   known.entry.started_ms == entry->started_ms;
        if (is_same_start)
        {
            bool const is_changed = known.entry != *entry;
            known.entry = *std::move(entry);
            if (is_changed && on_change_)
                on_change_(known);
            return;
        }
        remove(id);
    }
    auto const added = std::make_shared<upstream>(upstream{*std::move(entry), false});
    by_id_.emplace(id, added);
    rebuild(added->entry.service);
    if (on_change_)
        on_change_(*added);
}

void upstream_directory::replace_all(std::map<std::string, upstream_entry> const& entries)
{
    std::vector<std::string> missing;
    for (auto const& [id, known] : by_id_)
    {
        if (!entries.contains(id))
            missing.push_back(id);
    }
    for (auto const& id : missing)
        remove(id);
    for (auto const& [id, entry] : entries)
        apply(id, entry);
}

void upstream_directory::remove(std::string const& id)
{
    auto const it = by_id_.find(id);
    if (it == by_id_.end())
        return;
    auto const removed = it->second;
    by_id_.erase(it);
    removed->is_gone = true;
    rebuild(removed->entry.service);
    if (on_change_)
        on_change_(*removed);
}

void upstream_directory::rebuild(std::string const& service)
{
    auto& list = by_service_[service];
    list.clear();
    for (auto const& [id, known] : by_id_)
    {
        if (known->entry.service == service)
            list.push_back(known);
    }
}

std::vector<upstream_pointer> const& upstream_directory::of_service(std::string_view service) const
{
    static std::vector<upstream_pointer> const none;
    auto const it = by_service_.find(service);
    return it == by_service_.end() ? none : it->second;
}

} // namespace almondcart::forwarding
