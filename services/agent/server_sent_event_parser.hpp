#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace almondcart {

/// Parses a stream of server-sent events and extracts the data of each event.
class server_sent_event_parser
{
public:
    /// `on_data` is called once per event that has data lines, with the lines joined by line feeds.
    explicit server_sent_event_parser(std::function<void(std::string)> on_data);

    void add(std::string_view text);

    /// Buffered bytes of the incomplete event.
    std::size_t pending_bytes() const { return line_.size() + data_.size(); }

private:
    void end_line();

    std::function<void(std::string)> on_data_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
};

} // namespace almondcart
