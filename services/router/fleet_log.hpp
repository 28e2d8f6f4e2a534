#pragma once

#include <almondcart/http/http_client.hpp>

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "fleet_fold.hpp"
#include "log_transport.hpp"
#include "router_settings.hpp"

namespace almondcart {

/// Connection between the log and the folds of a router.
class fleet_log
{
public:
    fleet_log(
        router_settings const& settings,
        process_id self,
        http_client& client,
        fleet_fold& fold);

    void start() { read(); }
    void tick();
    std::int64_t submit(record_body body);
    std::int64_t submit_to(std::string const& stream, record_body body);
    bool is_available() const;
    bool has_caught_up() const { return has_caught_up_; }
    bool needs_snapshots() const { return !is_available(); }
    instant read_at() const { return read_at_; }
    void state_replaced(std::string const&) {}
    bool is_flushed() const { return queue_.empty(); }

private:
    void read();
    void receive(Json::Value const& value);
    void append();

    duration flush_interval_;
    process_id self_;
    log_transport transport_;
    fleet_fold& fold_;
    std::int64_t next_sequence_ = 1;
    std::deque<std::pair<std::string, Json::Value>> queue_;
    bool is_appending_ = false;
    bool is_reading_ = false;
    bool has_caught_up_ = false;
    instant appended_at_{};
    instant read_at_{};
    instant failed_at_{};
};

} // namespace almondcart
