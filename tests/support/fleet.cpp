#include "fleet.hpp"

#include <almondcart/core/hash.hpp>
#include <almondcart/core/json.hpp>

#include <unistd.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "engine/engine_standin.hpp"

namespace almondcart::test_support {

namespace {

constexpr int router_count = 2;
constexpr int output_cap = 64;
constexpr std::string_view client_key = "end-to-end-caller-key";
constexpr std::string_view budget_text = "shop/alpha/main";

std::string program(std::string const& name)
{
    auto const* directory =
        name == "almondcart-router" || name == "almondcart-agent" ? "/services/" : "/utilities/";
    return ALMONDCART_BINARY_DIRECTORY + std::string(directory) + name;
}

std::string to_name(std::string const& kind, int n)
{
    return kind + "-" + std::to_string(n);
}

Json::Value kind(char const* name, char const* pool, char const* path, bool is_idempotent)
{
    Json::Value it;
    it["name"] = name;
    it["priority"] = 1;
    it["deadline_ms"] = is_idempotent ? 15'000 : 5'000;
    it["pool"] = pool;
    it["path"] = path;
    it["idempotent"] = is_idempotent;
    return it;
}

} // namespace

fleet::fleet(fleet_options options)
    : options_(std::move(options))
{
    auto pattern = (std::filesystem::temp_directory_path() / "almondcart-XXXXXX").string();
    expect(::mkdtemp(pattern.data()) != nullptr, "a temporary directory");
    directory_ = pattern;
    create_commands();
    for (auto const& [name, command] : commands_)
        start(name);
    for (int n = 1; n <= router_count; ++n)
        wait_until(
            "router is ready",
            [&] {
                return send(n, {"GET", "/readyz", {}, ""}).status == 200;
            });
    auto const published = publish(options_.total_tokens);
    expect(published.exit_code == 0, "first publication: " + published.output);
    wait_until_ready();
}

fleet::~fleet()
{
    processes_.clear();
    if (std::uncaught_exceptions() > 0)
        std::cerr << "logs of the processes: " << directory_.string() << '\n';
    else
        std::filesystem::remove_all(directory_);
}

std::vector<std::string> fleet::upstreams() const
{
    std::vector<std::string> names;
    for (int n = 1; n <= options_.engines; ++n)
        names.push_back(to_name("engine", n));
    for (int n = 1; n <= options_.services; ++n)
        names.push_back(to_name("service", n));
    return names;
}

void fleet::create_commands()
{
    std::vector<std::string> names = {"log", "vmlist"};
    for (auto const& it : upstreams())
    {
        names.push_back(it);
        names.push_back("agent-" + it);
    }
    for (int n = 1; n <= router_count; ++n)
    {
        names.push_back(to_name("router", n));
        names.push_back(to_name("peer", n));
    }
    for (auto const& it : names)
        addresses_[it] = find_free_address();
    auto const standin = [this](std::string const& name, std::string const& type)
    {
        commands_[name] = {program("almondcart-standin-" + type), "--listen", address(name)};
        return &commands_[name];
    };
    standin("log", "log");
    auto* vm_list = standin("vmlist", "vmlist");
    vm_list->insert(vm_list->end(), {"--lag-ms", "0"});
    for (auto const& it : upstreams())
    {
        auto const type = it.substr(0, it.find('-'));
        auto const& extra =
            type == "engine" ? options_.engine_arguments : options_.service_arguments;
        auto* command = standin(it, type);
        command->insert(command->end(), extra.begin(), extra.end());
        add_agent(it, type);
    }
    for (int n = 1; n <= router_count; ++n)
        add_router(n);
}

void fleet::add_router(int n)
{
    log_links_[n] = std::make_unique<tcp_forwarder>(address("log"));
    peer_links_[n] = std::make_unique<tcp_forwarder>(peer_address(router_count + 1 - n));
    auto const name = to_name("router", n);
    Json::Value settings;
    settings["name"] = name;
    settings["availability_zone"] = to_name("zone", n);
    settings["listen"] = address(name);
    settings["peer_listen"] = peer_address(n);
    settings["log_address"] = log_link(n).address();
    settings["vm_list_address"] = address("vmlist");
    settings["peers"].append(peer_link(n).address());
    settings["peer_timeout_ms"] = 3'000;
    settings["body_limit_bytes"] = 65'536;
    commands_[name] = {
        program("almondcart-router"),
        "--settings",
        write_file(name + ".json", to_compact_json(settings))};
}

void fleet::add_agent(std::string const& upstream, std::string const& kind)
{
    auto const name = "agent-" + upstream;
    Json::Value settings;
    settings["name"] = name;
    settings["upstream"] = upstream;
    settings["listen"] = settings["advertise"] = address(name);
    settings["availability_zone"] = "zone-1";
    settings["upstream_address"] = address(upstream);
    settings["upstream_kind"] = kind;
    settings["upstream_checks_fencing"] = false;
    for (int n = 1; n <= router_count; ++n)
        settings["routers"].append(peer_address(n));
    commands_[name] = {
        program("almondcart-agent"),
        "--settings",
        write_file(name + ".json", to_compact_json(settings))};
}

std::string fleet::peer_address(int router) const
{
    return address(to_name("peer", router));
}

void fleet::start(std::string const& name)
{
    processes_.erase(name);
    processes_.emplace(
        name, child_process(commands_.at(name), (directory_ / (name + ".log")).string()));
}

void fleet::send_signal(std::string const& name, int signal)
{
    processes_.at(name).send_signal(signal);
}

void fleet::kill(std::string const& name)
{
    processes_.erase(name);
}

int fleet::terminate(std::string const& name)
{
    auto& process = processes_.at(name);
    process.send_signal(SIGTERM);
    auto const code = process.wait();
    processes_.erase(name);
    return code;
}

program_result fleet::run(std::vector<std::string> const& command)
{
    auto const file = (directory_ / ("run-" + std::to_string(++run_count_))).string();
    auto arguments = command;
    arguments[0] = program(command[0]);
    program_result result;
    result.exit_code = child_process(arguments, file).wait();
    std::ostringstream output;
    output << std::ifstream(file).rdbuf();
    result.output = output.str();
    return result;
}

program_result fleet::publish(std::int64_t total_tokens, std::vector<std::string> const& options)
{
    auto const file = write_file("document.json", to_compact_json(document(total_tokens)));
    std::vector<std::string> command = {"almondcart", "publish", file, "--router", peer_address(2)};
    command.insert(command.end(), options.begin(), options.end());
    return run(command);
}

Json::Value fleet::document(std::int64_t total_tokens) const
{
    Json::Value it;
    it["service"] = "shop";
    auto& budget = it["budgets"][0];
    budget["account"] = "alpha";
    budget["name"] = "main";
    budget["total_tokens"] = Json::Int64(total_tokens);
    budget["preference"] = options_.preference;
    it["client_accounts"][0]["name"] = "alpha";
    it["client_accounts"][0]["key_sha256"].append(sha256_hex(client_key));
    it["kinds"].append(kind("answer", "models", "/v1/chat/completions", true));
    it["kinds"][0]["max_output_tokens"] = output_cap;
    it["kinds"][0]["models"].append("m-1");
    it["kinds"].append(kind("order", "tills", "/orders", false));
    it["kinds"][1]["tokens_per_call"] = 10;
    it["pools"][0]["name"] = "models";
    it["pools"][1]["name"] = "tills";
    for (auto const& name : upstreams())
    {
        bool const is_engine = name.starts_with("engine");
        Json::Value upstream;
        upstream["name"] = name;
        upstream["slots"] = 8;
        if (is_engine)
        {
            upstream["models"].append("m-1");
            upstream["role"] = "mixed";
        }
        it["pools"][is_engine ? 0 : 1]["upstreams"].append(upstream);
    }
    return it;
}

std::string fleet::write_file(std::string const& name, std::string const& text) const
{
    auto const file = (directory_ / name).string();
    std::ofstream(file) << text;
    return file;
}

call_request fleet::chat(std::string const& prompt, std::string const& key, int max_tokens) const
{
    Json::Value body;
    body["model"] = "m-1";
    body["max_tokens"] = max_tokens;
    body["messages"][0]["role"] = "user";
    body["messages"][0]["content"] = prompt;
    auto request = order(key, to_compact_json(body));
    request.path = "/v1/chat/completions";
    return request;
}

call_request fleet::stream(std::string const& prompt, std::string const& key, int max_tokens) const
{
    auto request = chat(prompt, key, max_tokens);
    request.body.replace(request.body.size() - 1, 1, ",\"stream\":true}");
    return request;
}

call_request fleet::order(std::string const& key, std::string const& body) const
{
    call_request request;
    request.method = "POST";
    request.path = "/v1/services/shop/orders";
    request.headers = {{"authorization", "Bearer " + std::string(client_key)}};
    if (!key.empty())
        request.headers.emplace_back("idempotency-key", key);
    request.body = body;
    return request;
}

call_response fleet::send(int router, call_request const& request) const
{
    return fetch(address(to_name("router", router)), request);
}

call_response fleet::send_with_retries(int router, call_request const& request) const
{
    call_response response;
    wait_until(
        "an answer; the last one was " + response.body,
        [&]
        {
            response = send(router, request);
            return response.status == 200 ||
                   (response.status != 0 &&
                    response.headers.find("retry-after") == std::string::npos);
        });
    return response;
}

Json::Value fleet::status(int router) const
{
    return fetch(peer_address(router), {"GET", "/status", {}, ""}).json();
}

Json::Value fleet::budget(int router) const
{
    auto const state = status(router);
    if (state.isObject())
    {
        for (auto const& it : state["budgets"])
        {
            if (it["budget"].asString() == budget_text)
                return it;
        }
    }
    return {};
}

Json::Value fleet::agent(int router, std::string const& upstream) const
{
    auto const state = status(router);
    if (state.isObject())
    {
        for (auto const& it : state["agents"])
        {
            if (it["upstream"].asString() == upstream)
                return it;
        }
    }
    return {};
}

std::int64_t fleet::version(int router) const
{
    auto const state = status(router);
    return state.isObject() && !state["documents"].empty()
               ? state["documents"][0]["version"].asInt64()
               : 0;
}

Json::Value fleet::stats(std::string const& name) const
{
    return fetch(address(name), {"GET", "/stats", {}, ""}).json();
}

int fleet::executions(std::string const& key) const
{
    int count = 0;
    for (auto const& name : upstreams())
    {
        auto const known = stats(name)["executions"];
        for (auto const& id : known.getMemberNames())
            count += id.find(key) == std::string::npos ? 0 : known[id].asInt();
    }
    return count;
}

std::string fleet::find_upstream(std::string const& key) const
{
    for (auto const& name : upstreams())
    {
        auto const known = stats(name)["executions"];
        for (auto const& id : known.getMemberNames())
        {
            if (id.find(key) != std::string::npos)
                return name;
        }
    }
    return "";
}

void fleet::set_log_fault(std::string const& mode, int count) const
{
    Json::Value fault;
    fault["mode"] = mode;
    fault["count"] = count;
    auto const response = fetch(address("log"), {"POST", "/faults", {}, to_compact_json(fault)});
    expect(response.status == 200, "the log accepts fault mode " + mode);
}

void fleet::wait_until_ready()
{
    for (int n = 1; n <= router_count; ++n)
    {
        for (auto const& upstream : upstreams())
            wait_until(
                "router " + std::to_string(n) + " can use " + upstream,
                [&] { return agent(n, upstream)["state"].asString() == "usable"; });
    }
}

void fleet::wait_until_billed(std::int64_t tokens, std::vector<int> const& routers)
{
    for (int n : routers)
        wait_until(
            "router " + std::to_string(n) + " sees " + std::to_string(tokens) + " billed tokens",
            [&] { return budget(n)["billed"].asInt64() == tokens; });
}

std::string expected_text(std::string const& prompt, int max_tokens)
{
    std::string text;
    for (auto const& word : engine_standin::expected_output(prompt, max_tokens))
        text += (text.empty() ? "" : " ") + word;
    return text;
}

std::string find_prompt(std::string const& start, std::size_t tokens)
{
    for (int n = 0;; ++n)
    {
        auto prompt = start + " " + std::to_string(n);
        if (engine_standin::expected_output(prompt, output_cap).size() >= tokens)
            return prompt;
    }
}

} // namespace almondcart::test_support
