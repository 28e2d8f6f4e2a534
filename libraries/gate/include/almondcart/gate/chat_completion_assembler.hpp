#pragma once

#include <almondcart/gate/frame.hpp>

#include <json/json.h>

#include <string>
#include <string_view>

namespace almondcart {

/// Joins the chat-completions chunks of the data frames into one `chat.completion` object, for a
/// caller that did not ask for a stream. Supports one choice with text content.
class chat_completion_assembler
{
public:
    /// Adds the `data` of one frame; text that is not a chunk is ignored.
    void add(std::string_view chunk);

    /// Complete response body with the usage that is billed.
    std::string finish(token_usage const& usage) const;

private:
    Json::Value first_;
    std::string content_;
    std::string finish_reason_ = "stop";
};

} // namespace almondcart
