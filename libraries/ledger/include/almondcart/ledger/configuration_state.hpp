#pragma once

#include <almondcart/ledger/records.hpp>

#include <json/json.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondcart {

class service_document;

/// Version of a service's document that is in force.
struct published_document
{
    std::int64_t version = 0;
    std::int64_t offset = -1; ///< of the publish record; fencing number of orders that follow
    std::int64_t time_ms = 0; ///< log time of the publish record
    std::string author;
    std::shared_ptr<service_document const> document;
};

/// Result of one publish record, kept for its publisher.
struct publish_result
{
    process_id writer;
    std::int64_t sequence = 0;
    std::string service;
    bool is_accepted = false;
    std::int64_t version = 0; ///< accepted version, or the current one on rejection
    std::string reason;       ///< of a rejection
};

/// State of the `config` stream, folded in log order.
class configuration_state
{
public:
    /// Number of publish results that are kept.
    static constexpr std::size_t publish_result_limit = 256;

    /// Crashes after which a fingerprint is blocked.
    static constexpr int crashes_to_block = 2;

    /// Folds the record. Offsets at or below `offset()` are ignored, so state never moves back.
    void apply(stored_record const& record);
    void advance(std::int64_t offset);

    /// Offset of the last folded record, -1 if none.
    std::int64_t offset() const { return offset_; }

    published_document const* find_document(std::string const& service) const;
    std::map<std::string, published_document> const& documents() const { return documents_; }

    publish_result const*
    find_publish_result(process_id const& writer, std::int64_t sequence) const;

    bool is_blocked(std::string const& fingerprint) const;

    Json::Value to_json() const;
    static absl::StatusOr<configuration_state> from_json(Json::Value const& value);

private:
    std::int64_t offset_ = -1;
    std::map<std::string, published_document> documents_;
    std::vector<publish_result> results_;
};

} // namespace almondcart
