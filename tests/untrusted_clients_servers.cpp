#include <almondcart/core/json.hpp>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/child_process.hpp"
#include "support/expect.hpp"
#include "support/http_call.hpp"
#include "support/process_memory.hpp"
#include "support/tcp.hpp"

// Clients that nobody controls once drove a process out of memory by bodies that stop just short of
// their end and by answers that are not read. Each test sends one such crowd to one program and
// checks only memory, descriptors and that an ordinary request is answered; no times and no share
// of the crowd that is served.

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

using std::chrono::steady_clock;

constexpr int memory_mb = 64;
constexpr int max_descriptors = 160;
constexpr int crowd_size = 300;
constexpr std::size_t body_bytes = 900'000;
constexpr std::size_t large_chunk_bytes = 16'000;
constexpr std::size_t small_chunk_count = 100'000;
constexpr int pipelined_count = 3'000;

/// Bytes that one client sends before it is the next one's turn, so that all bodies grow together.
constexpr std::size_t turn_bytes = 32'768;

/// The crowd has sent what it can once nothing more is taken for this long.
constexpr auto quiet_time = std::chrono::milliseconds(1500);
constexpr auto crowd_time_limit = std::chrono::seconds(20);

enum class crowd
{
    large_chunks,
    small_chunks,
    pipelined,
    whole_bodies,
    short_bodies,
};

