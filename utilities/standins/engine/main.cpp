#include "../common/standin_program.hpp"
#include "engine_standin.hpp"

namespace {

almondcart::engine_standin_settings read_settings(cxxopts::ParseResult const& arguments)
{
    using almondcart::duration;
    auto const milliseconds = [&arguments](char const* name)
    { return duration(arguments[name].as<std::int64_t>()); };
    almondcart::engine_standin_settings settings;
    settings.slots = arguments["slots"].as<int>();
    settings.token_interval = milliseconds("token-interval-ms");
    settings.prefill_us_per_token = arguments["prefill-us-per-token"].as<std::int64_t>();
    settings.cache_blocks = arguments["cache-blocks"].as<std::size_t>();
    settings.event_delay = milliseconds("event-delay-ms");
    settings.event_gap_every = arguments["event-gap-every"].as<std::uint64_t>();
    settings.load_lag = milliseconds("load-lag-ms");
    settings.is_fencing_checked = arguments["check-fencing"].as<bool>();
    settings.crash_marker = arguments["crash-marker"].as<std::string>();
    settings.restart_time = milliseconds("restart-ms");
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace almondcart;
    auto const number = [](char const* text)
    { return cxxopts::value<std::int64_t>()->default_value(text); };
    standin_program program("almondcart-standin-engine");
    program.options()("slots", "maximum batch size", cxxopts::value<int>()->default_value("8"))(
        "token-interval-ms", "time per token", number("5"))(
        "prefill-us-per-token", "time per uncached prompt token", number("20"))(
        "cache-blocks",
        "capacity of the prefix cache in blocks",
        cxxopts::value<std::size_t>()->default_value("256"))(
        "event-delay-ms", "time until a cache event becomes visible", number("200"))(
        "event-gap-every",
        "drop every n-th cache event, 0 for none",
        cxxopts::value<std::uint64_t>()->default_value("7"))(
        "load-lag-ms", "interval between load snapshots", number("250"))(
        "check-fencing",
        "reject orders with a stale fencing number",
        cxxopts::value<bool>()->default_value("false"))(
        "crash-marker",
        "crash on prompts that contain this text",
        cxxopts::value<std::string>()->default_value(""))(
        "restart-ms", "downtime after a crash", number("1000"));
    return program.run(
        argc,
        argv,
        [](event_loop& loop, http_server& server, cxxopts::ParseResult const& arguments)
        { return std::make_shared<engine_standin>(loop, server, read_settings(arguments)); });
}
