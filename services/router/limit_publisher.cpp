#include "limit_publisher.hpp"

#include <utility>

namespace almondcart {

namespace {

constexpr duration takeover_delay{2'000};
constexpr duration repeat_interval{10'000};

} // namespace

limit_publisher::limit_publisher(
    fleet_state const& state,
    membership const& members,
    clock_function clock,
    std::function<std::int64_t(record_body)> submit)
    : state_(state)
    , members_(members)
    , clock_(std::move(clock))
    , submit_(std::move(submit))
{}

void limit_publisher::tick()
{
    for (auto const& [service, published] : state_.configuration().documents())
        compare(*published.document, published.version);
}

// FIXME: A budget that a new document no longer lists keeps its last total on its shard. Requests
// for it are refused, because the document defines which budgets exist, but its tokens stay
// allocated.
void limit_publisher::compare(service_document const& document, std::int64_t version)
{
    auto const now = clock_();
    for (auto const& budget : document.budgets())
    {
        budget_id const id{{document.service(), budget.account}, budget.name};
        if (is_equal(id, budget))
        {
            differences_.erase(id);
            continue;
        }
        auto& difference_entry =
            differences_.try_emplace(id, difference{now, now, version, false}).first->second;
        if (difference_entry.document_version != version)
            difference_entry = difference{now, now, version, false};
        bool const is_responsible =
            members_.is_primary_for(to_text(id)) || now - difference_entry.since >= takeover_delay;
        if (!is_responsible ||
            (difference_entry.is_submitted && now - difference_entry.submitted < repeat_interval))
            continue;
        difference_entry.is_submitted = true;
        difference_entry.submitted = now;
        submit_(limit_record{id, budget.total_tokens, budget.preference, version});
    }
}

bool limit_publisher::is_equal(budget_id const& id, budget_definition const& budget) const
{
    auto const* entry = state_.shard_of_account(id.account).find_budget(id);
    return entry != nullptr && entry->total == budget.total_tokens &&
           entry->preference == budget.preference;
}

} // namespace almondcart
