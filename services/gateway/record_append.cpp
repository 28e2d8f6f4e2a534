#include "record_append.hpp"

#include <spdlog/spdlog.h>

namespace almondcart::detail {

namespace {

using forwarding::append_outcome;
using forwarding::append_result;

append_outcome outcome_of(platform::store_error error)
{
    switch (error)
    {
    case platform::store_error::fenced:
        return append_outcome::fenced;
    case platform::store_error::out_of_sequence:
        return append_outcome::out_of_sequence;
    case platform::store_error::rejected:
    case platform::store_error::overloaded:
    case platform::store_error::deleted:
        return append_outcome::rejected;
    case platform::store_error::unanswered:
    case platform::store_error::unreadable:
        break;
    }
    return append_outcome::unknown;
}

} // namespace

void append_encoded(
    platform::store_client& store,
    std::string const& topic,
    platform::producer_position const& position,
    std::vector<platform::keyed_record> const& records,
    std::string_view part,
    std::function<void(append_result)> done)
{
    store.append(
        topic,
        position,
        records,
        [done = std::move(done), part, sequence = position.sequence, n = records.size()](
            platform::store_result<std::int64_t> const& result)
        {
            if (!result.has_value())
                spdlog::info(
                    "[{}] append sequence={} records={} failed: {}",
                    part,
                    sequence,
                    n,
                    platform::name_of(result.error));
            done(
                result.has_value() ? append_result{append_outcome::appended, *result.value}
                                   : append_result{outcome_of(result.error), 0});
        });
}

} // namespace almondcart::detail
