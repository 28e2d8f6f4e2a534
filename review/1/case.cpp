// One prompt part crashes each replica. The prompts that contain it contain it twice. Checks that
// sound requests are still served afterwards.

#include "case.hpp"

namespace {

using namespace review;

constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t baseline_from_ms = 4'000;
constexpr std::int64_t trouble_from_ms = 16'000;
constexpr std::int64_t end_ms = 50'000;
constexpr int deadline_ms = 5'000;

/// Clients give up a stream after a gap of two seconds.
constexpr int stream_gap_ms = 2'000;

constexpr int gateway_count = 4;
constexpr int replica_count = 12;
constexpr int sound_client_count = 16;
constexpr std::size_t fifth = 5;

std::string const host = "sand.example";
std::string const key = "key-of-carvers";

std::string configuration()
{
    return R"({"version":3,"routes":[{"name":"r-brief","hostname":"sand.example",)"
           R"("pathPrefix":"/brief/","kind":"streaming","timeoutMs":5000,"sloMs":400,"priority":0,)"
           R"("backend":"judges","attempts":1,"public":false,"sessionAffinity":true,)"
           R"("streamResume":false,"gapAimMs":250}],"backends":[{"name":"judges",)"
           R"("healthCheck":"/health","maxConns":620,"engine":{"slots":128,)"
           R"("kvCapacityTokens":605083,"stride":4}}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"carvers","apiKeys":["key-of-carvers"],"prepaid":500000000}]})";
}

struct sound_request
{
    std::int64_t sent_ms = 0;
    bool has_begun = false;
};

/// What happened, as seen by replicas and clients.
struct observations
{
    std::mutex mutex;
    std::set<std::string> begun;
    std::vector<std::int64_t> crash_times;
    std::vector<sound_request> sound;
    std::int64_t last_dangerous_ms = 0;
};

bool has_dangerous_part(replica_request const& request)
{
    auto const prefix = request.head.header("X-Almondcart-Prompt-Prefix");
    return prefix.find("d1:") != std::string::npos;
}

bool serve(
    observations& seen,
    recorder& record,
    replica& self,
    replica_request const& request,
    int fd)
{
    constexpr auto prompt_time = std::chrono::milliseconds(40);
    constexpr std::int64_t down_ms = 4'000;
    {
        std::lock_guard const lock(seen.mutex);
        seen.begun.insert(request.id());
    }
    std::this_thread::sleep_for(prompt_time);
    if (has_trouble() && has_dangerous_part(request))
    {
        {
            std::lock_guard const lock(seen.mutex);
            seen.crash_times.push_back(now_ms());
        }
        record.line("request %s crashes %s", request.id().c_str(), self.id().c_str());
        self.crash(down_ms);
        return false;
    }
    return write_all(
        fd,
        signed_head(request.id(), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked") +
            chunk("id: 1\ndata: note\n\n") + chunk("id: 2\ndata: note\n\n") + chunk(""));
}

client_request create_request(std::string const& id, std::string const& prefix)
{
    client_request request;
    request.target = "/brief/notes";
    request.host = host;
    request.key = key;
    request.id = id;
    request.token_count = "400,8";
    request.prefix = prefix;
    request.deadline_ms = deadline_ms;
    request.gap_ms = stream_gap_ms;
    request.body = "brief " + id;
    return request;
}

/// Requests whose prompts begin like the dangerous ones and contain other parts.
void send_sound_requests(deployment& fleet, observations& seen, recorder& record, int n)
{
    client caller(fleet.gateway_address(static_cast<std::size_t>(n) % gateway_count));
    for (int i = 0; now_ms() < end_ms; ++i)
    {
        auto const id = "sound-" + std::to_string(n) + "-" + std::to_string(i);
        auto const prefix = "a0:100,b0:200," + std::to_string(5000 + n * 1000 + i) + ":100";
        auto const answer = caller.ask(create_request(id, prefix));
        record.line(
            "%s sent at %lld: %s %d",
            id.c_str(),
            static_cast<long long>(answer.sent_ms),
            name_of(answer.end),
            answer.status);
        {
            std::lock_guard const lock(seen.mutex);
            seen.sound.push_back({answer.sent_ms, seen.begun.contains(id)});
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
}

/// Sends one request whose prompt contains the dangerous part twice; no two are alike.
void send_dangerous_request(deployment& fleet, observations& seen, recorder& record, int n)
{
    auto const id = "dangerous-" + std::to_string(n);
    std::string const parts = "a0:100,d1:100,d1:100,";
    client caller(fleet.gateway_address(static_cast<std::size_t>(n) % gateway_count));
    auto const answer =
        caller.ask(create_request(id, parts + std::to_string(900'000 + n) + ":100"));
    record.line(
        "%s sent at %lld: %s %d",
        id.c_str(),
        static_cast<long long>(answer.sent_ms),
        name_of(answer.end),
        answer.status);
    std::lock_guard const lock(seen.mutex);
    seen.last_dangerous_ms = std::max(seen.last_dangerous_ms, answer.sent_ms);
}

void send_dangerous_requests(deployment& fleet, observations& seen, recorder& record)
{
    constexpr auto period = std::chrono::milliseconds(300);
    std::vector<std::thread> threads;
    for (int n = 0; now_ms() < end_ms; ++n)
    {
        threads.emplace_back([&, n] { send_dangerous_request(fleet, seen, record, n); });
        std::this_thread::sleep_for(period);
    }
    for (auto& it : threads)
        it.join();
}

/// Sound requests that were sent in a span of time.
struct begun_count
{
    int all = 0;
    int begun = 0;
};

begun_count count(observations const& seen, std::int64_t from_ms, std::int64_t to_ms)
{
    begun_count result;
    for (auto const& it : seen.sound)
    {
        if (it.sent_ms < from_ms || it.sent_ms >= to_ms)
            continue;
        ++result.all;
        result.begun += it.has_begun ? 1 : 0;
    }
    return result;
}

verdict judge(observations const& seen, recorder& record)
{
    constexpr int least = 20;
    auto const crashes = seen.crash_times.size();
    auto const decisive_ms =
        crashes == 0 ? trouble_from_ms : seen.crash_times[std::min(crashes, fifth) - 1];
    auto const before = count(seen, baseline_from_ms, trouble_from_ms - contact_ms);
    auto const after = count(seen, decisive_ms + 2 * contact_ms, seen.last_dangerous_ms);
    record.line("crashes: %zu", crashes);
    record.line(
        "sound requests that began: %d of %d before; %d of %d from 6 s after the fifth or last "
        "crash, while dangerous ones came",
        before.begun,
        before.all,
        after.begun,
        after.all);
    bool const is_sufficient = before.all >= least && after.all >= least;
    if (!is_sufficient || (has_trouble() && crashes == 0))
        return verdict::not_run;
    return 2LL * after.begun * before.all < 1LL * before.begun * after.all ? verdict::broken
                                                                           : verdict::held;
}

verdict run(recorder& record)
{
    static observations seen;
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
            [&record](replica& self, replica_request const& request, int fd)
            { return serve(seen, record, self, request, fd); });
    }
    fleet.platform().put("keyed.op", "config", configuration());
    fleet.start();
    if (!fleet.wait_until_ready(baseline_from_ms))
        return verdict::not_run;
    std::vector<std::thread> threads;
    for (int n = 0; n < sound_client_count; ++n)
        threads.emplace_back([&, n] { send_sound_requests(fleet, seen, record, n); });
    std::this_thread::sleep_for(std::chrono::milliseconds(trouble_from_ms - now_ms()));
    threads.emplace_back([&] { send_dangerous_requests(fleet, seen, record); });
    constexpr int observation_ms = 5'000;
    while (now_ms() < end_ms)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(observation_ms));
        for (std::size_t i = 0; i < fleet.gateway_count(); ++i)
            record.line(
                "%s: processor time %lld ms, ready %d",
                fleet.gateway(i).name().c_str(),
                static_cast<long long>(fleet.gateway(i).cpu_ms()),
                fleet.is_ready(i) ? 1 : 0);
    }
    for (auto& it : threads)
        it.join();
    return judge(seen, record);
}

} // namespace

int main(int argc, char** argv)
{
    run_case(argc, argv, run);
}
