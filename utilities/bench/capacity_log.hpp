#pragma once

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "log_model.hpp"
#include "virtual_time.hpp"

namespace almondcart::bench {

/// In-memory log with the JSON calls of section 4.1 of the design page. Appends take the service
/// time of `log_model`, and each direction takes its latency. A read without records is a long
/// poll.
class capacity_log
{
public:
    using response_function = std::function<void(std::string const& text)>;

    explicit capacity_log(virtual_time& time)
        : time_(time)
    {}

    void append(std::string body, response_function respond);
    void read(std::string body, response_function respond);

    /// Appends one record immediately, without a simulated call. Returns its offset.
    std::int64_t put(std::string const& stream, std::string record);

    std::int64_t appends() const { return appends_; }
    std::int64_t append_bytes() const { return append_bytes_; }
    std::int64_t records() const { return records_; }
    std::int64_t record_bytes() const { return record_bytes_; }
    std::map<std::string, std::int64_t> const& records_by_type() const { return records_by_type_; }

private:
    struct stored_entry
    {
        std::int64_t time_ms = 0;
        std::string data;
    };

    struct pending_read
    {
        std::uint64_t id = 0;
        Json::Value request;
        response_function respond;
    };

    void handle_append(std::string const& body, response_function const& respond);
    void handle_read(std::string const& body, response_function const& respond);
    void serve_pending_reads();
    bool has_records(Json::Value const& request) const;
    std::string create_response(Json::Value const& request) const;
    void respond_later(response_function const& respond, std::string text);

    virtual_time& time_;
    instant idle_at_{};
    std::map<std::string, std::vector<stored_entry>> streams_;
    std::vector<pending_read> pending_reads_;
    std::uint64_t next_read_ = 1;
    std::int64_t appends_ = 0;
    std::int64_t append_bytes_ = 0;
    std::int64_t records_ = 0;
    std::int64_t record_bytes_ = 0;
    std::map<std::string, std::int64_t> records_by_type_;
};

} // namespace almondcart::bench
