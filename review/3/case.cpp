// A tenant has used its prepaid total. One client then sends requests that state no real limit of
// their output, but the largest integer. Checks that the tenant gets no more than its total.

#include "case.hpp"

#include <limits>

namespace {

using namespace review;

constexpr std::int64_t prepaid_tokens = 200'000;
constexpr std::int64_t input_tokens = 900;
constexpr std::int64_t output_tokens = 100;
constexpr int tokens_per_event = 4;

/// The memory of a replica. It turns larger requests away as if it were full.
constexpr std::int64_t memory_tokens = 605'083;

/// A request that is larger than a replica's memory, without and with the disruption.
constexpr std::int64_t large_input_tokens = 9'190;
constexpr std::int64_t large_output_tokens = 2'000'000;
constexpr std::int64_t unlimited_output_tokens = std::numeric_limits<std::int64_t>::max();

constexpr std::int64_t traffic_from_ms = 5'000;

/// By this time, requests for 140 in 100 of the total have been sent.
constexpr std::int64_t trouble_from_ms = traffic_from_ms + 14'000;
constexpr std::int64_t end_ms = trouble_from_ms + 15'000;

constexpr std::size_t gateway_count = 2;
constexpr std::size_t replica_count = 4;
constexpr int client_count = 20;

std::string configuration()
{
    return R"({"version":3,"routes":[{"name":"r-brief","hostname":"sand.example",)"
           R"("pathPrefix":"/brief/","kind":"streaming","timeoutMs":5000,"sloMs":400,"priority":0,)"
           R"("backend":"judges","attempts":1,"public":false,"sessionAffinity":true,)"
           R"("streamResume":false,"gapAimMs":250}],"backends":[{"name":"judges",)"
           R"("healthCheck":"/health","maxConns":620,"engine":{"slots":128,)"
           R"("kvCapacityTokens":605083,"stride":4}}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"carvers","apiKeys":["key-of-carvers"],"prepaid":)" +
           std::to_string(prepaid_tokens) + "}]}";
}

struct observations
{
    std::mutex mutex;
    std::int64_t input_used = 0;  ///< of the requests that replicas ran, each counted once
    std::int64_t output_used = 0; ///< of the events that clients received
    int sent = 0;
    int served = 0;
    int served_after = 0;

