#include <almondcart/core/json.hpp>
#include <almondcart/gate/chat_completion_assembler.hpp>

namespace almondcart {

namespace {

/// First choice of a chunk, or null.
Json::Value const* find_choice(Json::Value const& chunk)
{
    if (!chunk.isObject() || !chunk["choices"].isArray() || chunk["choices"].empty())
        return nullptr;
    auto const& choice = chunk["choices"][0];
    return choice.isObject() ? &choice : nullptr;
}

} // namespace

void chat_completion_assembler::add(std::string_view chunk)
{
    auto const json = parse_json(chunk);
    if (!json.ok() || !json->isObject())
        return;
    if (first_.isNull())
        first_ = *json;
    auto const* choice = find_choice(*json);
    if (choice == nullptr)
        return;
    auto const& delta = (*choice)["delta"];
    if (delta.isObject() && delta["content"].isString())
        content_ += delta["content"].asString();
    if ((*choice)["finish_reason"].isString())
        finish_reason_ = (*choice)["finish_reason"].asString();
}

std::string chat_completion_assembler::finish(token_usage const& usage) const
{
    Json::Value json(Json::objectValue);
    for (auto const* name : {"id", "created", "model"})
    {
        if (first_.isObject() && first_.isMember(name))
            json[name] = first_[name];
    }
    json["object"] = "chat.completion";
    Json::Value choice;
    choice["index"] = 0;
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = content_;
    choice["finish_reason"] = finish_reason_;
    json["choices"].append(std::move(choice));
    json["usage"]["prompt_tokens"] = Json::Int64(usage.prompt);
    json["usage"]["completion_tokens"] = Json::Int64(usage.output);
    json["usage"]["total_tokens"] = Json::Int64(usage.total());
    return to_compact_json(json);
}

} // namespace almondcart
