#pragma once

// Stand-ins and helpers of the cases of the third review: a store, replicas, clients, and the start
// of the project's processes. They use POSIX sockets and threads only, so that nothing of the
// project is linked into them.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

inline std::int64_t steady_ms()
{
    using namespace std::chrono;
    static auto const start = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

inline std::int64_t wall_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Record of what was sent, answered and run. Each line begins with the time in ms.
class recorder
{
public:
    explicit recorder(std::string const& file)
        : file_(std::fopen(file.c_str(), "w"))
    {}

    ~recorder()
    {
        if (file_ != nullptr)
            std::fclose(file_);
    }

    void operator()(char const* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard const lock(mutex_);
        if (file_ == nullptr)
            return;
        std::fprintf(file_, "%7lld ", static_cast<long long>(steady_ms()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

inline std::string lower(std::string_view text)
{
    std::string out(text);
    for (auto& c : out)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return out;
}

struct message
{
    std::string method; ///< of a request
    std::string path;   ///< of a request, without the query
    std::map<std::string, std::string> query;
    int status = 0;                             ///< of a response; 0: there was none
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool is_complete = false;

    std::string header(std::string const& name) const
    {
        auto const it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }

    std::string parameter(std::string const& name) const
    {
        auto const it = query.find(name);
        return it == query.end() ? "" : it->second;
    }

    std::int64_t number(std::string const& name) const
    {
        return std::atoll(parameter(name).c_str());
    }
};

inline std::string percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
            i += 2;
        }
        else
            out += text[i];
    }
    return out;
}

/// Reads from one connection, with a limit for the silence between two reads.
class reader
{
public:
    explicit reader(int fd)
        : fd_(fd)
    {}

    void set_deadline(std::int64_t ms) { deadline_ = ms; }

    /// Returns a line without its end, or nothing at the end of the connection.
    std::optional<std::string> line()
    {
        for (;;)
        {
            auto const end = buffer_.find("\r\n");
            if (end != std::string::npos)
            {
                auto text = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return text;
            }
            if (!fill())
                return std::nullopt;
        }
    }

    std::optional<std::string> bytes(std::size_t n)
    {
        while (buffer_.size() < n)
        {
            if (!fill())
                return std::nullopt;
        }
        auto text = buffer_.substr(0, n);
        buffer_.erase(0, n);
        return text;
    }

    bool fill()
    {
        pollfd it{fd_, POLLIN, 0};
        int wait = -1;
        if (deadline_ > 0)
        {
            auto const left = deadline_ - steady_ms();
            if (left <= 0)
                return false;
            wait = static_cast<int>(left);
        }
        if (poll(&it, 1, wait) <= 0)
            return false;
        char data[16384];
        auto const n = recv(fd_, data, sizeof(data), 0);
        if (n <= 0)
            return false;
        buffer_.append(data, static_cast<std::size_t>(n));
        return true;
    }

private:
    int fd_;
    std::int64_t deadline_ = 0;
    std::string buffer_;
};

inline bool send_all(int fd, std::string_view data)
{
    while (!data.empty())
    {
        auto const n = send(fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

inline bool read_headers(reader& from, message& out)
{
    for (;;)
    {
        auto const line = from.line();
        if (!line)
            return false;
        if (line->empty())
            return true;
        auto const colon = line->find(':');
        if (colon == std::string::npos)
            return false;
        auto value = line->substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.headers[lower(line->substr(0, colon))] = value;
    }
}

inline bool read_chunks(reader& from, std::string& body, std::function<void()> const& on_data)
{
    for (;;)
    {
        auto const size = from.line();
        if (!size)
            return false;
        auto const n = std::strtoul(size->c_str(), nullptr, 16);
        if (n == 0)
            return from.line().has_value();
        auto const data = from.bytes(n);
        if (!data)
            return false;
        body += *data;
        if (on_data)
            on_data();
        if (!from.line())
            return false;
    }
}

inline std::optional<message> read_request(reader& from)
{
    auto const first = from.line();
    if (!first)
        return std::nullopt;
    message out;
    auto const space = first->find(' ');
    auto const end = first->rfind(' ');
    if (space == std::string::npos || end <= space)
        return std::nullopt;
    out.method = first->substr(0, space);
    auto const target = first->substr(space + 1, end - space - 1);
    auto const mark = target.find('?');
    out.path = target.substr(0, mark);
    std::string_view rest =
        mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
    while (!rest.empty())
    {
        auto const part = rest.substr(0, rest.find('&'));
        auto const equals = part.find('=');
        if (equals != std::string_view::npos)
            out.query[std::string(part.substr(0, equals))] =
                percent_decode(part.substr(equals + 1));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    }
    if (!read_headers(from, out))
        return std::nullopt;
    if (auto const length = out.header("content-length"); !length.empty())
    {
        auto const body = from.bytes(std::strtoul(length.c_str(), nullptr, 10));
        if (!body)
            return std::nullopt;
        out.body = *body;
    }
    else if (lower(out.header("transfer-encoding")) == "chunked")
    {
        if (!read_chunks(from, out.body, {}))
            return std::nullopt;
    }
    return out;
}

inline sockaddr_in socket_address(std::string const& address)
{
    auto const colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

/// Returns a socket that is bound to `address`, or -1.
inline int bind_to(std::string const& address)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto const native = socket_address(address);
    if (bind(fd, reinterpret_cast<sockaddr const*>(&native), sizeof(native)) == 0)
        return fd;
    close(fd);
    return -1;
}

/// Returns a listening socket, or -1.
inline int listen_on(std::string const& address)
{
    int const fd = bind_to(address);
    if (fd < 0 || listen(fd, 512) == 0)
        return fd;
    close(fd);
    return -1;
}

inline int port_of(int fd)
{
    sockaddr_in native{};
    socklen_t size = sizeof(native);
    getsockname(fd, reinterpret_cast<sockaddr*>(&native), &size);
    return ntohs(native.sin_port);
}

/// Returns a port that is free on all `hosts`. It stays bound until the case ends, so that no
/// outgoing connection takes it before a process listens there, or while one starts anew.
inline int find_free_port(std::vector<std::string> const& hosts)
{
    for (int attempt = 0; attempt < 200; ++attempt)
    {
        std::vector<int> bound{bind_to(hosts.front() + ":0")};
        auto const port = port_of(bound.front());
        for (std::size_t i = 1; i < hosts.size(); ++i)
            bound.push_back(bind_to(hosts[i] + ":" + std::to_string(port)));
        if (std::ranges::find(bound, -1) == bound.end())
            return port;
        for (int const fd : bound)
        {
            if (fd >= 0)
                close(fd);
        }
    }
    return 0;
}

inline std::string find_free_address(std::string const& host = "127.0.0.1")
{
    return host + ":" + std::to_string(find_free_port({host}));
}

/// Server with a thread for each connection. The handler writes the response to `fd` and returns
/// whether the connection stays open.
class server
{
public:
    using handler = std::function<bool(int fd, message const& request)>;

    server(std::string const& address, handler handle)
        : address_(address)
        , handle_(std::move(handle))
    {}

    ~server() { stop(); }

    bool start()
    {
        listener_ = listen_on(address_);
        if (listener_ < 0)
            return false;
        is_running_ = true;
        accepting_ = std::thread(
            [this]
            {
                while (is_running_)
                {
                    pollfd it{listener_, POLLIN, 0};
                    if (poll(&it, 1, 50) <= 0)
                        continue;
                    int const fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                    if (fd >= 0)
                        add(fd);
                }
                close(listener_);
            });
        return true;
    }

    /// Ends all connections and stops to listen, as when the process is gone.
    void stop()
    {
        if (!is_running_.exchange(false))
            return;
        accepting_.join();
        reset_connections();
        for (auto& it : threads_)
            it.join();
        threads_.clear();
    }

    /// Ends all connections.
    void reset_connections()
    {
        std::lock_guard const lock(mutex_);
        for (int const fd : open_)
            shutdown(fd, SHUT_RDWR);
    }

    std::string const& address() const { return address_; }

private:
    void add(int fd)
    {
        int const on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            std::lock_guard const lock(mutex_);
            open_.insert(fd);
        }
        threads_.emplace_back(
            [this, fd]
            {
                reader from(fd);
                while (is_running_)
                {
                    auto const request = read_request(from);
                    if (!request || !handle_(fd, *request))
                        break;
                }
                std::lock_guard const lock(mutex_);
                open_.erase(fd);
                close(fd);
            });
    }

    std::string address_;
    handler handle_;
    int listener_ = -1;
    std::atomic<bool> is_running_ = false;
    std::thread accepting_;
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    std::set<int> open_;
};

inline std::string base64(std::string_view data)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < data.size(); i += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (i + k < data.size() ? static_cast<unsigned char>(data[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= data.size() ? digits[bits >> (18 - 6 * k) & 63U] : '=';
    }
    return out;
}

/// Stand-in for the platform's store: keyed topics with one partition, producers with epochs and
/// sequence numbers, reads that wait, and the newest record of each key. An append takes 4 ms.
class store
{
public:
    explicit store(recorder& record)
        : record_(record)
        , server_(
              find_free_address(),
              [this](int fd, message const& request) { return handle(fd, request); })
    {}

    ~store() { stop(); }

    bool start() { return server_.start(); }

    void stop()
    {
        is_stopping_ = true;
        changed_.notify_all();
        server_.stop();
    }

    std::string const& address() const { return server_.address(); }

    /// Appends a record of another writer; an empty value drops the key.
    void put(std::string const& topic, std::string const& key, std::string const& value)
    {
        std::lock_guard const lock(mutex_);
        if (is_away_)
            return;
        topics_[topic].records.push_back({key, value});
        changed_.notify_all();
    }

    /// Keeps a copy of all that the store holds now.
    void take_copy()
    {
        std::lock_guard const lock(mutex_);
        copy_ = topics_;
        record_("store: copy taken");
    }

    /// Is away for `away_ms`, then comes back from the copy with the next era.
    void restore_copy(std::int64_t away_ms)
    {
        {
            std::lock_guard const lock(mutex_);
            is_away_ = true;
            changed_.notify_all();
        }
        record_("store: away");
        server_.reset_connections();
        sleep_ms(away_ms);
        std::lock_guard const lock(mutex_);
        for (auto const& [name, it] : topics_)
            record_(
                "store: topic %s goes back from end %zu to %zu",
                name.c_str(),
                it.records.size(),
                copy_[name].records.size());
        topics_ = copy_;
        ++era_;
        is_away_ = false;
        record_("store: back from the copy, era %d", era_.load());
    }

    std::size_t end_of(std::string const& topic)
    {
        std::lock_guard const lock(mutex_);
        return topics_[topic].records.size();
    }

    /// Called with each record that a process of the system appends, in log order.
    void on_append(
        std::function<void(std::string const& topic, std::string const& key, std::string const&)>
            callback)
    {
        append_callback_ = std::move(callback);
    }

private:
    struct entry
    {
        std::string key;
        std::string value;
    };

    struct producer
    {
        std::int64_t epoch = -1;
        std::int64_t last = 0;
        bool has_appended = false;
        std::map<std::int64_t, std::int64_t> offsets{};
    };

    struct topic
    {
        std::vector<entry> records{};
        std::map<std::string, producer> producers{};
    };

    bool respond(int fd, int status, std::string const& type, std::string const& body)
    {
        std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type +
                           "\r\nStore-Era: " + std::to_string(era_) +
                           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return send_all(fd, head + body);
    }

    bool json(int fd, int status, std::string const& body)
    {
        return respond(fd, status, "application/json", body);
    }

    bool handle(int fd, message const& request)
    {
        {
            std::lock_guard const lock(mutex_);
            if (is_away_)
                return false;
        }
        if (request.path == "/-/log-append")
            return append(fd, request);
        if (request.path == "/-/log-read")
            return read(fd, request);
        if (request.path == "/-/log-newest")
            return newest(fd, request);
        return json(fd, 404, "{}");
    }

    bool append(int fd, message const& request)
    {
        sleep_ms(4);
        std::string answer;
        int status = 200;
        {
            std::lock_guard const lock(mutex_);
            if (is_away_)
                return false;
            status = append_records(request, answer);
        }
        return json(fd, status, answer);
    }

    int append_records(message const& request, std::string& answer)
    {
        auto& target = topics_[request.parameter("topic")];
        auto const offset = static_cast<std::int64_t>(target.records.size());
        if (request.query.contains("producer"))
        {
            auto& writer = target.producers[request.parameter("producer")];
            auto const epoch = request.number("epoch");
            auto const sequence = request.number("sequence");
            if (epoch < writer.epoch)
            {
                answer = R"({"reason":"fenced"})";
                return 409;
            }
            if (epoch > writer.epoch)
                writer = {.epoch = epoch};
            if (auto const it = writer.offsets.find(sequence); it != writer.offsets.end())
            {
                answer = R"({"offset":)" + std::to_string(it->second) + R"(,"end":)" +
                         std::to_string(offset) + "}";
                return 200;
            }
            if (writer.has_appended && sequence != writer.last + 1)
            {
                answer = R"({"reason":"seq","expected":)" + std::to_string(writer.last + 1) + "}";
                return 409;
            }
            writer.has_appended = true;
            writer.last = sequence;
            writer.offsets[sequence] = offset;
            if (writer.offsets.size() > 5)
                writer.offsets.erase(writer.offsets.begin());
        }
        std::string_view data = request.body;
        while (data.size() > 4)
        {
            std::size_t length = 0;
            for (std::size_t i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(data[i]);
            auto const content = data.substr(4, length);
            auto const key_length = static_cast<unsigned char>(content[0]);
            entry it{
                std::string(content.substr(1, key_length)),
                std::string(content.substr(1 + key_length))};
            if (append_callback_)
                append_callback_(request.parameter("topic"), it.key, it.value);
            target.records.push_back(std::move(it));
            data.remove_prefix(4 + length);
        }
        answer = R"({"offset":)" + std::to_string(offset) + R"(,"end":)" +
                 std::to_string(target.records.size()) + "}";
        changed_.notify_all();
        return 200;
    }

    static std::string big_endian(std::uint64_t value, std::size_t bytes)
    {
        std::string text(bytes, '\0');
        for (std::size_t i = bytes; i-- > 0; value >>= 8)
            text[i] = static_cast<char>(value & 255U);
        return text;
    }

    bool read(int fd, message const& request)
    {
        sleep_ms(1);
        auto const name = request.parameter("topic");
        auto const from =
            static_cast<std::size_t>(std::max<std::int64_t>(0, request.number("from")));
        auto const until =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(request.number("waitMs"));
        std::string data;
        {
            std::unique_lock lock(mutex_);
            auto const is_over = [&]
            { return is_stopping_ || is_away_ || topics_[name].records.size() != from; };
            changed_.wait_until(lock, until, is_over);
            if (is_stopping_ || is_away_)
                return false;
            auto const& records = topics_[name].records;
            if (from > records.size())
            {
                lock.unlock();
                return json(fd, 410, R"({"first":0})");
            }
            data = big_endian(records.size(), 8) + big_endian(0, 8);
            for (auto i = from; i < records.size() && data.size() < 1'000'000; ++i)
            {
                auto const& it = records[i];
                data += big_endian(1 + it.key.size() + it.value.size(), 4);
                data += static_cast<char>(it.key.size());
                data += it.key + it.value;
            }
        }
        return respond(fd, 200, "application/octet-stream", data);
    }

    bool newest(int fd, message const& request)
    {
        sleep_ms(1);
        std::string body;
        {
            std::lock_guard const lock(mutex_);
            auto const& records = topics_[request.parameter("topic")].records;
            std::map<std::string, std::size_t> last;
            for (std::size_t i = 0; i < records.size(); ++i)
                last[records[i].key] = i;
            for (auto const& [key, i] : last)
            {
                if (key <= request.parameter("after") || records[i].value.empty())
                    continue;
                body += (body.empty() ? "" : ",") + (R"({"key":")" + key) + R"(","value":")" +
                        base64(records[i].value) + R"(","offset":)" + std::to_string(i) + "}";
            }
            body = R"({"items":[)" + body + R"(],"morePages":false,"end":)" +
                   std::to_string(records.size()) + "}";
        }
        return json(fd, 200, body);
    }

    recorder& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, topic> topics_;
    std::map<std::string, topic> copy_;
    std::function<void(std::string const&, std::string const&, std::string const&)>
        append_callback_;
    std::atomic<int> era_ = 1;
    bool is_away_ = false;
    std::atomic<bool> is_stopping_ = false;
    server server_;
};

/// Registry entry of a replica.
struct replica_entry
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int slots = 8;
    std::string state = "ready";
    std::int64_t sequence = 1;
    std::int64_t born = 1;

    std::string text() const
    {
        return R"({"backend":")" + service + R"(","address":")" + address + R"(","zone":")" + zone +
               R"(","version":"1","slots":)" + std::to_string(slots) + R"(,"state":")" + state +
               R"(","coldLeftMs":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)" +
               std::to_string(born) + "}";
    }
};

/// A process of the project. It is killed when this ends.
class process
{
public:
    process(std::vector<std::string> command, std::string log_file)
        : command_(std::move(command))
        , log_file_(std::move(log_file))
    {}

    ~process() { kill(SIGKILL); }

    void start()
    {
        std::vector<char*> arguments;
        for (auto& it : command_)
            arguments.push_back(it.data());
        arguments.push_back(nullptr);
        pid_ = fork();
        if (pid_ != 0)
            return;
        // Processes do not outlive the case, also if it is ended from outside.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out = open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        execv(arguments[0], arguments.data());
        _exit(127);
    }

    void kill(int signal)
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, signal);
        if (signal == SIGKILL)
            waitpid(std::exchange(pid_, -1), nullptr, 0);
    }

    bool is_running() const { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }

