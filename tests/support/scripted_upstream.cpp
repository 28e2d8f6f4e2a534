#include "scripted_upstream.hpp"

#include <almondcart/core/text.hpp>

#include <sys/socket.h>

#include <utility>

namespace almondcart::test_support {

namespace {

constexpr duration closing_delay{20};

} // namespace

std::string scripted_upstream::request_id(std::string_view head)
{
    constexpr std::string_view name = "X-Almondcart-Request-Id:";
    auto const start = head.find(name);
    if (start == std::string_view::npos)
        return {};
    auto const value = head.substr(start + name.size());
    return std::string(trim(value.substr(0, value.find("\r\n"))));
}

scripted_upstream::scripted_upstream(event_loop& loop, script script)
    : loop_(loop)
    , script_(std::move(script))
{
    // The kernel chooses the port, so that none can be taken between the choice and the bind.
    auto const any = *socket_address::parse("127.0.0.1:0");
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    bind(listener_, any.native(), any.size());
    listen(listener_, SOMAXCONN);
    address_ = socket_address::of_socket(listener_).to_text();
    watch_ = loop_.watch(listener_, [this] { accept(); });
}

scripted_upstream::~scripted_upstream()
{
    loop_.unwatch(watch_);
}

void scripted_upstream::accept()
{
    int const fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
    if (fd < 0)
        return;
    connections_.push_back(std::make_unique<connection>());
    auto& added = *connections_.back();
    http1::byte_stream::callbacks hooks;
    hooks.on_data = [this, &added](std::string_view data) { receive(added, data); };
    hooks.on_end = [](http1::close_reason) {};
    added.stream = http1::byte_stream::adopt(loop_, fd, std::move(hooks));
}

void scripted_upstream::receive(connection& from, std::string_view data)
{
    constexpr std::string_view end_of_head = "\r\n\r\n";
    from.input += data;
    for (auto end = from.input.find(end_of_head); end != std::string::npos;
         end = from.input.find(end_of_head))
    {
        auto const id = request_id(std::string_view(from.input).substr(0, end));
        from.input.erase(0, end + end_of_head.size());
        ++request_counts_[id];
        reuse_count_ += from.earlier_id.empty() ? 0 : 1;
        auto const reply = script_(id, std::exchange(from.earlier_id, id));
        from.stream->write(reply.bytes);
        // Later, so that the bytes are written before the connection closes.
        if (reply.is_closing)
            loop_.after(closing_delay, [&from] { from.stream.reset(); });
    }
}

} // namespace almondcart::test_support
