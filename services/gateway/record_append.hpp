#pragma once

#include <almondcart/forwarding/log_writer.hpp>
#include <almondcart/platform/store_client.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart {

namespace detail {

/// Sends an append to the store and reports its outcome. `part` is the prefix of log lines.
void append_encoded(
    platform::store_client& store,
    std::string const& topic,
    platform::producer_position const& position,
    std::vector<platform::keyed_record> const& records,
    std::string_view part,
    std::function<void(forwarding::append_result)> done);

} // namespace detail

/// Carries out an append of a `log_writer`: encodes the records, which have a key and a value, and
/// appends them to a topic of the store.
template<typename Record>
void append_records(
    platform::store_client& store,
    std::string const& topic,
    std::string const& producer,
    std::string_view part,
    forwarding::log_append<Record> const& append,
    std::function<void(forwarding::append_result)> const& done)
{
    std::vector<platform::keyed_record> encoded;
    encoded.reserve(append.records.size());
    for (auto const& it : append.records)
        encoded.push_back({0, it.key(), it.value()});
    detail::append_encoded(
        store, topic, {producer, append.epoch, append.sequence}, encoded, part, done);
}

} // namespace almondcart