private:
    std::vector<std::string> command_;
    std::string log_file_;
    pid_t pid_ = -1;
};

/// Settings of a gateway, as `deploy/gateway.json` fills them.
struct gateway_settings
{
    std::string name;
    std::string zone;
    std::string listen = find_free_address();
    std::string readiness = find_free_address();
    std::string status = find_free_address();
    std::string peer = find_free_address();
    std::string store;
    int relay_port = 0;
    int prepaid_topics = 8;
    int memory_mb = 260;
    int grace_s = 8;

    std::string text() const
    {
        return R"({"name":")" + name + R"(","availability_zone":")" + zone + R"(","listen":")" +
               listen + R"(","readiness_listen":")" + readiness + R"(","status_listen":")" +
               status + R"(","peer_listen":")" + peer + R"(","store_address":")" + store +
               R"(","shutdown_grace_s":)" + std::to_string(grace_s) + R"(,"relay_port":)" +
               std::to_string(relay_port) + R"(,"prepaid_topics":)" +
               std::to_string(prepaid_topics) + R"(,"link_mbps":1000.0,"memory_mb":)" +
               std::to_string(memory_mb) + R"(,"max_descriptors":4100})";
    }
};

inline std::string
relay_settings_text(std::string const& name, std::string const& listen, std::string const& store)
{
    return R"({"name":")" + name + R"(","listen":")" + listen + R"(","store_address":")" + store +
           R"(","memory_mb":192,"max_descriptors":4096})";
}

