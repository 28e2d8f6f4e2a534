// One of four engines continues a few of its streams with bytes that are no answer, without end.
// The platform kills a process that exceeds the memory of its machine. Checks that requests which
// sound replicas run are answered.

#include "mixed_traffic.hpp"

namespace {

using namespace review;

/// Memory of an entry machine of the site penpost-qld: 110 MB.
constexpr std::int64_t memory_limit_kb = 110 * 1000;

/// All endless answers together come at 160 Mbit/s. A gateway's link carries 1,000 Mbit/s.
constexpr std::int64_t noise_bytes_per_s = 20'000'000;

/// A client's line carries 40 Mbit/s.
constexpr std::int64_t client_bytes_per_s = 5'000'000;

constexpr std::size_t block_bytes = 100'000;

std::string create_noise()
{
    std::string noise(block_bytes, '\0');
    std::uint32_t state = 1;
    for (auto& it : noise)
    {
        state = state * 1'664'525U + 1'013'904'223U;
        it = static_cast<char>(state >> 24U);
    }
    return noise;
}

/// Waits until the next block may be sent.
void wait_for_turn()
{
    static std::mutex mutex;
    static auto next = std::chrono::steady_clock::now();
    constexpr std::chrono::microseconds block_time(block_bytes * 1'000'000 / noise_bytes_per_s);
    std::chrono::steady_clock::time_point turn;
    {
        std::lock_guard const lock(mutex);
        next = std::max(next, std::chrono::steady_clock::now()) + block_time;
        turn = next;
    }
    std::this_thread::sleep_until(turn);
}

/// The head has neither a length nor chunks. Writes until the gateway closes the connection.
bool send_endlessly(replica_request const& request, int fd)
{
    static std::string const noise = create_noise();
    bool is_open = write_all(
        fd, signed_head(request.id(), "Content-Type: text/event-stream") + "id: 1\ndata: note\n\n");
    while (is_open)
    {
        wait_for_turn();
        is_open = write_all(fd, noise);
    }
    return false;
}

verdict run(recorder& record)
{
    mixed_traffic_settings settings;
    settings.stream_deadline_ms = 15'000;
    settings.spoiled_period = 200;
    settings.client_bytes_per_s = client_bytes_per_s;
    settings.spoil = send_endlessly;
    settings.supervise = [](deployment& it)
    { return it.restart_ended_gateways() + it.enforce_memory_limit(memory_limit_kb); };
    return run_mixed_traffic(record, std::move(settings));
}

} // namespace

int main(int argc, char** argv)
{
    run_case(argc, argv, run);
}
