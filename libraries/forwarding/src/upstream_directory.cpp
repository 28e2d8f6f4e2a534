#include <almondcart/forwarding/upstream_directory.hpp>

#include <algorithm>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// Processes whose statements are remembered; the oldest are dropped first.
constexpr std::size_t statement_limit = 4096;

} // namespace

upstream_directory::upstream_directory(
    std::function<void(upstream const&)> on_change,
    clock_function clock)
    : on_change_(std::move(on_change))
    , clock_(std::move(clock))
{}

void upstream_directory::apply(std::string const& id, std::optional<upstream_entry> entry)
{
    apply(id, std::move(entry), true);
}

void upstream_directory::receive(upstream& target, upstream_entry entry, bool is_recent) const
{
    target.entry = std::move(entry);
    if (!clock_)
        return;
    auto const now = clock_();
    if (is_recent)
        target.entry_received = now;
    auto const cold_left = target.entry.cold_left.value_or(duration(0));
    // An old entry may say less than an earlier one that was received in time.
    auto const cold_until = now + cold_left;
    target.cold_until = is_recent ? cold_until : std::max(target.cold_until, cold_until);
}

void upstream_directory::apply(
    std::string const& id,
    std::optional<upstream_entry> entry,
    bool is_recent)
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
            auto previous = known.entry;
            previous.cold_left = entry->cold_left;
            bool const is_changed = previous != *entry;
            receive(known, *std::move(entry), is_recent);
            if (is_changed && on_change_)
                on_change_(known);
            return;
        }
        remove(id);
    }
    auto const added = std::make_shared<upstream>();
    receive(*added, *std::move(entry), is_recent);
    if (auto const known = statements_.find(added->process()); known != statements_.end())
        added->statement = known->second;
    by_id_.emplace(id, added);
    rebuild(added->entry.service);
    if (on_change_)
        on_change_(*added);
}

void upstream_directory::record_leaving(upstream_pointer const& target)
{
    if (std::exchange(target->statement.is_leaving, true))
        return;
    remember(*target);
    if (on_change_)
        on_change_(*target);
}

void upstream_directory::record_pause(upstream_pointer const& target, instant end)
{
    auto& paused_until = target->statement.paused_until;
    paused_until = std::max(paused_until, end);
    remember(*target);
}

void upstream_directory::remember(upstream const& target)
{
    auto const [it, is_new] = statements_.insert_or_assign(target.process(), target.statement);
    if (!is_new)
        return;
    statement_order_.push_back(it->first);
    if (statement_order_.size() <= statement_limit)
        return;
    statements_.erase(statement_order_.front());
    statement_order_.pop_front();
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
        apply(id, entry, false);
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