inline void write_file(std::string const& name, std::string const& text)
{
    std::ofstream(name) << text;
}

/// Folder for settings and logs, removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        char name[] = "/tmp/almondcart-review-XXXXXX";
        if (mkdtemp(name) != nullptr)
            path_ = name;
    }

    ~temporary_folder()
    {
        if (std::getenv("KEEP") != nullptr)
        {
            std::printf("kept %s\n", path_.c_str());
            return;
        }
        for (auto const& it : files_)
            std::remove(it.c_str());
        rmdir(path_.c_str());
    }

    std::string file(std::string const& name)
    {
        files_.push_back(path_ + "/" + name);
        return files_.back();
    }

private:
    std::string path_;
    std::vector<std::string> files_;
};

/// Sends a request on a new connection and reads the response. `on_data` is called after each part
/// of the body.
inline message exchange(
    std::string const& address,
    std::string const& text,
    std::int64_t timeout_ms,
    std::function<void(std::string const& body)> const& on_data = {})
{
    message out;
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const native = socket_address(address);
    if (connect(fd, reinterpret_cast<sockaddr const*>(&native), sizeof(native)) != 0 ||
        !send_all(fd, text))
    {
        close(fd);
        return out;
    }
    reader from(fd);
    from.set_deadline(steady_ms() + timeout_ms);
    if (auto const first = from.line(); first && first->size() > 12)
    {
        out.status = std::atoi(first->c_str() + 9);
        if (read_headers(from, out))
        {
            if (auto const length = out.header("content-length"); !length.empty())
            {
                auto const body = from.bytes(std::strtoul(length.c_str(), nullptr, 10));
                out.body = body.value_or("");
                out.is_complete = body.has_value();
            }
            else
                out.is_complete = read_chunks(
                    from,
                    out.body,
                    [&]
                    {
                        if (on_data)
                            on_data(out.body);
                    });
        }
    }
    close(fd);
    return out;
}

