#pragma once

#include <almondcart/http/http_server.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondcart::standins {

/// Stand-in for the platform's log store: topics with a single partition, idempotent producers with
/// fencing by epoch, long-poll reads, and a paged listing of the newest record of each key.
class store_standin
{
public:
    explicit store_standin(event_loop& loop);

    std::string address() const { return server_->address(); }

    /// Appends a record without a producer, as another writer would.
    void put(std::string const& topic, std::string const& key, std::string const& value);

    /// Appends an empty value, which removes the key from the listing.
    void remove(std::string const& topic, std::string const& key) { put(topic, key, {}); }

    /// While down, every call gets a 503 response and has no effect.
    void set_down(bool is_down) { is_down_ = is_down; }

    /// While set, calls are turned away with 429, as when all processes together make too many.
    void set_overloaded(bool is_overloaded) { is_overloaded_ = is_overloaded; }

    /// Sets the number of records per page of the listing.
    void set_page_limit(std::size_t limit) { page_limit_ = limit; }

    /// Fails the next request for a page after the first one with 503.
    void fail_next_page() { is_next_page_failing_ = true; }

    /// While set, each page begins with the first record, whatever page is requested.
    void set_pages_repeated(bool are_pages_repeated) { are_pages_repeated_ = are_pages_repeated; }

    /// Number of requested pages, failed requests included.
    int page_count() const { return page_count_; }

    /// Closes the connections of all pending long polls.
    void abort_pending_reads();

    /// Compacts the topic: only the newest record of each key remains in the listing, and reads
    /// from an offset before the current end get a 410 response.
    void compact(std::string const& topic);

    std::optional<std::string> newest(std::string const& topic, std::string const& key) const;

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    /// Deduplication state of one producer.
    struct producer
    {
        std::int64_t epoch = -1;
        std::int64_t last_sequence = 0;
        bool has_appended = false;                      ///< in the current epoch
        std::map<std::int64_t, std::int64_t> offsets{}; ///< of recent appends, by sequence
    };

    struct topic
    {
        std::map<std::string, producer> producers{};
        std::int64_t first_offset = 0; ///< oldest offset that can still be read
        std::vector<record> records;   ///< all, by offset
    };

    struct pending_read
    {
        std::string topic;
        std::int64_t from;
        std::shared_ptr<http_exchange> exchange;
    };

    void handle_append(http_exchange& exchange);

    /// Checks epoch and sequence number. Responds and returns false if the append must not be
    /// applied, because it is fenced, repeated or out of sequence.
    static bool accept_producer_append(producer& writer, http_exchange& exchange);
    void handle_read(std::shared_ptr<http_exchange> const& exchange);
    void handle_newest(http_exchange& exchange);
    void respond_read(topic const& source, std::int64_t from, http_exchange& exchange) const;

    /// Answers the long polls whose topics have new records.
    void serve_pending_reads();

    event_loop& loop_;
    std::unique_ptr<http_server> server_;
    std::map<std::string, topic> topics_;
    std::vector<pending_read> pending_reads_;
    bool is_down_ = false;
    bool is_overloaded_ = false;
    std::size_t page_limit_ = 500;
    bool is_next_page_failing_ = false;
    bool are_pages_repeated_ = false;
    int page_count_ = 0;
};

} // namespace almondcart::standins
