#include <almondcart/core/count.hpp>
#include <almondcart/ledger/identifier_json.hpp>
#include <almondcart/ledger/writer_sequences.hpp>

namespace almondcart {

bool writer_sequences::insert(process_id const& writer, std::int64_t sequence, std::int64_t time_ms)
{
    auto const [it, is_new] = writers_.try_emplace(writer);
    if (!is_new && sequence <= it->second.sequence)
        return false;
    it->second.sequence = sequence;
    touch(writer, it->second, time_ms);
    return true;
}

bool writer_sequences::contains(process_id const& writer, std::int64_t sequence) const
{
    auto const it = writers_.find(writer);
    return it != writers_.end() && sequence <= it->second.sequence;
}

void writer_sequences::remove_idle(
    std::int64_t time_ms,
    std::function<bool(process_id const&)> const& is_needed,
    std::function<void(process_id const&)> const& on_removed)
{
    while (!expiry_.empty() && expiry_.begin()->first + idle_limit_ms < time_ms)
    {
        process_id const writer = expiry_.begin()->second;
        auto const it = writers_.find(writer);
        if (is_needed(writer))
        {
            touch(writer, it->second, time_ms);
            continue;
        }
        expiry_.erase(expiry_.begin());
        writers_.erase(it);
        on_removed(writer);
    }
}

Json::Value writer_sequences::to_json() const
{
    Json::Value value(Json::arrayValue);
    for (auto const& [writer, entry] : writers_)
    {
        Json::Value item(Json::objectValue);
        item["writer"] = to_text(writer);
        item["sequence"] = Json::Int64(entry.sequence);
        item["time_ms"] = Json::Int64(entry.time_ms);
        value.append(item);
    }
    return value;
}

void writer_sequences::read(json_reader& reader, std::string_view name)
{
    reader.objects(
        name,
        [this](json_reader& it)
        {
            process_id const writer = detail::read_process_id(it, "writer");
            writer_entry& entry = writers_[writer];
            entry.sequence = it.integer("sequence", 0, count_limit);
            entry.time_ms = it.integer("time_ms", 0, count_limit);
            expiry_.emplace(entry.time_ms, writer);
        });
}

void writer_sequences::touch(process_id const& writer, writer_entry& entry, std::int64_t time_ms)
{
    if (entry.time_ms == time_ms)
        return;
    expiry_.erase({entry.time_ms, writer});
    entry.time_ms = time_ms;
    expiry_.emplace(time_ms, writer);
}

} // namespace almondcart