inline bool is_ready(std::string const& readiness)
{
    return exchange(readiness, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 500).status == 200;
}

/// Waits until `is_done`, at most `limit_ms`.
inline bool wait_until(std::function<bool()> const& is_done, std::int64_t limit_ms)
{
    auto const end = steady_ms() + limit_ms;
    while (!is_done())
    {
        if (steady_ms() > end)
            return false;
        sleep_ms(20);
    }
    return true;
}

/// Whether the case runs with its disruption.
inline bool has_trouble()
{
    auto const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

inline std::string events_text(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: word\n\n";
    return text;
}

inline std::string chunk(std::string const& data)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

} // namespace review

namespace review {

/// A configuration with a route of each kind to the service "models", as the operator writes it.
struct operator_configuration
{
    struct tenant
    {
        std::string name;
        std::string key;
        std::int64_t prepaid = 0;
    };

    int version = 1;
    int timeout_ms = 4000;
    int attempts = 2;
    std::vector<tenant> tenants;

    std::string text() const
    {
        std::string routes;
        auto const add = [&](char const* name, char const* kind, bool is_resumable, int limit)
        {
            routes += (routes.empty() ? "" : ",") + (R"({"name":")" + std::string(name)) +
                      R"(","hostname":"club.example","pathPrefix":"/)" + name + R"(/","kind":")" +
                      kind + R"(","timeoutMs":)" + std::to_string(timeout_ms) +
                      R"(,"sloMs":400,"priority":1,"backend":"models","attempts":)" +
                      std::to_string(limit) + R"(,"sessionAffinity":true,"streamResume":)" +
                      (is_resumable ? "true" : "false") + "}";
        };
        add("safe", "safe", false, attempts);
        add("unsafe", "unsafe", false, 1);
        add("stream", "streaming", false, 1);
        add("resume", "streaming", true, attempts);
        std::string accounts;
        for (auto const& it : tenants)
            accounts += (accounts.empty() ? "" : ",") + (R"({"name":")" + it.name) +
                        R"(","apiKeys":[")" + it.key + R"("],"prepaid":)" +
                        std::to_string(it.prepaid) + "}";
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
               R"(],"backends":[{"name":"models","healthCheck":"/health","maxConns":300,)"
               R"("engine":{"slots":48,"stride":4,"kvCapacityTokens":380203}}],"tenants":[)" +
               accounts +
               R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,)"
               R"("headerTimeoutMs":5000,"idleTimeoutMs":10000}})";
    }
};

