#pragma once

#include <almondcart/http/http_server.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondcart::standins {

/// Stand-in for the platform's store: topics with one partition, appends in the order of their
/// producers, reads that wait, and the newest record of each key.
class store_standin
{
public:
    explicit store_standin(event_loop& loop);

    std::string address() const { return server_->address(); }

    /// Appends a record as another writer.
    void put(std::string const& topic, std::string const& key, std::string const& value);
    void remove(std::string const& topic, std::string const& key) { put(topic, key, {}); }

    /// While down, each call is answered 503 and nothing is done.
    void set_down(bool is_down) { is_down_ = is_down; }

    /// Newest records that one page holds.
    void set_page_limit(std::size_t limit) { page_limit_ = limit; }

    /// Answers the next page of newest records 503.
    void fail_next_page() { is_next_page_failing_ = true; }

    /// Pages that were asked for.
    int page_count() const { return page_count_; }

    /// Cuts the reads that wait for records.
    void abort_pending_reads();

    /// Deletes all records but the newest of each key.
    void compact(std::string const& topic);

    std::optional<std::string> newest(std::string const& topic, std::string const& key) const;

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    /// Appends of one producer.
    struct producer
    {
        std::int64_t epoch = -1;
        std::int64_t last_sequence = 0;
        bool has_appended = false;                      ///< in this epoch
        std::map<std::int64_t, std::int64_t> offsets{}; ///< of recent appends, by sequence
    };

    struct topic
    {
        std::map<std::string, producer> producers{};
        std::int64_t first = 0;      ///< offset of the oldest record that is kept
        std::vector<record> records; ///< all, by offset
    };

    struct waiting_read
    {
        std::string topic;
        std::int64_t from;
        std::shared_ptr<http_exchange> exchange;
    };

    void append(http_exchange& exchange);
    static bool admit(producer& writer, http_exchange& exchange);
    void read(std::shared_ptr<http_exchange> const& exchange);
    void list_newest(http_exchange& exchange);
    void answer_read(topic const& source, std::int64_t from, http_exchange& exchange) const;
    void wake_reads();

    event_loop& loop_;
    std::unique_ptr<http_server> server_;
    std::map<std::string, topic> topics_;
    std::vector<waiting_read> waiting_;
    bool is_down_ = false;
    std::size_t page_limit_ = 500;
    bool is_next_page_failing_ = false;
    int page_count_ = 0;
};

} // namespace almondcart::standins
