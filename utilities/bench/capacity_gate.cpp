#include "capacity_gate.hpp"

#include <almondcart/core/clock.hpp>
#include <almondcart/gate/work_gate.hpp>

#include <string>
#include <vector>

#include "capacity_probe.hpp"
#include "capacity_samples.hpp"

namespace almondcart::bench {

namespace {

constexpr int requests = 1'000;
constexpr int frames = 200;
constexpr std::size_t body_bytes = 2'048;
constexpr std::size_t chunk_bytes = 180; ///< one chat-completions chunk of a few characters

dispatch create_dispatch(int number)
{
    dispatch value;
    value.agent = sample_agent(1);
    value.request = sample_request(sample_budget(0).account, number);
    value.started_ms = sample_start_ms;
    value.grants = {{{3, 7}, 4'096}};
    value.kind = "guidance";
    value.prompt_tokens = 2'048;
    value.output_cap = 512;
    value.deadline_ms = 1'300;
    value.is_stream = true;
    value.method = "POST";
    value.path = "/v1/chat/completions";
    value.content_type = "application/json";
    value.body = std::string(body_bytes, 'x');
    value.fingerprint = sample_fingerprint(number);
    return value;
}

} // namespace

Json::Value measure_gate()
{
    manual_clock clock;
    upstream_crash_monitor monitor({clock.function(), [] { return std::string("crash"); }, {}});
    std::vector<std::uint64_t> calls;
    std::size_t sent_bytes = 0;
    work_gate::limits limits;
    limits.slots = requests;
    work_gate gate(
        sample_agent(1),
        limits,
        {.now = clock.function(),
         .start_call = [&](std::uint64_t call, dispatch const&) { calls.push_back(call); },
         .cancel_call = {},
         .is_configured = {},
         .is_blocked = {},
         .offer_usage = {},
         .create_truncation_data = {},
         .record_event = {}},
        monitor);
    std::vector<dispatch> work;
    std::vector<request_id> ids;
    for (int n = 0; n < requests; ++n)
    {
        work.push_back(create_dispatch(n));
        ids.push_back(work.back().request);
    }
    Json::Value value;
    capacity_probe const starting;
    for (auto const& item : work)
        gate.serve(item, [&](work_line const& line) { sent_bytes += to_text(line).size(); });
    value["running_request_bytes"] = double(starting.bytes()) / requests;
    value["start_ns"] = double(starting.cpu_ns()) / requests;

    capacity_probe const output;
    for (auto const call : calls)
    {
        for (int n = 0; n < frames; ++n)
            gate.add_output(call, std::string(chunk_bytes, 'x'), 1);
    }
    value["frame_ns"] = double(output.cpu_ns()) / requests / frames;
    value["frame_bytes_sent"] = double(sent_bytes) / requests / frames;
    value["frame_bytes_kept"] = double(output.bytes()) / requests / frames;
    value["frames_kept_bytes_counted"] = Json::UInt64(gate.kept_output_bytes());

    capacity_probe const finishing;
    for (auto const call : calls)
        gate.finish(call, {200, "text/event-stream", "", 2'000, frames});
    value["finish_ns"] = double(finishing.cpu_ns()) / requests;
    capacity_probe const acknowledging;
    gate.acknowledge(ids);
    value["acknowledge_ns"] = double(acknowledging.cpu_ns()) / requests;
    clock.advance(limits.output_retention + duration(1'000));
    gate.tick();
    value["retained_request_bytes"] = double(starting.bytes()) / requests;
    value["started"] = Json::Int64(gate.counts().started);
    return value;
}

} // namespace almondcart::bench
