#pragma once

#include <almondcart/forwarding/engine_queue.hpp>
#include <almondcart/forwarding/prompt_info.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

/// What a datagram between a gateway and the process beside an engine says.
enum class load_message_kind
{
    query,       ///< asks for the engine's load, for a prompt
    answer,      ///< the load that a query asked for
    announce,    ///< the sender sends a request with this prompt to the engine
    prompt_read, ///< the first event of a request has arrived
    end,         ///< a request has ended
};

/// Datagram between a gateway and the process beside an engine. One that is lost costs precision
/// only. Encoded as a JSON array, which is short: each request to an engine takes several messages.
struct load_message
{
    load_message_kind kind = load_message_kind::query;
    std::int64_t number = 0; ///< of a query and its answer
    std::string request;     ///< id of the request; empty in a query and its answer
    prompt_info prompt;      ///< of a query and an announcement; decoded without its last part
    engine_load load;        ///< of an answer

    static load_message query(std::int64_t number, prompt_info const& prompt);
    static load_message answer(std::int64_t number, engine_load const& load);
    static load_message announce(std::string const& request, prompt_info const& prompt);
    static load_message prompt_read(std::string const& request);
    static load_message end(std::string const& request);

    std::string encode() const;

    /// Returns nothing if `text` is not a valid message.
    static std::optional<load_message> decode(std::string_view text);
};

} // namespace almondcart::forwarding
