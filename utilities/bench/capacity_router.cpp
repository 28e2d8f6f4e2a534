#include "capacity_router.hpp"

#include <almondcart/core/json.hpp>

#include <utility>

#include "capacity_probe.hpp"
#include "capacity_samples.hpp"

namespace almondcart::bench {

using namespace std::chrono_literals;

namespace {

constexpr duration flush_interval = 1'000ms; ///< as at the target size
constexpr duration run_time = 1'000ms;
constexpr token_count worst_case = 1'024;
constexpr token_count actual_tokens = 284; ///< 2.1 million tokens/s over 7,400 requests/s

} // namespace

capacity_router::capacity_router(
    int number,
    virtual_time& time,
    capacity_log& log,
    std::function<std::vector<process_id>(int)> live_peers)
    : number_(number)
    , time_(time)
    , log_(log)
    , client_(sample_router(number), log_hooks(), {.flush_interval = flush_interval})
    , holder_(
          {.self = sample_router(number),
           .flush_interval = flush_interval,
           .log_read_timeout = 1'500ms},
          holder_hooks(std::move(live_peers)))
{
    for (int n = 0; n < budget_shard_count; ++n)
        shards_.emplace_back(n);
    follow_streams();
}

log_client_hooks capacity_router::log_hooks()
{
    return {
        [this](Json::Value const& body, log_response_function const& respond)
        {
            auto text = to_compact_json(body);
            ++costs_.calls;
            costs_.sent_bytes += std::int64_t(text.size());
            log_.append(
                std::move(text),
                [this, respond](auto const& response) { receive(response, respond); });
        },
        [this](Json::Value const& body, log_response_function const& respond)
        {
            auto text = to_compact_json(body);
            ++costs_.calls;
            costs_.sent_bytes += std::int64_t(text.size());
            log_.read(
                std::move(text),
                [this, respond, sent = time_.now()](auto const& response)
                {
                    read_at_ = sent;
                    receive(response, respond);
                });
        },
        time_.clock()};
}

budget_holder::hooks
capacity_router::holder_hooks(std::function<std::vector<process_id>(int)> live_peers)
{
    return {
        time_.clock(),
        [this](record_body body) { return client_.submit(std::move(body)).value_or(-1); },
        [this](int shard) { return &shards_[std::size_t(shard)]; },
        [this] { return read_at_; },
        [this, live_peers = std::move(live_peers)] { return live_peers(number_); },
        [this](request_id const&) { ++costs_.billed; },
        {}};
}

void capacity_router::follow_streams()
{
    for (int n = 0; n < budget_shard_count; ++n)
    {
        client_.follow(
            budget_stream(n),
            {[](auto const&, auto) { return absl::OkStatus(); },
             [this, n](stored_record const& record)
             {
                 auto& state = shards_[std::size_t(n)];
                 state.apply(record);
                 holder_.record_applied(record, state);
             },
             [this, n](std::int64_t offset, std::int64_t time_ms)
             { shards_[std::size_t(n)].skip(offset, time_ms); },
             [](auto, auto) {}});
    }
    client_.follow(
        config_stream(),
        {[](auto const&, auto) { return absl::OkStatus(); },
         [this](stored_record const& record) { configuration_.apply(record); },
         [this](std::int64_t offset, std::int64_t time_ms)
         { configuration_.skip(offset, time_ms); },
         [](auto, auto) {}});
}

void capacity_router::receive(std::string const& text, log_response_function const& respond)
{
    capacity_probe const probe;
    costs_.received_bytes += std::int64_t(text.size());
    respond(parse_json(text));
    costs_.log_ns += probe.cpu_ns();
}

void capacity_router::tick()
{
    capacity_probe const probe;
    client_.tick();
    holder_.tick();
    costs_.log_ns += probe.cpu_ns();
}

std::size_t capacity_router::open_grants() const
{
    std::size_t count = 0;
    for (auto const& shard : shards_)
        count += shard.grants().size();
    return count;
}

void capacity_router::arrive(request_id const& request, budget_id const& budget)
{
    capacity_probe const probe;
    holder_.reserve(
        request,
        1,
        budget,
        worst_case,
        time_.now() + 5'000ms,
        [this, request](absl::StatusOr<reservation> const& result)
        {
            if (!result.ok())
            {
                ++costs_.refused;
                return;
            }
            ++costs_.granted;
            time_.after(0ms, [this, request] { finish(request); });
        });
    costs_.request_ns += probe.cpu_ns();
}

void capacity_router::finish(request_id const& request)
{
    capacity_probe const probe;
    auto const work = holder_.dispatch(request, 1);
    costs_.request_ns += probe.cpu_ns();
    if (!work.ok())
        return;
    time_.after(
        run_time,
        [this, work = *work]
        {
            capacity_probe const settling;
            holder_.settle(work, actual_tokens);
            costs_.request_ns += settling.cpu_ns();
        });
}

} // namespace almondcart::bench
