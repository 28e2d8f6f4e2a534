#include "soak_fleet.hpp"

#include <almondcart/core/hash.hpp>
#include <almondcart/core/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

#include "support/tcp.hpp"

namespace almondcart::soak {

namespace {

using http1::exchange_outcome;

constexpr duration think_time{20};
constexpr duration min_fault_time{200};
constexpr duration max_fault_time{2'500};
constexpr duration min_fault_interval{100};
constexpr duration max_fault_interval{700};
constexpr std::int64_t initial_total_tokens = 40'000;
constexpr std::int64_t top_up_tokens = 30'000;
constexpr int output_limit_tokens = 24;     ///< of each stream: 6 events of 4 tokens
constexpr int streams_per_sized_stream = 2; ///< one in this many streams has its tokens counted

} // namespace

soak_fleet::soak_fleet(soak_settings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed * 2 + 1)
    , relay_random_(hash64("relay", settings_.seed))
    , statement_random_(hash64("statement", settings_.seed))
    , relay_address_(test_support::find_free_address())
{
    start_relay();
    for (int i = 0; i < settings_.upstreams; ++i)
    {
        upstream it;
        it.server = std::make_unique<standins::upstream_standin>(loop_, "i-" + std::to_string(i));
        it.server->set_mode(standins::upstream_mode::by_path);
        it.server->on_execution([this, id = it.server->id()](std::string const& request)
                                { checker_.record_run(id, request); });
        it.server->on_arrival([this, n = upstreams_.size()](std::string const& request)
                              { check_arrival(n, request); });
        it.link = std::make_unique<faulty_link>(loop_, it.server->address());
        upstreams_.push_back(std::move(it));
    }
    configure(initial_total_tokens);
    for (auto const& it : upstreams_)
        register_upstream(it, "ready");
    for (int i = 0; i < settings_.gateways; ++i)
    {
        auto it = std::make_unique<gateway>();
        it->name = "entry-" + std::to_string(i);
        it->listen = test_support::find_free_address();
        it->readiness = test_support::find_free_address();
        it->peers = test_support::find_free_address();
        it->status = test_support::find_free_address();
        it->front = std::make_unique<faulty_link>(loop_, it->listen);
        it->store = std::make_unique<faulty_link>(loop_, store_.address());
        start(*it);
        gateways_.push_back(std::move(it));
    }
    clients_.resize(static_cast<std::size_t>(settings_.clients));
}

soak_fleet::~soak_fleet() = default;

std::string soak_fleet::file_path(gateway const& it, std::string_view suffix) const
{
    return settings_.log_directory + "/almondcart-soak-" + std::to_string(settings_.seed) + "-" +
           it.name + std::string(suffix);
}

void soak_fleet::start(gateway& it)
{
    forget_statements_to(it);
    Json::Value settings(Json::objectValue);
    settings["name"] = it.name;
    settings["availability_zone"] = "zone-1";
    settings["listen"] = it.listen;
    settings["readiness_listen"] = it.readiness;
    settings["status_listen"] = it.status;
    settings["peer_listen"] = it.peers;
    settings["store_address"] = it.store->address();
    settings["prepaid_topics"] = 2;
    settings["relay_port"] = socket_address::parse(relay_address_)->port();
    auto const file = file_path(it, ".json");
    std::ofstream(file) << to_compact_json(settings);
    it.process.emplace(
        std::vector<std::string>{
            ALMONDCART_BINARY_DIRECTORY "/services/almondcart-gateway", "--settings", file},
        file_path(it, ".log"));
    it.is_busy = false;
}

void soak_fleet::start_relay()
{
    Json::Value settings(Json::objectValue);
    settings["name"] = "relay";
    settings["listen"] = relay_address_;
    settings["store_address"] = store_.address();
    auto const file =
        settings_.log_directory + "/almondcart-soak-" + std::to_string(settings_.seed) + "-relay";
    std::ofstream(file + ".json") << to_compact_json(settings);
    relay_.emplace(
        std::vector<std::string>{
            ALMONDCART_BINARY_DIRECTORY "/services/almondcart-relay", "--settings", file + ".json"},
        file + ".log");
}

void soak_fleet::restart_reloaded()
{
    for (auto const& it : gateways_)
    {
        if (it->is_busy)
            continue;
        auto const result = it->process->try_wait();
        // A reload signal ends a process that has not reached `main`; the platform starts it again.
        if (result == -SIGHUP)
            start(*it);
        else if (result)
        {
            checker_.record_exit(it->name, *result);
            start(*it);
        }
    }
}

void soak_fleet::configure(std::int64_t prepaid)
{
    prepaid_ = prepaid;
    checker_.set_total_tokens(prepaid);
    test_support::club_configuration configuration;
    configuration.version = ++version_;
    configuration.prepaid_tokens = prepaid;
    store_.put("keyed.op", "config", configuration.text());
}

void soak_fleet::register_upstream(upstream const& it, std::string const& state)
{
    store_.put(
        "keyed.servers",
        it.server->id(),
        it.server->registry_entry("models", state, it.link->address()));
}

void soak_fleet::connect(client& it)
{
    it.gateway = static_cast<std::size_t>(random_below(settings_.gateways));
    it.connection = std::make_unique<http1::outbound_connection>(
        loop_, *socket_address::parse(gateways_[it.gateway]->front->address()));
}

void soak_fleet::send_next(std::size_t client)
{
    auto& it = clients_[client];
    if (is_finished_ || it.is_waiting)
        return;
    if (it.connection == nullptr || !it.connection->is_reusable())
        connect(it);
    it.current = {};
    it.current.id = std::to_string(settings_.seed) + "-" + std::to_string(next_request_++);
    it.current.kind = static_cast<work_kind>(random_below(4));
    http_headers headers{
        {"Host", "club.example"},
        {"X-Almondcart-Request-Id", it.current.id},
        {"X-Almondcart-Deadline-Ms", "1500"},
        {"Authorization", "Bearer key-1"}};
    bool const is_stream =
        it.current.kind == work_kind::stream || it.current.kind == work_kind::resumable;
    if (is_stream && random_below(streams_per_sized_stream) == 0)
    {
        it.current.input_tokens = 50 + random_below(500);
        headers.emplace_back(
            "X-Almondcart-Token-Count",
            std::to_string(it.current.input_tokens) + "," + std::to_string(output_limit_tokens));
    }
    checker_.record_request(it.current);
    statements_.record_request(it.current.id, it.gateway, loop_.now());
    http1::outbound_connection::exchange_callbacks callbacks;
    callbacks.on_head = [this, client](http1::response_head const& head)
    {
        clients_[client].current.head = head;
        return true;
    };
    callbacks.on_body = [this, client](std::string_view data)
    { clients_[client].current.body += data; };
    callbacks.on_end = [this, client](exchange_outcome end) { finish(client, end); };
    std::string text = "POST " + std::string(path_of(it.current.kind)) + " HTTP/1.1\r\n";
    http1::append_headers(text, headers);
    it.is_waiting = true;
    it.connection->send("POST", text + "Content-Length: 0\r\n\r\n", std::move(callbacks));
}

void soak_fleet::finish(std::size_t client, exchange_outcome end)
{
    auto& it = clients_[client];
    it.current.end = end;
    it.is_waiting = false;
    checker_.record_response(it.current);
    constexpr std::string_view seal_prefix = "seal-";
    auto const seal = find_header(it.current.head.headers, "X-Almondcart-Response-Seal");
    bool const is_leaving =
        seal && find_header(it.current.head.headers, "Server-Leaving").has_value();
    statements_.record_response(
        it.current.id,
        it.current.head.status,
        is_leaving ? std::string(seal->substr(seal_prefix.size())) : std::string(),
        loop_.now());
    bool const is_success = end == exchange_outcome::complete && it.current.head.status == 200;
    if (!are_faults_active_ && is_success)
        served_[it.gateway] = true;
    loop_.after(think_time, [this, client] { send_next(client); });
    // Clients switch to a random gateway after a failure, and otherwise after one in 8 requests.
    if (!is_success || random_below(8) == 0)
        loop_.post(
            [this, client]
            {
                if (!clients_[client].is_waiting)
                    clients_[client].connection.reset();
            });
}

void soak_fleet::log_fault(std::string const& what)
{
    ++fault_count_;
    std::cout << loop_.now().since_epoch.count() << " fault " << what << "\n";
}

void soak_fleet::kill(gateway& it)
{
    it.process->send_signal(SIGKILL);
    it.process->wait();
    loop_.after(random_.between(duration(0), duration(1'500)), [this, &it] { start(it); });
}

void soak_fleet::pause(gateway& it)
{
    it.process->send_signal(SIGSTOP);
    loop_.after(
        random_.between(min_fault_time, max_fault_time),
        [this, &it]
        {
            it.process->send_signal(SIGCONT);
            it.is_busy = false;
            forget_statements_to(it);
        });
}

void soak_fleet::stop(gateway& it)
{
    it.process->send_signal(SIGTERM);
    // The platform kills processes that have not stopped in time.
    loop_.after(
        duration(8'000),
        [this, &it]
        {
            it.process->send_signal(SIGKILL);
            it.process->wait();
            start(it);
        });
}

void soak_fleet::inject_process_fault(gateway& it)
{
    if (std::exchange(it.is_busy, true))
        return;
    switch (random_below(5))
    {
    case 2:
        log_fault("reload " + it.name);
        it.process->send_signal(SIGHUP);
        it.is_busy = false;
        break;
    case 0:
        log_fault("pause " + it.name);
        pause(it);
        break;
    case 1:
        log_fault("stop " + it.name);
        stop(it);
        break;
    default:
        log_fault("kill " + it.name);
        kill(it);
        break;
    }
}

void soak_fleet::inject_relay_fault()
{
    if (!are_faults_active_)
        return;
    auto const end = relay_random_.between(min_fault_time, max_fault_time);
    if (relay_random_.next() % 2 == 0)
    {
        log_fault("kill relay");
        relay_.reset();
        loop_.after(end, [this] { start_relay(); });
    }
    else
    {
        log_fault("pause relay");
        relay_->send_signal(SIGSTOP);
        loop_.after(end, [this] { relay_->send_signal(SIGCONT); });
    }
    loop_.after(
        end + relay_random_.between(min_fault_time, max_fault_time),
        [this] { inject_relay_fault(); });
}

void soak_fleet::inject_link_fault(faulty_link& link, std::string const& name)
{
    auto const fault = static_cast<link_fault>(1 + random_below(5));
    log_fault(std::string(name_of(fault)) + " " + name);
    link.set_fault(fault);
    loop_.after(
        random_.between(min_fault_time, max_fault_time),
        [&link] { link.set_fault(link_fault::none); });
}

void soak_fleet::inject_store_fault()
{
    if (random_below(3) == 0)
    {
        log_fault("history of the store is dropped");
        for (auto const* topic :
             {"keyed.op", "keyed.servers", "keyed.prepaid-draws-0", "keyed.prepaid-draws-1"})
            store_.compact(topic);
        store_.abort_pending_reads();
        return;
    }
    log_fault("store is down");
    store_.set_down(true);
    store_.abort_pending_reads();
    loop_.after(
        random_.between(min_fault_time, max_fault_time), [this] { store_.set_down(false); });
}

void soak_fleet::inject_upstream_fault(upstream& it)
{
    using standins::upstream_mode;
    static constexpr std::array modes{
        upstream_mode::dropped_connection,
        upstream_mode::not_executed,
        upstream_mode::unresponsive,
        upstream_mode::server_error,
        upstream_mode::mismatched_request_id,
        upstream_mode::truncated_stream};
    auto const choice = static_cast<std::size_t>(random_below(modes.size() + 1));
    auto const end = random_.between(min_fault_time, max_fault_time);
    if (choice == modes.size())
    {
        log_fault("drain " + it.server->id());
        register_upstream(it, "draining");
        loop_.after(end, [this, &it] { register_upstream(it, "ready"); });
        return;
    }
    log_fault("mode " + std::to_string(choice) + " " + it.server->id());
    it.server->set_mode(modes[choice]);
    loop_.after(
        end,
        [&it]
        {
            it.server->set_mode(upstream_mode::by_path);
            it.server->release();
        });
}

void soak_fleet::inject_statement(upstream& it)
{
    if (!are_faults_active_)
        return;
    if (statement_random_.next() % 2 == 0)
        leave(it);
    else
        ask_for_pause(it);
    auto const n = static_cast<std::size_t>(statement_random_.next()) % upstreams_.size();
    loop_.after(
        statement_random_.between(min_fault_time, 2 * max_fault_time),
        [this, n] { inject_statement(upstreams_[n]); });
}

void soak_fleet::leave(upstream& it)
{
    constexpr duration time_to_new_process{4'000};
    log_fault("leaving, not registered, " + it.server->id());
    it.server->set_leaving(true);
    loop_.after(
        time_to_new_process,
        [this, &it]
        {
            it.server->set_leaving(false);
            it.server->restart();
            statements_.forget_upstream(it.server->id());
            register_upstream(it, "ready");
        });
}

void soak_fleet::ask_for_pause(upstream& it)
{
    constexpr duration refusing_time{300};
    constexpr double milliseconds_per_second = 1000;
    it.pause = statement_random_.between(min_fault_time, max_fault_time);
    auto const seconds = static_cast<double>(it.pause.count()) / milliseconds_per_second;
    log_fault("pause of " + std::to_string(it.pause.count()) + " ms, " + it.server->id());
    it.server->set_retry_after(std::to_string(seconds));
    it.server->set_mode(standins::upstream_mode::not_executed);
    loop_.after(
        refusing_time,
        [&it]
        {
            it.pause = duration(0);
            it.server->set_retry_after({});
            it.server->set_mode(standins::upstream_mode::by_path);
        });
}

void soak_fleet::check_arrival(std::size_t upstream, std::string const& request)
{
    auto const& it = upstreams_[upstream];
    auto const now = loop_.now();
    auto const violation = statements_.record_arrival(it.server->id(), request, now);
    if (!violation.empty())
        checker_.add_violation(request, violation);
    if (it.pause > duration(0))
        statements_.record_pause(it.server->id(), request, now + it.pause);
}

void soak_fleet::forget_statements_to(gateway const& it)
{
    for (std::size_t n = 0; n < gateways_.size(); ++n)
    {
        if (gateways_[n].get() == &it)
            statements_.forget_gateway(n);
    }
}

void soak_fleet::top_up_account()
{
    log_fault("top-up");
    configure(prepaid_ + top_up_tokens);
}

void soak_fleet::inject_fault()
{
    if (!are_faults_active_)
        return;
    auto& it = *gateways_[static_cast<std::size_t>(random_below(settings_.gateways))];
    auto& server = upstreams_[static_cast<std::size_t>(random_below(settings_.upstreams))];
    switch (random_below(8))
    {
    case 0:
    case 1:
        inject_process_fault(it);
        break;
    case 2:
        inject_link_fault(*it.front, "front of " + it.name);
        break;
    case 3:
        inject_link_fault(*it.store, "store link of " + it.name);
        break;
    case 4:
        inject_link_fault(*server.link, "link of " + server.server->id());
        break;
    case 5:
        inject_store_fault();
        break;
    case 6:
        inject_upstream_fault(server);
        break;
    default:
        top_up_account();
        break;
    }
    loop_.after(
        random_.between(min_fault_interval, max_fault_interval), [this] { inject_fault(); });
}

void soak_fleet::stop_faults()
{
    are_faults_active_ = false;
    served_.assign(gateways_.size(), false);
    configure(prepaid_ + top_up_tokens);
}

bool soak_fleet::is_served(std::size_t gateway)
{
    return served_[gateway];
}

void soak_fleet::run()
{
    for (std::size_t i = 0; i < clients_.size(); ++i)
        send_next(i);
    loop_.after(duration(1'000), [this] { inject_fault(); });
    loop_.after(duration(2'000), [this] { inject_relay_fault(); });
    loop_.after(duration(1'500), [this] { inject_statement(upstreams_.front()); });
    loop_.every(duration(100), [this] { restart_reloaded(); });
    bool is_time_up = false;
    loop_.after(settings_.time, [&] { is_time_up = true; });
    loop_.run_until([&] { return is_time_up; });
    stop_faults();
    loop_.run_until(
        [this]
        {
            for (std::size_t i = 0; i < gateways_.size(); ++i)
            {
                if (!is_served(i))
                    return false;
            }
            return true;
        });
    is_finished_ = true;
    // Waits for late runs, because a refused request must not run later either.
    bool has_settled = false;
    loop_.after(duration(2'000), [&] { has_settled = true; });
    loop_.run_until([&] { return has_settled; });
}

} // namespace almondcart::soak