    std::int64_t used() const { return input_used + output_used; }
};

observations seen;

std::int64_t stated_tokens(replica_request const& request)
{
    auto const text = request.head.header("X-Almondcart-Token-Count");
    auto const input = std::strtod(text.c_str(), nullptr);
    auto const output = std::strtod(text.c_str() + text.find(',') + 1, nullptr);
    return static_cast<std::int64_t>(std::min(input + output, 1e18));
}

bool serve(replica_request const& request, int fd)
{
    constexpr auto work_time = std::chrono::milliseconds(30);
    if (stated_tokens(request) > memory_tokens)
        return write_all(
            fd,
            "HTTP/1.1 503 Service Unavailable\r\nX-Almondcart-Not-Executed: 1\r\n"
            "X-Almondcart-Request-Id: " +
                request.id() + "\r\nContent-Length: 0\r\n\r\n");
    {
        std::lock_guard const lock(seen.mutex);
        seen.input_used += input_tokens;
    }
    std::this_thread::sleep_for(work_time);
    auto text =
        signed_head(request.id(), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked");
    for (int i = 1; i <= output_tokens / tokens_per_event; ++i)
        text += chunk("id: " + std::to_string(i) + "\ndata: note\n\n");
    return write_all(fd, text + chunk(""));
}

std::int64_t count_events(std::string const& body)
{
    std::int64_t n = 0;
    for (auto i = body.find("\n\n"); i != std::string::npos; i = body.find("\n\n", i + 2))
        ++n;
    return n;
}

client_request create_request(std::string const& id, std::int64_t input, std::int64_t output)
{
    client_request request;
    request.id = id;
    request.target = "/brief/notes";
    request.host = "sand.example";
    request.key = "key-of-carvers";
    request.token_count = std::to_string(input) + "," + std::to_string(output);
    request.prefix = "a1:600," + id.substr(id.find('-') + 1) + ":" + std::to_string(input - 600);
    request.deadline_ms = 5'000;
    request.gap_ms = 2'000;
    return request;
}

void send_requests(deployment& fleet, recorder& record, int n)
{
    constexpr std::int64_t period_ms = 1'000;
    auto const gateway = static_cast<std::size_t>(n) % gateway_count;
    client caller(fleet.gateway_address(gateway));
    auto next_ms = traffic_from_ms + n * period_ms / client_count;
    for (int i = 0; next_ms < end_ms; ++i, next_ms += period_ms)
    {
        std::this_thread::sleep_for(
            std::chrono::milliseconds(std::max<std::int64_t>(0, next_ms - now_ms())));
        auto const id = "brief-" + std::to_string(100'000 + n * 1'000 + i);
        auto const answer = caller.ask(create_request(id, input_tokens, output_tokens));
        record.line(
            "%s at %s: %s %d",
            id.c_str(),
            fleet.gateway(gateway).name().c_str(),
            name_of(answer.end),
            answer.status);
        bool const is_served = answer.end == answer_end::complete && answer.status == 200;
        std::lock_guard const lock(seen.mutex);
        seen.output_used += count_events(answer.body) * tokens_per_event;
        ++seen.sent;
        seen.served += is_served ? 1 : 0;
        seen.served_after += is_served && answer.sent_ms >= trouble_from_ms ? 1 : 0;
    }
}

/// Sends one large request to each gateway.
void send_large_requests(deployment& fleet, recorder& record)
{
    auto const output = has_trouble() ? unlimited_output_tokens : large_output_tokens;
    for (std::size_t i = 0; i < gateway_count; ++i)
    {
        client caller(fleet.gateway_address(i));
        auto const request =
            create_request("large-" + std::to_string(900 + i), large_input_tokens, output);
        auto const answer = caller.ask(request);
        record.line(
            "%s with token count %s at %s: %s %d",
            request.id.c_str(),
            request.token_count.c_str(),
            fleet.gateway(i).name().c_str(),
            name_of(answer.end),
            answer.status);
    }
}

verdict run(recorder& record)
{
    constexpr std::int64_t ready_ms = 4'000;
    auto& fleet = start_deployment(record, gateway_count, replica_count);
    for (std::size_t i = 0; i < replica_count; ++i)
    {
        // Never destroyed, because its threads run until the end of the process.
        new replica(
            fleet.platform(),
            record,
            "judges",
            fleet.zone(i),
            std::to_string(i),
            fleet.replica_address(i),
            128,
            [](replica&, replica_request const& request, int fd) { return serve(request, fd); });
    }
    fleet.platform().put("keyed.op", "config", configuration());
    fleet.start();
    if (!fleet.wait_until_ready(ready_ms))
        return verdict::not_run;
    std::vector<std::thread> threads;
    for (int n = 0; n < client_count; ++n)
        threads.emplace_back([&, n] { send_requests(fleet, record, n); });
    std::this_thread::sleep_for(std::chrono::milliseconds(trouble_from_ms - now_ms()));
    {
        std::lock_guard const lock(seen.mutex);
        record.line(
            "used before the large requests: %lld tokens", static_cast<long long>(seen.used()));
    }
    send_large_requests(fleet, record);
    for (auto& it : threads)
        it.join();
    record.line(
        "used: %lld of %lld tokens",
        static_cast<long long>(seen.used()),
        static_cast<long long>(prepaid_tokens));
    record.line(
        "requests: %d, served %d, of these %d after the large requests",
        seen.sent,
        seen.served,
        seen.served_after);
    if (seen.served < 100)
        return verdict::not_run;
    return seen.used() > prepaid_tokens ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    run_case(argc, argv, run);
}
