#pragma once

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace review {

/// Stand-in for the platform's store: keyed topics with one partition, producers, long polls.
class store
{
public:
    explicit store(endpoint where)
        : where_(std::move(where))
        , listener_(listen_on(where_))
    {
        std::thread([this] { accept_all(); }).detach();
    }

    endpoint const& where() const { return where_; }

    /// While down, each call is answered with 503 and has no effect.
    void set_down(bool is_down) { is_down_ = is_down; }

    /// Appends a record as the operator or a replica. An empty value drops the key.
    void put(std::string const& topic, std::string const& key, std::string const& value)
    {
        std::lock_guard const lock(mutex_);
        topics_[topic].records.push_back({key, value});
        changed_.notify_all();
    }

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    struct producer
    {
        std::int64_t epoch = -1;
        std::int64_t last = 0;
        bool has_appended = false;
        std::map<std::int64_t, std::int64_t> offsets{}; ///< of the last five appends
    };

    struct topic
    {
        std::vector<record> records;
        std::map<std::string, producer> producers;
    };

    using query_map = std::map<std::string, std::string>;

    static query_map parse_query(std::string const& target)
    {
        query_map out;
        auto from = target.find('?');
        while (from != std::string::npos)
        {
            auto const next = target.find('&', from + 1);
            auto const item =
                target.substr(from + 1, next == std::string::npos ? next : next - from - 1);
            auto const equals = item.find('=');
            out[item.substr(0, equals)] = decode(item.substr(equals + 1));
            from = next;
        }
        return out;
    }

    static std::string decode(std::string const& text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            if (text[i] == '%' && i + 2 < text.size())
            {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else
                out += text[i];
        }
        return out;
    }

    static std::string base64(std::string const& data)
    {
        static char const* const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < data.size(); i += 3)
        {
            unsigned bits = 0;
            auto const n = std::min<std::size_t>(3, data.size() - i);
            for (std::size_t k = 0; k < 3; ++k)
                bits = bits << 8 | (k < n ? static_cast<unsigned char>(data[i + k]) : 0U);
            for (std::size_t k = 0; k < 4; ++k)
                out += k <= n ? digits[bits >> (18 - 6 * k) & 63U] : '=';
        }
        return out;
    }

    static void append_number(std::string& out, std::uint64_t value, int bytes)
    {
        for (int i = bytes - 1; i >= 0; --i)
            out += static_cast<char>(value >> (8 * i) & 255U);
    }

    void accept_all()
    {
        for (;;)
        {
            int const fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        message_reader reader(fd);
        message_head head;
        constexpr std::int64_t idle_ms = 60'000;
        while (reader.read_head(head, now_ms() + idle_ms) == read_result::complete)
        {
            std::string body;
            if (reader.read_body(head, body, now_ms() + idle_ms) != read_result::complete)
                break;
            std::this_thread::sleep_for(std::chrono::milliseconds(4));
            auto const [status, text] = answer(head, body);
            auto const response = "HTTP/1.1 " + std::to_string(status) +
                                  " X\r\nContent-Length: " + std::to_string(text.size()) +
                                  "\r\n\r\n" + text;
            if (!write_all(fd, response))
                break;
        }
        close(fd);
    }

    std::pair<int, std::string> answer(message_head const& head, std::string const& body)
    {
        if (is_down_)
            return {503, ""};
        auto const target = head.word(1);
        auto query = parse_query(target);
        auto const path = target.substr(0, target.find('?'));
        if (path == "/-/log-newest")
            return list(query);
        if (path == "/-/log-read")
            return read(query);
        if (path == "/-/log-append")
            return append(query, body);
        return {404, ""};
    }

    std::pair<int, std::string> list(query_map& query)
    {
        std::lock_guard const lock(mutex_);
        auto const& records = topics_[query["topic"]].records;
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < records.size(); ++i)
            newest[records[i].key] = i;
        std::string items;
        for (auto const& [key, i] : newest)
        {
            if (records[i].value.empty() || key <= query["after"])
                continue;
            items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
                     "\",\"value\":\"" + base64(records[i].value) +
                     "\",\"offset\":" + std::to_string(i) + "}";
        }
        return {
            200,
            "{\"items\":[" + items +
                "],\"morePages\":false,\"end\":" + std::to_string(records.size()) + "}"};
    }

    std::pair<int, std::string> read(query_map& query)
    {
        std::unique_lock lock(mutex_);
        auto const from = static_cast<std::size_t>(std::atoll(query["from"].c_str()));
        auto const& records = topics_[query["topic"]].records;
        changed_.wait_for(
            lock,
            std::chrono::milliseconds(std::atoll(query["waitMs"].c_str())),
            [&] { return records.size() > from; });
        std::string out;
        append_number(out, records.size(), 8);
        append_number(out, 0, 8);
        for (auto i = from; i < records.size(); ++i)
        {
            auto const& it = records[i];
            append_number(out, 1 + it.key.size() + it.value.size(), 4);
            append_number(out, it.key.size(), 1);
            out += it.key + it.value;
        }
        return {200, out};
    }

    std::pair<int, std::string> append(query_map& query, std::string const& body)
    {
        std::lock_guard const lock(mutex_);
        auto& target = topics_[query["topic"]];
        auto& writer = target.producers[query["producer"]];
        auto const epoch = std::atoll(query["epoch"].c_str());
        auto const sequence = std::atoll(query["sequence"].c_str());
        if (epoch < writer.epoch)
            return {409, R"({"reason":"fenced"})"};
        if (epoch > writer.epoch)
            writer = {epoch, 0, false, {}};
        if (auto const known = writer.offsets.find(sequence); known != writer.offsets.end())
            return appended(known->second, target);
        if (writer.has_appended && sequence != writer.last + 1)
            return {409, R"({"reason":"seq","sequence":)" + std::to_string(writer.last + 1) + "}"};
        auto const offset = static_cast<std::int64_t>(target.records.size());
        append_records(target, body);
        writer.has_appended = true;
        writer.last = sequence;
        writer.offsets[sequence] = offset;
        if (writer.offsets.size() > 5)
            writer.offsets.erase(writer.offsets.begin());
        changed_.notify_all();
        return appended(offset, target);
    }

    static std::pair<int, std::string> appended(std::int64_t offset, topic const& target)
    {
        return {
            200,
            "{\"offset\":" + std::to_string(offset) +
                ",\"end\":" + std::to_string(target.records.size()) + "}"};
    }

    static void append_records(topic& target, std::string_view body)
    {
        while (body.size() >= 5)
        {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length =
                    length << 8 | static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
            auto const key_size = static_cast<std::size_t>(static_cast<unsigned char>(body[4]));
            auto const content = body.substr(5, length - 1);
            target.records.push_back(
                {std::string(content.substr(0, key_size)), std::string(content.substr(key_size))});
            body.remove_prefix(4 + length);
        }
    }

    endpoint where_;
    int listener_;
    std::atomic<bool> is_down_ = false;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, topic> topics_;
};

} // namespace review
