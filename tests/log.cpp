#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/ledger/budget_shard_state.hpp>
#include <almondcart/ledger/configuration_state.hpp>
#include <almondcart/log/log_client.hpp>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace almondcart;

namespace {

constexpr int shard = 3;
std::string const stream = "budget-3";
budget_id const season{{"sandshare", "dune-masters"}, "season"};

enum class log_mode
{
    up,
    down,
    lose_responses, ///< appends take effect, but their responses are lost
    delay_appends,  ///< as above, but appends take effect only in `release_delayed`
};

// In-memory log service.
class fake_log
{
public:
    log_client_hooks hooks()
    {
        return {
            [this](Json::Value const& body, log_response_function const& respond)
            { append(body, respond); },
            [this](Json::Value const& body, log_response_function const& respond)
            { read(body, respond); },
            clock.function()};
    }

    Json::Value append_batches(Json::Value const& body)
    {
        Json::Value response(Json::objectValue);
        response["results"] = Json::Value(Json::arrayValue);
        for (auto const& batch : body["batches"])
        {
            auto& records = streams[batch["stream"].asString()];
            Json::Value result(Json::objectValue);
            result["stream"] = batch["stream"];
            result["first_offset"] = Json::Int64(records.size());
            response["results"].append(result);
            for (auto const& record : batch["records"])
                records.push_back(record);
        }
        return response;
    }

    void release_delayed()
    {
        for (auto const& body : std::exchange(delayed, {}))
            append_batches(body);
    }

    manual_clock clock;
    log_mode mode = log_mode::up;
    int appends = 0;
    std::map<std::string, std::vector<Json::Value>> streams;
    std::map<std::string, std::int64_t> first_offsets;
    std::vector<Json::Value> delayed;

private:
    void append(Json::Value const& body, log_response_function const& respond)
    {
        ++appends;
        if (mode == log_mode::delay_appends)
            delayed.push_back(body);
        Json::Value response;
        if (mode == log_mode::up || mode == log_mode::lose_responses)
            response = append_batches(body);
        if (mode == log_mode::up)
            respond(response);
        else
            respond(make_status(result_code::log_unavailable, "connection lost"));
    }

    void read(Json::Value const& body, log_response_function const& respond)
    {
        if (mode == log_mode::down)
        {
            respond(make_status(result_code::log_unavailable, "connection refused"));
            return;
        }
        Json::Value response(Json::objectValue);
        response["streams"] = Json::Value(Json::arrayValue);
        int left = body["limit"].asInt();
        for (auto const& position : body["positions"])
        {
            std::string const name = position["stream"].asString();
            auto const& records = streams[name];
            Json::Value chunk(Json::objectValue);
            chunk["stream"] = name;
            chunk["first_offset"] = Json::Int64(first_offsets[name]);
            chunk["next_offset"] = Json::Int64(records.size());
            chunk["records"] = Json::Value(Json::arrayValue);
            auto n = std::max(position["from"].asInt64(), first_offsets[name]);
            for (; n < static_cast<std::int64_t>(records.size()) && left > 0; ++n, --left)
            {
                Json::Value item(Json::objectValue);
                item["offset"] = Json::Int64(n);
                item["time_ms"] = Json::Int64(1000 + n);
                item["data"] = records[static_cast<std::size_t>(n)];
                chunk["records"].append(item);
            }
            response["streams"].append(chunk);
        }
        respond(response);
    }
};

// Router with a log client and the folded states of one shard and the configuration.
class node
{
public:
    node(fake_log& log, std::string const& name, log_client_settings settings = {})
        : client({name, "a"}, log.hooks(), settings)
    {
        client.follow(
            stream,
            {[this](Json::Value const& state, std::int64_t)
             {
                 auto restored = budget_shard_state::from_json(state);
                 if (restored.ok())
                     shard_state = *std::move(restored);
                 return restored.status();
             },
             [this](stored_record const& record) { shard_state.apply(record); },
             [this](std::int64_t offset, std::int64_t time_ms)
             { shard_state.skip(offset, time_ms); },
             [this](std::int64_t, std::int64_t) { ++gaps; }});
        client.follow(
            config_stream(),
            {[](Json::Value const&, std::int64_t) { return absl::OkStatus(); },
             [this](stored_record const& record) { configuration.apply(record); },
             [](std::int64_t, std::int64_t) {},
             [](std::int64_t, std::int64_t) {}});
    }