/// Request of a client on a new connection.
struct client_request
{
    std::string id;
    std::string key;
    std::string path = "/stream/1";
    std::string method = "POST";
    int deadline_ms = 4000;
    int input_tokens = 0; ///< 0: the request states no prompt
    int output_tokens = 0;
    std::string prefix;
    std::string body = "question";

    std::string text() const
    {
        std::string out = method + " " + path +
                          " HTTP/1.1\r\nHost: club.example\r\nX-Almondcart-Request-Id: " + id +
                          "\r\nX-Almondcart-Deadline-Ms: " + std::to_string(deadline_ms) +
                          "\r\nAuthorization: Bearer " + key + "\r\n";
        if (input_tokens > 0)
            out += "X-Almondcart-Model: m\r\nX-Almondcart-Token-Count: " +
                   std::to_string(input_tokens) + "," + std::to_string(output_tokens) + "\r\n";
        if (!prefix.empty())
            out += "X-Almondcart-Prompt-Prefix: " + prefix + "\r\n";
        return out + "Content-Length: " + std::to_string(body.size()) +
               "\r\nConnection: close\r\n\r\n" + body;
    }
};

/// Number of complete events in the body of a stream.
inline int count_events(std::string const& body)
{
    int n = 0;
    for (auto at = body.find("\n\n"); at != std::string::npos; at = body.find("\n\n", at + 2))
        ++n;
    return n;
}

