#include <almondcart/core/text.hpp>
#include <almondcart/forwarding/event_splitter.hpp>

namespace almondcart::forwarding {

namespace {

/// Returns the position after the blank line that ends the first event in `data`, or npos.
std::size_t end_of_event(std::string_view data, std::size_t from)
{
    for (auto i = data.find('\n', from); i != std::string_view::npos; i = data.find('\n', i + 1))
    {
        auto next = i + 1;
        if (next < data.size() && data[next] == '\r')
            ++next;
        if (next < data.size() && data[next] == '\n')
            return next + 1;
    }
    return std::string_view::npos;
}

std::optional<std::int64_t> id_of(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t start = 0;
    while (start < event.size())
    {
        auto end = event.find('\n', start);
        if (end == std::string_view::npos)
            end = event.size();
        auto const line = event.substr(start, end - start);
        if (line.starts_with(field))
            return parse_integer<std::int64_t>(trim(line.substr(field.size())));
        start = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::string event_splitter::feed(std::string_view data)
{
    std::string events;
    if (is_malformed_)
        return events;
    pending_ += data;
    std::size_t start = 0;
    for (auto end = end_of_event(pending_, searched_); end != std::string::npos;
         end = end_of_event(pending_, start))
    {
        auto const event = std::string_view(pending_).substr(start, end - start);
        is_malformed_ = !is_valid_utf8(event);
        if (is_malformed_)
            break;
        if (is_new(event))
            events += event;
        start = end;
    }
    pending_.erase(0, start);
    // The last two bytes may be the start of the blank line.
    constexpr std::size_t overlap = 2;
    searched_ = pending_.size() > overlap ? pending_.size() - overlap : 0;
    return events;
}

bool event_splitter::is_new(std::string_view event)
{
    auto const id = id_of(event);
    if (id && last_id_ && *id <= *last_id_)
        return false;
    if (id)
        last_id_ = id;
    ++event_count_;
    return true;
}

} // namespace almondcart::forwarding