    absl::StatusOr<std::int64_t> draw(token_count tokens)
    {
        return client.submit(
            grant_record{season, tokens, 1}, [this](std::int64_t n) { offsets.push_back(n); });
    }

    budget_shard_state shard_state{shard};
    configuration_state configuration;
    int gaps = 0;
    std::vector<std::int64_t> offsets;
    log_client client;
};

void run(fake_log& log, std::vector<node*> const& nodes, int ticks = 60)
{
    for (int n = 0; n < ticks; ++n)
    {
        log.clock.advance(duration(50));
        for (auto* it : nodes)
            it->client.tick();
    }
}

limit_record limit_of(token_count total)
{
    return {season, total, budget_preference::overspend, 1};
}

} // namespace

// Guards against one append per record, which exceeds what the log accepts.
Test(log_client, batches_records_of_all_streams)
{
    fake_log log;
    node router(log, "router-1");
    cr_assert(router.client.submit(limit_of(100)).ok());
    for (int n = 0; n < 20; ++n)
        cr_assert(router.draw(1).ok());
    cr_assert(
        router.client.submit(crash_report_record{"f", "m1", "a@1", {season.account, "key-0001"}})
            .ok());
    run(log, {&router});
    cr_assert_eq(log.appends, 1);
    cr_assert_eq(router.offsets.size(), 20);
    cr_assert_eq(router.shard_state.find_budget(season)->charged, 20);
    cr_assert_eq(router.client.buffered_bytes(), 0);
    cr_assert(router.client.has_caught_up());
    cr_assert_eq(router.client.lag(stream), 0);
}

// Guards against losing, repeating or reordering records when responses are lost, the log is down,
// or an append takes effect after its retry.
Test(log_client, random_faults_apply_each_record_once)
{
    cr_assert(rc::check(
        "each submitted record is folded exactly once",
        []
        {
            fake_log log;
            node first(log, "router-1");
            node second(log, "router-2");
            RC_ASSERT(first.client.submit(limit_of(1'000'000)).ok());
            run(log, {&first, &second});
            token_count drawn = 0;
            for (int const n : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40)))
            {
                log.mode = static_cast<log_mode>(n % 4);
                if (n % 5 == 0)
                    log.release_delayed();
                RC_ASSERT(first.draw(n + 1).ok());
                RC_ASSERT(second.draw(n + 1).ok());
                drawn += 2 * (n + 1);
                run(log, {&first, &second}, n % 7);
            }
            log.mode = log_mode::up;
            run(log, {&first, &second}, 100);
            log.release_delayed();
            run(log, {&first, &second}, 100);
            RC_ASSERT(first.shard_state.find_budget(season)->charged == drawn);
            RC_ASSERT(first.shard_state.to_json() == second.shard_state.to_json());
            RC_ASSERT(first.client.buffered_records() == 0);
            for (auto const offset : first.offsets)
                RC_ASSERT(first.shard_state.find_grant({shard, offset})->holder.name == "router-1");
        }));
}