/// Directory of the project's programs, as the deploy file builds them.
inline std::string program(std::string const& name)
{
    auto const* const directory = std::getenv("PROGRAMS");
    return std::string(directory == nullptr ? "target/services" : directory) + "/almondcart-" +
           name;
}

/// A store, relays and gateways of a small deployment on loopback. Replicas belong to the case.
class fleet
{
public:
    fleet(recorder& record, std::vector<std::string> const& hosts, int gateway_count)
        : store(record)
        , hosts_(hosts)
        , relay_port_(find_free_port(hosts))
    {
        for (int n = 1; n <= gateway_count; ++n)
        {
            gateway_settings it;
            it.name = "frontend-zone-" + std::to_string(n) + "-1";
            it.zone = "zone-" + std::to_string(n);
            it.store = store.address();
            it.relay_port = relay_port_;
            settings.push_back(it);
        }
    }

    /// Starts the store, the relays and the first `gateway_count` gateways.
    bool start(std::size_t gateway_count = SIZE_MAX)
    {
        if (!store.start())
            return false;
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            auto const name = "side-zone-" + std::to_string(i + 1) + "-1";
            auto const file = folder.file(name + ".json");
            auto const listen = hosts_[i] + ":" + std::to_string(relay_port_);
            write_file(file, relay_settings_text(name, listen, store.address()));
            relays.push_back(std::make_unique<process>(
                std::vector<std::string>{program("relay"), "--settings", file},
                folder.file(name + ".log")));
            relays.back()->start();
        }
        while (gateways.size() < std::min(gateway_count, settings.size()))
            start_next_gateway();
        return true;
    }

    void start_next_gateway()
    {
        auto const& it = settings[gateways.size()];
        auto const file = folder.file(it.name + ".json");
        write_file(file, it.text());
        gateways.push_back(std::make_unique<process>(
            std::vector<std::string>{program("gateway"), "--settings", file},
            folder.file(it.name + ".log")));
        gateways.back()->start();
    }

    bool wait_until_ready()
    {
        return wait_until(
            [this]
            {
                for (std::size_t i = 0; i < gateways.size(); ++i)
                {
                    if (!is_ready(settings[i].readiness))
                        return false;
                }
                return true;
            },
            10'000);
    }

    /// Whether all processes still run.
    bool is_running() const
    {
        auto const is_alive = [](auto const& it) { return it->is_running(); };
        return std::ranges::all_of(gateways, is_alive) && std::ranges::all_of(relays, is_alive);
    }

    temporary_folder folder;
    class store store;
    std::vector<gateway_settings> settings;
    std::vector<std::unique_ptr<process>> relays;
    std::vector<std::unique_ptr<process>> gateways;

private:
    std::vector<std::string> hosts_;
    int relay_port_;
};

} // namespace review

