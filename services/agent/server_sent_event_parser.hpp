#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace almondcart {

/// Splits a stream of server-sent events into the data of its events.
class server_sent_event_parser
{
public:
    /// `on_data` is called once per event that has data lines, joined by line feeds.
    explicit server_sent_event_parser(std::function<void(std::string)> on_data);

    void add(std::string_view text);

    /// Bytes of the event that is not complete yet.
    std::size_t pending_bytes() const { return line_.size() + data_.size(); }

private:
    void end_line();

    std::function<void(std::string)> on_data_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
};

} // namespace almondcart
