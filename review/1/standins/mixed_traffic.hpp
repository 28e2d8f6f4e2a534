#pragma once

#include <functional>

#include "case.hpp"

namespace review {

/// Streams from engines, and requests that may run once to a plain service. Some answers of one
/// engine are spoiled, and the requests that the sound service runs are counted.
struct mixed_traffic_settings
{
    std::int64_t trouble_from_ms = 10'000;
    std::int64_t end_ms = 40'000;

    /// Of the answers of the first engine, one in so many is spoiled.
    int spoiled_period = 50;

    /// Sends a spoiled answer. Returns whether the connection is kept.
    std::function<bool(replica_request const&, int fd)> spoil;

    int stream_deadline_ms = 5'000;

    /// Rate at which a client reads, in bytes per second; 0 for no limit.
    std::int64_t client_bytes_per_s = 0;

    /// Lets the platform act on the gateways. Returns how many ended.
    std::function<int(deployment&)> supervise;
};

class mixed_traffic
{
public:
    mixed_traffic(recorder& record, mixed_traffic_settings settings)
        : record_(record)
        , settings_(std::move(settings))
        , fleet_(start_deployment(record, gateway_count, engine_count + desk_count))
    {}

    /// Checks that no gateway passes more than three requests of kept connections on to a sound
    /// replica and closes the connections without an answer.
    verdict run()
    {
        constexpr std::int64_t ready_ms = 5'000;
        start_replicas();
        fleet_.platform().put("keyed.op", "config", configuration());
        fleet_.start();
        if (!fleet_.wait_until_ready(ready_ms))
            return verdict::not_run;
        std::vector<std::thread> threads;
        for (int n = 0; n < client_count; ++n)
        {
            threads.emplace_back([this, n] { send_streams(n); });
            threads.emplace_back([this, n] { send_entries(n); });
        }
        int ended = 0;
        while (now_ms() < settings_.end_ms)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            ended += settings_.supervise(fleet_);
        }
        for (auto& it : threads)
            it.join();
        record_.line("spoiled answers: %d", spoiled_);
        record_.line("gateways that ended: %d", ended);
        return judge();
    }

private:
    static constexpr int gateway_count = 2;
    static constexpr std::size_t engine_count = 4;
    static constexpr std::size_t desk_count = 2;
    static constexpr int client_count = 12; ///< of each kind of request

    std::string configuration() const
    {
        auto const timeout = std::to_string(settings_.stream_deadline_ms);
        return R"({"version":3,"routes":[{"name":"r-guide","hostname":"sand.example",)"
               R"("pathPrefix":"/guide/","kind":"streaming","timeoutMs":)" +
               timeout +
               R"(,"sloMs":400,"priority":0,)"
               R"("backend":"judges","attempts":1,"public":false,"sessionAffinity":true,)"
               R"("streamResume":false,"gapAimMs":250},{"name":"r-entry","hostname":"sand.example",)"
               R"("pathPrefix":"/entry/","kind":"unsafe","timeoutMs":1000,"sloMs":150,"priority":1,)"
               R"("backend":"desk","attempts":1,"public":false}],"backends":[{"name":"judges",)"
               R"("healthCheck":"/health","maxConns":620,"engine":{"slots":128,)"
               R"("kvCapacityTokens":605083,"stride":4}},{"name":"desk","healthCheck":"/health",)"
               R"("maxConns":100}],"limits":{"maxHeaderBytes":16384,)"
               R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
               R"("tenants":[{"name":"carvers","apiKeys":["key-of-carvers"],"prepaid":500000000}]})";
    }

    void start_replicas()
    {
        for (std::size_t i = 0; i < engine_count + desk_count; ++i)
        {
            bool const is_engine = i < engine_count;
            auto const handle =
                [this, i, is_engine](replica&, replica_request const& request, int fd)
            { return is_engine ? serve_stream(i, request, fd) : serve_entry(request, fd); };
            // Never destroyed, because its threads run until the end of the process.
            new replica(
                fleet_.platform(),
                record_,
                is_engine ? "judges" : "desk",
                fleet_.zone(i),
                std::to_string(i),
                fleet_.replica_address(i),
                is_engine ? 128 : 6,
                handle);
        }
    }

    bool serve_stream(std::size_t n, replica_request const& request, int fd)
    {
        constexpr auto work_time = std::chrono::milliseconds(20);
        std::this_thread::sleep_for(work_time);
        if (n == 0 && is_next_spoiled())
        {
            record_.line("the answer to %s is spoiled", request.id().c_str());
            return settings_.spoil(request, fd);
        }
        auto const framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
        return write_all(
            fd,
            signed_head(request.id(), framing) + chunk("id: 1\ndata: note\n\n") +
                chunk("id: 2\ndata: note\n\n") + chunk(""));
    }