namespace review {

/// A replica that can crash and start again as a new process, and its entry in the registry. The
/// entry is removed after three heartbeats of silence.
class replica_slot
{
public:
    using handler = std::function<bool(int fd, message const& request, std::string const& id)>;

    replica_slot(
        recorder& record,
        class store& store,
        std::string const& host,
        std::string zone,
        int number)
        : record_(record)
        , store_(store)
        , address_(find_free_address(host))
        , zone_(std::move(zone))
        , number_(number)
    {}

    ~replica_slot() { stop(); }

    void on_request(handler handle) { handle_ = std::move(handle); }

    void start()
    {
        is_running_ = true;
        supervisor_ = std::thread([this] { supervise(); });
    }

    void stop()
    {
        if (is_running_.exchange(false))
            supervisor_.join();
    }

    /// Ends the process shortly after this call; a new one starts after `down_ms`. May be called by
    /// the handler. Returns whether this call is the one that ends it.
    bool crash(std::int64_t down_ms)
    {
        down_ms_ = down_ms;
        return !must_crash_.exchange(true);
    }

    int crash_count() const { return crash_count_; }

private:
    static constexpr std::int64_t heartbeat_ms = 1'200;

    void supervise()
    {
        while (is_running_)
        {
            auto const entry = next_entry();
            server process(
                address_,
                [this, id = entry.id](int fd, message const& request)
                {
                    if (request.header("x-almondcart-expect-instance") != id)
                        return send_all(
                            fd, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
                    return handle_(fd, request, id);
                });
            while (is_running_ && !process.start())
                sleep_ms(20);
            record_("replica %s starts at %s", entry.id.c_str(), address_.c_str());
            serve(entry);
            process.stop();
            if (!must_crash_.exchange(false))
                continue;
            ++crash_count_;
            record_("replica %s crashed", entry.id.c_str());
            last_beat_[entry.id] = steady_ms();
            auto const end = steady_ms() + down_ms_;
            while (is_running_ && steady_ms() < end)
            {
                sleep_ms(20);
                remove_silent();
            }
        }
    }

    replica_entry next_entry()
    {
        replica_entry it;
        it.id = "i-" + std::to_string(number_) + "-" + std::to_string(++start_count_);
        it.service = "models";
        it.address = address_;
        it.zone = zone_;
        it.slots = 48;
        it.born = wall_ms();
        return it;
    }

    void serve(replica_entry entry)
    {
        std::int64_t next_beat = 0;
        while (is_running_ && !must_crash_)
        {
            if (steady_ms() >= next_beat)
            {
                ++entry.sequence;
                store_.put("keyed.servers", entry.id, entry.text());
                next_beat = steady_ms() + heartbeat_ms;
            }
            remove_silent();
            sleep_ms(5);
        }
    }

    void remove_silent()
    {
        for (auto it = last_beat_.begin(); it != last_beat_.end();)
        {
            if (steady_ms() - it->second < 3 * heartbeat_ms)
            {
                ++it;
                continue;
            }
            store_.put("keyed.servers", it->first, "");
            it = last_beat_.erase(it);
        }
    }

    recorder& record_;
    class store& store_;
    std::string address_;
    std::string zone_;
    int number_;
    handler handle_;
    std::atomic<bool> is_running_ = false;
    std::atomic<bool> must_crash_ = false;
    std::atomic<std::int64_t> down_ms_ = 0;
    std::atomic<int> crash_count_ = 0;
    int start_count_ = 0;
    std::map<std::string, std::int64_t> last_beat_; ///< of processes that crashed
    std::thread supervisor_;
};

/// Head of a signed stream.
inline std::string stream_head(std::string const& request_id)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Almondcart-Request-Id: " +
           request_id + "\r\nX-Almondcart-Response-Seal: seal-" + request_id +
           "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

} // namespace review