std::string repeat(std::string const& text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

std::string payload_of(crowd kind)
{
    std::string const head = "POST /nothing HTTP/1.1\r\nHost: almondcart.example\r\n";
    std::string const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string const sized = head + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
    switch (kind)
    {
    case crowd::large_chunks:
        return chunked + repeat(
                             "3e80\r\n" + std::string(large_chunk_bytes, 'x') + "\r\n",
                             body_bytes / large_chunk_bytes);
    case crowd::small_chunks:
        return chunked + repeat("1\r\nx\r\n", small_chunk_count);
    case crowd::pipelined:
        return repeat("GET /metrics HTTP/1.1\r\nHost: almondcart.example\r\n\r\n", pipelined_count);
    case crowd::whole_bodies:
        return sized + std::string(body_bytes, 'x');
    case crowd::short_bodies:
        return sized + std::string(body_bytes - 1, 'x');
    }
    return {};
}

/// Client that sends and never reads.
struct silent_client
{
    tcp_socket socket;
    std::size_t sent = 0;
    bool is_lost = false;

    bool is_done(std::string const& payload) const { return is_lost || sent == payload.size(); }

    bool send_turn(std::string const& payload)
    {
        auto const size = std::min(turn_bytes, payload.size() - sent);
        auto const count =
            send(socket.descriptor(), payload.data() + sent, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN)
            is_lost = true;
        if (count > 0)
            sent += static_cast<std::size_t>(count);
        return count > 0;
    }
};

/// One program of the fleet with lowered limits, alone: what it calls does not exist.
class guarded_program
{
public:
    guarded_program(std::string const& name, Json::Value settings, std::vector<std::string> ports)
        : addresses_(std::move(ports))
    {
        auto pattern = (std::filesystem::temp_directory_path() / "almondcart-XXXXXX").string();
        expect(::mkdtemp(pattern.data()) != nullptr, "a temporary directory");
        directory_ = pattern;
        settings["memory_mb"] = memory_mb;
        settings["max_descriptors"] = max_descriptors;
        auto const file = directory_ / "settings.json";
        std::ofstream(file) << to_compact_json(settings);
        process_ = std::make_unique<child_process>(
            std::vector<std::string>{
                ALMONDCART_BINARY_DIRECTORY "/services/" + name, "--settings", file.string()},
            (directory_ / "log").string());
        wait_until("the program answers", [this] { return is_answering(); });
    }

    ~guarded_program()
    {
        process_.reset();
        std::filesystem::remove_all(directory_);
    }

    bool is_answering() const
    {
        return std::ranges::all_of(
            addresses_,
            [](std::string const& it) {
                return fetch(it, {"GET", "/metrics", {}, ""}).status == 200;
            });
    }

    void meet(crowd kind)
    {
        auto const payload = payload_of(kind);
        std::vector<silent_client> clients;
        for (int i = 0; i < crowd_size; ++i)
            clients.push_back({connect_to(addresses_[i % addresses_.size()])});
        auto const end = steady_clock::now() + crowd_time_limit;
        auto quiet_end = steady_clock::now() + quiet_time;
        while (steady_clock::now() < std::min(end, quiet_end))
        {
            bool has_sent = false;
            for (auto& it : clients)
            {
                if (!it.is_done(payload))
                    has_sent = it.send_turn(payload) || has_sent;
            }
            sample_descriptors();
            if (has_sent)
                quiet_end = steady_clock::now() + quiet_time;
            else
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        check();
    }

private:
    void check()
    {
        cr_assert_not(process_->try_wait().has_value(), "the process ended");
        // The crowd is still connected. A refusal may be retried, as callers do.
        bool is_answered = false;
        for (int tries = 0; tries < 5 && !is_answered; ++tries)
            is_answered = is_answering();
        cr_expect(is_answered, "an ordinary request gets no answer");
        auto const peak = peak_memory_kb(process_->id());
        cr_log_info("peak %ld kB, %ld descriptors", peak, descriptors_);
        cr_expect_gt(peak, 0);
        cr_expect_lt(peak, memory_mb * 1000L, "peak memory %ld kB", peak);
        cr_expect_leq(descriptors_, max_descriptors, "%ld descriptors", descriptors_);
    }

    void sample_descriptors()
    {
        auto const open =
            std::filesystem::directory_iterator("/proc/" + std::to_string(process_->id()) + "/fd");
        descriptors_ = std::max(descriptors_, long(std::distance(begin(open), end(open))));
    }

    std::vector<std::string> addresses_;
    std::filesystem::path directory_;
    std::unique_ptr<child_process> process_;
    long descriptors_ = 0;
};

void meet_relay(crowd kind)
{
    auto const address = find_free_address();
    Json::Value settings;
    settings["name"] = "vm-1";
    settings["listen"] = address;
    settings["store_address"] = find_free_address();
    guarded_program("almondcart-relay", settings, {address}).meet(kind);
}

void meet_router(crowd kind)
{
    auto const address = find_free_address();
    auto const peer_address = find_free_address();
    Json::Value settings;
    settings["name"] = "router-1";
    settings["availability_zone"] = "zone-1";
    settings["listen"] = address;
    settings["peer_listen"] = peer_address;
    settings["log_address"] = find_free_address();
    settings["peers"] = Json::arrayValue;
    guarded_program("almondcart-router", settings, {address, peer_address}).meet(kind);
}

void meet_agent(crowd kind)
{
    auto const address = find_free_address();
    Json::Value settings;
    settings["name"] = "agent-1";
    settings["upstream"] = "engine-1";
    settings["listen"] = settings["advertise"] = address;
    settings["availability_zone"] = "zone-1";
    settings["upstream_address"] = find_free_address();
    settings["upstream_kind"] = "engine";
    settings["upstream_checks_fencing"] = false;
    settings["routers"].append(find_free_address());
    guarded_program("almondcart-agent", settings, {address}).meet(kind);
}

} // namespace

// Guards against a relay that grows without bound with chunked bodies in large chunks that stop
// short of their end.
Test(untrusted_clients_servers, relay_survives_large_chunks)
{
    meet_relay(crowd::large_chunks);
}

// Guards against a relay that grows without bound with chunked bodies in chunks of one byte that
// stop short of their end.
Test(untrusted_clients_servers, relay_survives_small_chunks)
{
    meet_relay(crowd::small_chunks);
}

// Guards against a relay that grows without bound with pipelined requests whose answers are not
// read.
Test(untrusted_clients_servers, relay_survives_pipelined)
{
    meet_relay(crowd::pipelined);
}

// Guards against a relay that grows without bound with many large bodies of legal size at once.
Test(untrusted_clients_servers, relay_survives_whole_bodies)
{
    meet_relay(crowd::whole_bodies);
}

// Guards against a relay that grows without bound with large bodies of legal size that stop short
// of their end.
Test(untrusted_clients_servers, relay_survives_short_bodies)
{
    meet_relay(crowd::short_bodies);
}

// Guards against a router that grows without bound with chunked bodies in large chunks that stop
// short of their end.
Test(untrusted_clients_servers, router_survives_large_chunks)
{
    meet_router(crowd::large_chunks);
}

// Guards against a router that grows without bound with chunked bodies in chunks of one byte that
// stop short of their end.
Test(untrusted_clients_servers, router_survives_small_chunks)
{
    meet_router(crowd::small_chunks);
}

// Guards against a router that grows without bound with pipelined requests whose answers are not
// read.
Test(untrusted_clients_servers, router_survives_pipelined)
{
    meet_router(crowd::pipelined);
}

// Guards against a router that grows without bound with many large bodies of legal size at once.
Test(untrusted_clients_servers, router_survives_whole_bodies)
{
    meet_router(crowd::whole_bodies);
}

// Guards against a router that grows without bound with large bodies of legal size that stop short
// of their end.
Test(untrusted_clients_servers, router_survives_short_bodies)
{
    meet_router(crowd::short_bodies);
}

// Guards against a agent that grows without bound with chunked bodies in large chunks that stop
// short of their end.
Test(untrusted_clients_servers, agent_survives_large_chunks)
{
    meet_agent(crowd::large_chunks);
}

// Guards against a agent that grows without bound with chunked bodies in chunks of one byte that
// stop short of their end.
Test(untrusted_clients_servers, agent_survives_small_chunks)
{
    meet_agent(crowd::small_chunks);
}

// Guards against a agent that grows without bound with pipelined requests whose answers are not
// read.
Test(untrusted_clients_servers, agent_survives_pipelined)
{
    meet_agent(crowd::pipelined);
}

// Guards against a agent that grows without bound with many large bodies of legal size at once.
Test(untrusted_clients_servers, agent_survives_whole_bodies)
{
    meet_agent(crowd::whole_bodies);
}

// Guards against a agent that grows without bound with large bodies of legal size that stop short
// of their end.
Test(untrusted_clients_servers, agent_survives_short_bodies)
{
    meet_agent(crowd::short_bodies);
}