// Guards against unbounded memory during an outage, and against dropping records silently.
Test(log_client, outage_keeps_records_in_bounded_memory)
{
    fake_log log;
    log.mode = log_mode::down;
    log_client_settings settings;
    settings.buffer_bytes = 1000;
    node router(log, "router-1", settings);
    int accepted = 0;
    while (router.draw(1).ok())
        ++accepted;
    cr_assert_gt(accepted, 2);
    cr_assert_leq(router.client.buffered_bytes(), 1000);
    cr_assert_eq(code_of(router.draw(1).status()), result_code::log_unavailable);
    run(log, {&router}, 1000);
    cr_assert_not(router.client.is_available());
    cr_assert_not(router.client.has_caught_up());
    cr_assert_lt(log.appends, 40);
    log.mode = log_mode::up;
    run(log, {&router});
    cr_assert_eq(std::ssize(router.offsets), accepted);
    cr_assert(router.client.is_available());
}

// Guards against starting without the records that have expired from the log.
Test(log_client, starts_from_checkpoint_after_expiry)
{
    fake_log log;
    node writer(log, "router-1");
    cr_assert(writer.client.submit(limit_of(100)).ok());
    cr_assert(writer.draw(30).ok());
    run(log, {&writer});
    cr_assert(
        writer.client
            .submit_checkpoint(stream, writer.shard_state.offset(), writer.shard_state.to_json())
            .ok());
    cr_assert(writer.draw(5).ok());
    run(log, {&writer});
    log.first_offsets[stream] = 2;
    node reader(log, "router-2");
    run(log, {&reader});
    cr_assert(reader.shard_state.to_json() == writer.shard_state.to_json());
    cr_assert(reader.client.has_caught_up());
    cr_assert_eq(reader.client.newest_checkpoint(stream)->through_offset, 1);
}

// Guards against silently continuing after a gap, and against restoring a peer's older state.
Test(log_client, gap_is_reported_and_closed_by_a_peer)
{
    fake_log log;
    node peer(log, "router-1");
    cr_assert(peer.client.submit(limit_of(100)).ok());
    cr_assert(peer.draw(30).ok());
    run(log, {&peer});
    log.first_offsets[stream] = 2;
    node reader(log, "router-2");
    run(log, {&reader});
    cr_assert_eq(reader.gaps, 1);
    cr_assert_not(reader.client.has_caught_up());
    cr_assert_eq(reader.shard_state.offset(), -1);
    cr_assert(reader.client.offer_snapshot(stream, 1, peer.shard_state.to_json()).ok());
    cr_assert(reader.client.offer_snapshot(stream, 0, budget_shard_state(shard).to_json()).ok());
    run(log, {&reader});
    cr_assert(reader.client.has_caught_up());
    cr_assert(reader.shard_state.to_json() == peer.shard_state.to_json());
}

// Guards against two concurrent publishers that both see their version accepted.
Test(log_client, concurrent_publishers_agree)
{
    std::ifstream file(ALMONDCART_SOURCE_DIRECTORY "/examples/sandshare.json");
    std::string const text(std::istreambuf_iterator<char>(file), {});
    Json::Value const document = parse_json(text).value();
    fake_log log;
    node first(log, "router-1");
    node second(log, "router-2");
    auto const a = first.client.submit(publish_record{"sandshare", 0, document, "a"});
    auto const b = second.client.submit(publish_record{"sandshare", 0, document, "b"});
    run(log, {&first, &second});
    cr_assert(second.configuration.find_publish_result({"router-1", "a"}, *a)->is_accepted);
    cr_assert_not(first.configuration.find_publish_result({"router-2", "a"}, *b)->is_accepted);
    cr_assert_eq(first.configuration.find_document("sandshare")->author, "a");
    cr_assert(first.configuration.to_json() == second.configuration.to_json());
}

// Guards against an unreadable record that stops its stream.
Test(log_client, unreadable_record_is_skipped)
{
    fake_log log;
    log.streams[stream].emplace_back("not a record");
    node router(log, "router-1");
    cr_assert(router.client.submit(limit_of(100)).ok());
    run(log, {&router});
    cr_assert_eq(router.shard_state.refusals().unparsed, 1);
    cr_assert_eq(router.shard_state.find_budget(season)->total, 100);
}
