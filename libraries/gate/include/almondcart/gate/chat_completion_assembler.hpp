#pragma once

#include <almondcart/gate/frame.hpp>

#include <json/json.h>

#include <string>
#include <string_view>

namespace almondcart {

/// Merges the chat-completions chunks of data frames into one `chat.completion` object, for clients
/// that did not request a stream. Supports one choice with text content.
class chat_completion_assembler
{
public:
    /// Adds the `data` of one frame. Text that is not a chunk is ignored.
    void add(std::string_view chunk);

    /// Returns the complete response body with the billed usage.
    std::string finish(token_usage const& usage) const;

private:
    Json::Value first_;
    std::string content_;
    std::string finish_reason_ = "stop";
};

} // namespace almondcart
