#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "record.hpp"
#include "store.hpp"

namespace review {

struct replica_request
{
    message_head head;
    std::string body;

    std::string id() const { return head.header("X-Almondcart-Request-Id"); }
};

/// Stand-in for a replica. It registers itself and passes each request that names it to a handler,
/// on one thread for each connection.
class replica
{
public:
    /// Handles a request and returns whether the connection is kept.
    using handler = std::function<bool(replica&, replica_request const&, int fd)>;

    replica(
        store& registry,
        recorder& record,
        std::string service,
        std::string zone,
        std::string name,
        endpoint where,
        int slots,
        handler handle)
        : store_(registry)
        , record_(record)
        , service_(std::move(service))
        , zone_(std::move(zone))
        , name_(std::move(name))
        , where_(std::move(where))
        , slots_(slots)
        , handle_(std::move(handle))
    {
        start();
        std::thread([this] { send_heartbeats(); }).detach();
    }

    std::string id() const
    {
        std::lock_guard const lock(mutex_);
        return id_;
    }
    endpoint const& where() const { return where_; }

    /// Resets all connections and is back after `down_ms`, as a new process with a new id.
    void crash(std::int64_t down_ms)
    {
        {
            std::lock_guard const lock(mutex_);
            if (!is_up_)
                return;
            is_up_ = false;
            record_.line("replica %s crashes", id_.c_str());
            shutdown(listener_, SHUT_RDWR);
            close(listener_);
            for (int const fd : connections_)
            {
                reset_on_close(fd);
                close(fd);
            }
            connections_.clear();
        }
        std::thread(
            [this, down_ms]
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(down_ms));
                start();
            })
            .detach();
    }

private:
    void start()
    {
        std::lock_guard const lock(mutex_);
        if (is_up_)
            return;
        id_ = "i-" + name_ + "-" + std::to_string(++start_count_);
        born_ = wall_ms();
        sequence_ = 0;
        listener_ = listen_on(where_);
        is_up_ = true;
        record_.line("replica %s starts at %s", id_.c_str(), where_.text().c_str());
        std::thread([this, fd = listener_, n = start_count_] { accept_all(fd, n); }).detach();
        beat();
    }

    /// Writes the registry entry. The caller holds the lock.
    void beat()
    {
        last_id_ = id_;
        last_beat_ms_ = now_ms();
        store_.put(
            "keyed.servers",
            id_,
            R"({"backend":")" + service_ + R"(","address":")" + where_.text() + R"(","zone":")" +
                zone_ + R"(","version":"v1","slots":)" + std::to_string(slots_) +
                R"(,"state":"ready","coldLeftMs":0,"sequence":)" + std::to_string(++sequence_) +
                R"(,"born":)" + std::to_string(born_) + "}");
    }

    /// The store removes an entry after three heartbeat intervals of silence.
    void send_heartbeats()
    {
        constexpr std::int64_t heartbeat_ms = 1200;
        std::string silent_id;
        for (;;)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            std::lock_guard const lock(mutex_);
            bool const is_silent = !is_up_ || last_id_ != id_;
            if (!is_silent && now_ms() - last_beat_ms_ >= heartbeat_ms)
                beat();
            if (!is_up_ && silent_id != id_)
            {
                silent_id = id_;
                std::thread(
                    [this, id = id_, left = last_beat_ms_ + 3 * heartbeat_ms - now_ms()]
                    {
                        std::this_thread::sleep_for(std::chrono::milliseconds(left));
                        store_.put("keyed.servers", id, "");
                    })
                    .detach();
            }
        }
    }

    void accept_all(int listener, int start)
    {
        for (;;)
        {
            int const fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            std::lock_guard const lock(mutex_);
            if (!is_up_ || start != start_count_)
            {
                if (fd >= 0)
                    close(fd);
                return;
            }
            if (fd < 0)
                continue;
            int const on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            connections_.insert(fd);
            std::thread([this, fd, id = id_] { serve(fd, id); }).detach();
        }
    }

    void serve(int fd, std::string const& id)
    {
        message_reader reader(fd);
        replica_request request;
        constexpr std::int64_t idle_ms = 10'000;
        while (reader.read_head(request.head, now_ms() + idle_ms) == read_result::complete)
        {
            request.body.clear();
            if (reader.read_body(request.head, request.body, now_ms() + idle_ms) !=
                read_result::complete)
                break;
            auto const expected = request.head.header("X-Almondcart-Expect-Instance");
            if (!expected.empty() && expected != id)
            {
                if (!write_all(
                        fd,
                        "HTTP/1.1 421 Misdirected Request\r\nX-Almondcart-Not-Executed: 1\r\n"
                        "X-Almondcart-Request-Id: " +
                            request.id() + "\r\nContent-Length: 0\r\n\r\n"))
                    break;
                continue;
            }
            if (!handle_(*this, request, fd))
                break;
        }
        std::lock_guard const lock(mutex_);
        if (connections_.erase(fd) != 0)
            close(fd);
    }

    store& store_;
    recorder& record_;
    std::string service_;
    std::string zone_;
    std::string name_;
    endpoint where_;
    int slots_;
    handler handle_;
    mutable std::mutex mutex_;
    std::string id_;
    std::string last_id_;
    std::int64_t born_ = 0;
    std::int64_t last_beat_ms_ = 0;
    int sequence_ = 0;
    int start_count_ = 0;
    int listener_ = -1;
    bool is_up_ = false;
    std::set<int> connections_;
};

/// Head of a success that a replica signs.
inline std::string signed_head(std::string const& id, std::string const& framing)
{
    return "HTTP/1.1 200 OK\r\nX-Almondcart-Request-Id: " + id +
           "\r\nX-Almondcart-Response-Seal: seal-" + id + "\r\n" + framing + "\r\n\r\n";
}

inline std::string chunk(std::string const& data)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

} // namespace review
