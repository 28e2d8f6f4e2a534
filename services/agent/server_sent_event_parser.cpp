#include "server_sent_event_parser.hpp"

#include <utility>

namespace almondcart {

server_sent_event_parser::server_sent_event_parser(std::function<void(std::string)> on_data)
    : on_data_(std::move(on_data))
{}

void server_sent_event_parser::add(std::string_view text)
{
    while (!text.empty())
    {
        auto const n = text.find('\n');
        line_ += text.substr(0, n);
        if (n == std::string_view::npos)
            return;
        text.remove_prefix(n + 1);
        end_line();
    }
}

void server_sent_event_parser::end_line()
{
    auto line = std::exchange(line_, {});
    if (line.ends_with('\r'))
        line.pop_back();
    if (line.empty())
    {
        if (std::exchange(has_data_, false))
            on_data_(std::exchange(data_, {}));
        return;
    }
    constexpr std::string_view data_field = "data:";
    if (!line.starts_with(data_field))
        return;
    std::string_view value = std::string_view(line).substr(data_field.size());
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (std::exchange(has_data_, true))
        data_ += '\n';
    data_ += value;
}

} // namespace almondcart
