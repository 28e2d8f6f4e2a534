#include "engine_placement.hpp"

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

using forwarding::load_message;
using forwarding::load_message_kind;

/// Engines that are asked for one request. With more, the answers are hardly better, and each costs
/// two datagrams.
constexpr std::size_t query_limit = 4;

/// Time to wait for answers. It covers a round trip between availability zones; a process that does
/// not answer by then is lost, frozen or cut off.
constexpr duration query_timeout{12};

/// Utilization of the VM's link from which on nothing is asked, because the datagrams of a request
/// are a noticeable part of what a small link carries.
constexpr double max_link_utilization = 0.25;

/// Prompts that are shorter are read so soon that the choice of the engine hardly matters.
constexpr std::int64_t min_tokens = 1000;

std::string host_of(std::string const& address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

engine_placement::engine_placement(
    event_loop& loop,
    forwarding::upstream_picker& picker,
    gateway_metrics& metrics,
    engine_placement_settings settings)
    : loop_(loop)
    , picker_(picker)
    , metrics_(metrics)
    , chooser_({.availability_zone = settings.availability_zone})
    , settings_(std::move(settings))
{
    forwarding::engine_request_hooks hooks;
    hooks.on_begin = [this](
                         forwarding::upstream const& target,
                         std::string const& request,
                         forwarding::prompt_info const& prompt)
    { send(target, load_message::announce(request, prompt)); };
    hooks.on_prompt_read = [this](forwarding::upstream const& target, std::string const& request)
    { send(target, load_message::prompt_read(request)); };
    hooks.on_end = [this](forwarding::upstream const& target, std::string const& request)
    { send(target, load_message::end(request)); };
    picker_.set_hooks(std::move(hooks));
}

absl::Status engine_placement::open(std::string const& listen_address)
{
    if (settings_.load_port == 0)
        return absl::OkStatus();
    auto socket = datagram_socket::create(
        loop_,
        host_of(listen_address) + ":0",
        [this](std::string_view data, socket_address const& sender) { receive(data, sender); });
    if (!socket.ok())
        return socket.status();
    socket_ = *std::move(socket);
    return absl::OkStatus();
}

void engine_placement::select(forwarding::pick_request const& request, callback done)
{
    if (request.prompt == nullptr || !should_ask(*request.prompt))
    {
        done(picker_.pick(request));
        return;
    }
    auto const targets = picker_.shortlist(request, query_limit);
    if (targets.size() < 2)
    {
        done(targets.empty() ? nullptr : targets.front());
        return;
    }
    auto const number = next_number_;
    next_number_ += static_cast<std::int64_t>(query_limit);
    round started;
    started.service = request.service;
    started.prompt = *request.prompt;
    if (request.excluded != nullptr)
        started.excluded = *request.excluded;
    started.done = std::move(done);
    auto query = load_message::query(number, *request.prompt);
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        started.candidates.push_back({targets[i], std::nullopt});
        query.number = number + static_cast<std::int64_t>(i);
        send(*targets[i], query);
    }
    started.timeout = loop_.after(query_timeout, [this, number] { finish(number); });
    rounds_.emplace(number, std::move(started));
}

void engine_placement::receive(std::string_view data, socket_address const& sender)
{
    auto const answer = load_message::decode(data);
    if (!answer || answer->kind != load_message_kind::answer || answer->number < 0)
        return;
    auto const index = answer->number % static_cast<std::int64_t>(query_limit);
    auto const it = rounds_.find(answer->number - index);
    if (it == rounds_.end() || index >= static_cast<std::int64_t>(it->second.candidates.size()))
        return;
    auto& [target, load] = it->second.candidates[static_cast<std::size_t>(index)];
    if (sender.to_text() != load_address_of(*target))
        return;
    if (!load)
        ++it->second.answers;
    load = answer->load;
    if (it->second.answers == it->second.candidates.size())
        finish(it->first);
}

void engine_placement::finish(std::int64_t number)
{
    auto const it = rounds_.find(number);
    if (it == rounds_.end())
        return;
    auto ended = std::move(it->second);
    rounds_.erase(it);
    ended.timeout.cancel();
    auto best = chooser_.choose(ended.candidates, ended.prompt);
    metrics_.count_load_round(best != nullptr);
    // The upstream may have left, or its zone may have been drained, while its answer was awaited.
    if (best == nullptr || !picker_.is_usable(*best, loop_.now()))
        best = picker_.pick({ended.service, &ended.prompt, &ended.excluded});
    ended.done(std::move(best));
}

void engine_placement::set_gateway_count(std::size_t n)
{
    is_fleet_large_ = n >= static_cast<std::size_t>(settings_.min_gateways);
}

bool engine_placement::should_ask(forwarding::prompt_info const& prompt) const
{
    return is_active() && link_utilization_ <= max_link_utilization &&
           prompt.input_tokens >= min_tokens;
}

bool engine_placement::is_active() const
{
    return socket_ != nullptr && is_fleet_large_;
}

std::string engine_placement::load_address_of(forwarding::upstream const& target) const
{
    return host_of(target.entry.address) + ":" + std::to_string(settings_.load_port);
}

void engine_placement::send(
    forwarding::upstream const& target,
    forwarding::load_message const& message)
{
    if (!is_active())
        return;
    auto const address = socket_address::parse(load_address_of(target));
    if (address.ok())
        socket_->send(message.encode(), *address);
}

} // namespace almondcart
