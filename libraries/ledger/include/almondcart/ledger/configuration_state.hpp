#pragma once

#include <almondcart/ledger/records.hpp>
#include <almondcart/ledger/writer_sequences.hpp>

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace almondcart {

class service_document;

/// Current version of a service's document.
struct published_document
{
    std::int64_t version = 0;
    std::int64_t offset = -1; ///< of the publish record; fencing number of later orders
    std::int64_t time_ms = 0; ///< log time of the publish record
    std::string author;
    std::shared_ptr<service_document const> document;
};

/// Result of one publish record, for its publisher to look up.
struct publish_result
{
    process_id writer;
    std::int64_t sequence = 0;
    std::string service;
    bool is_accepted = false;
    std::int64_t version = 0; ///< accepted version, or the current one on rejection
    std::string reason;       ///< of a rejection
};

/// Crashes reported for one request fingerprint.
struct crash_entry
{
    std::set<std::string> agents;  ///< process id texts; at most `crashes_to_block` are kept
    std::int64_t last_offset = -1; ///< of the newest counted report
};

/// Counters of refused records.
struct configuration_refusals
{
    std::int64_t rejected_publishes = 0; ///< expected on concurrent publishing
    std::int64_t known_facts = 0;        ///< repeated reports of one crash; expected in races
    std::int64_t invalid = 0;            ///< records that belong to other streams
    std::int64_t repeats = 0;  ///< same writer and sequence; expected after lost responses
    std::int64_t unparsed = 0; ///< not a valid record of this version
};

/// State of the `config` stream, folded in log order.
class configuration_state
{
public:
    /// Number of publish results that are kept.
    static constexpr std::size_t publish_result_limit = 256;

    /// Number of distinct crashes after which a fingerprint is blocked.
    static constexpr int crashes_to_block = 2;

    /// Maximum number of fingerprints with crash reports. The oldest is evicted first, and blocked
    /// ones only if all are blocked.
    static constexpr std::size_t fingerprint_limit = 4096;

    /// Applies the record. Offsets at or below `offset()` are ignored, so the state never goes
    /// back.
    void apply(stored_record const& record);
    void advance(std::int64_t offset);

    /// Counts a record that could not be parsed and advances to its offset.
    void skip(std::int64_t offset, std::int64_t time_ms);

    /// Offset of the last applied record, -1 if none.
    std::int64_t offset() const { return offset_; }

    /// Newest log time seen, in milliseconds.
    std::int64_t time_ms() const { return time_ms_; }

    published_document const* find_document(std::string const& service) const;
    std::map<std::string, published_document> const& documents() const { return documents_; }

    publish_result const*
    find_publish_result(process_id const& writer, std::int64_t sequence) const;

    bool is_blocked(std::string const& fingerprint) const;

    std::map<std::string, crash_entry> const& crashes() const { return crashes_; }
    configuration_refusals const& refusals() const { return refusals_; }

    /// Complete state for checkpoints, peers and agents. Equal states have equal JSON forms.
    Json::Value to_json() const;

    /// Errors carry `malformed_request`.
    static absl::StatusOr<configuration_state> from_json(Json::Value const& value);

private:
    void advance_to(std::int64_t offset, std::int64_t time_ms);
    void apply_record(log_record const& record);
    void apply_publish(log_record const& record, publish_record const& body);
    void apply_crash_report(crash_report_record const& body);

    /// Returns the reason to reject the publication, or an empty string after setting `document`.
    std::string check_publish(
        publish_record const& body,
        std::shared_ptr<service_document const>& document) const;
    std::string find_key_conflict(service_document const& document) const;
    void evict_fingerprints();

    Json::Value documents_to_json() const;
    Json::Value results_to_json() const;
    Json::Value crashes_to_json() const;
    void read_members(json_reader& reader);
    void read_document(json_reader& reader);
    void read_result(json_reader& reader);

    std::int64_t offset_ = -1;
    std::int64_t time_ms_ = 0;
    std::map<std::string, published_document> documents_;
    std::deque<publish_result> results_; ///< in log order
    std::map<std::string, crash_entry> crashes_;
    configuration_refusals refusals_;
    writer_sequences writers_;
};

} // namespace almondcart