    bool is_next_spoiled()
    {
        constexpr std::int64_t last_ms = 1'000;
        bool const is_time =
            now_ms() >= settings_.trouble_from_ms && now_ms() < settings_.end_ms - last_ms;
        std::lock_guard const lock(mutex_);
        if (!has_trouble() || !is_time || ++answer_count_ % settings_.spoiled_period != 0)
            return false;
        ++spoiled_;
        return true;
    }

    bool serve_entry(replica_request const& request, int fd)
    {
        constexpr auto work_time = std::chrono::milliseconds(30);
        {
            std::lock_guard const lock(mutex_);
            run_.insert(request.id());
        }
        std::this_thread::sleep_for(work_time);
        std::string const body(800, 'e');
        return write_all(fd, signed_head(request.id(), "Content-Length: 800") + body);
    }

    static client_request create_request(std::string const& id)
    {
        client_request request;
        request.host = "sand.example";
        request.key = "key-of-carvers";
        request.id = id;
        return request;
    }

    /// A client that got no connection or no answer waits before its next request.
    static void pause_after(client_answer const& answer)
    {
        constexpr auto failure_pause = std::chrono::milliseconds(200);
        if (answer.end != answer_end::complete)
            std::this_thread::sleep_for(failure_pause);
    }

    void send_streams(int n)
    {
        constexpr int gap_ms = 2'000;
        auto const address = fleet_.gateway_address(static_cast<std::size_t>(n) % gateway_count);
        client caller(address, settings_.client_bytes_per_s);
        for (int i = 0; now_ms() < settings_.end_ms; ++i)
        {
            auto request = create_request("guide-" + std::to_string(n) + "-" + std::to_string(i));
            request.target = "/guide/notes";
            request.token_count = "400,8";
            request.prefix =
                "a" + std::to_string(i % 7) + ":300," + std::to_string(n * 100'000 + i) + ":100";
            request.deadline_ms = settings_.stream_deadline_ms;
            request.gap_ms = gap_ms;
            auto const answer = caller.ask(request);
            if (answer.end != answer_end::complete || answer.status != 200)
                record_.line("%s: %s %d", request.id.c_str(), name_of(answer.end), answer.status);
            pause_after(answer);
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
        }
    }

    void send_entries(int n)
    {
        constexpr int deadline_ms = 1'000;
        auto const gateway = static_cast<std::size_t>(n) % gateway_count;
        client caller(fleet_.gateway_address(gateway));
        for (int i = 0; now_ms() < settings_.end_ms; ++i)
        {
            auto request = create_request("entry-" + std::to_string(n) + "-" + std::to_string(i));
            request.target = "/entry/register";
            request.deadline_ms = deadline_ms;
            request.body = "entry";
            auto const answer = caller.ask(request);
            pause_after(answer);
            std::lock_guard const lock(mutex_);
            bool const has_run = run_.contains(request.id);
            bool const is_answered = answer.end == answer_end::complete;
            bool const is_lost = answer.end == answer_end::unanswered && answer.is_kept && has_run;
            answered_ += is_answered ? 1 : 0;
            lost_[gateway] += is_lost ? 1 : 0;
            if (!is_answered || answer.status != 200)
                record_.line(
                    "%s: %s %d, on a kept connection: %s, run by a sound replica: %s",
                    request.id.c_str(),
                    name_of(answer.end),
                    answer.status,
                    answer.is_kept ? "yes" : "no",
                    has_run ? "yes" : "no");
        }
    }

    verdict judge()
    {
        constexpr int allowed = 3;
        constexpr int least_answered = 100;
        record_.line(
            "requests that may run once: %d answered; run by a sound replica and closed without an "
            "answer on a kept connection: %d and %d at the two gateways",
            answered_,
            lost_[0],
            lost_[1]);
        if (answered_ < least_answered || (has_trouble() && spoiled_ == 0))
            return verdict::not_run;
        return std::max(lost_[0], lost_[1]) > allowed ? verdict::broken : verdict::held;
    }

    recorder& record_;
    mixed_traffic_settings settings_;
    deployment& fleet_;
    std::mutex mutex_;
    std::set<std::string> run_; ///< ids of the requests that the sound service ran
    int answer_count_ = 0;
    int spoiled_ = 0;
    int answered_ = 0;
    int lost_[gateway_count] = {};
};

/// Threads of the replicas use the object until the end of the process, so it is never destroyed.
inline verdict run_mixed_traffic(recorder& record, mixed_traffic_settings settings)
{
    return (new mixed_traffic(record, std::move(settings)))->run();
}

} // namespace review
