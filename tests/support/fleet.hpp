#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "expect.hpp"
#include "http_call.hpp"
#include "tcp_forwarder.hpp"

namespace almondcart::test_support {

struct fleet_options
{
    int engines = 2;
    int services = 1;
    std::int64_t total_tokens = 100'000;
    std::string preference = "false_refusals";
    std::vector<std::string> engine_arguments = {"--token-interval-ms", "30"};
    std::vector<std::string> service_arguments;
};

struct program_result
{
    int exit_code = 0;
    std::string output;
};

/// Two routers, their upstreams with agents, and the platform's stand-ins on loopback, with the
/// document of service "shop" published. Processes are named "log", "vmlist", "router-1",
/// "engine-1", "service-1", "agent-engine-1" and so on; an upstream has the name of its engine or
/// service. Everything is stopped on destruction; logs are kept when a test fails.
class fleet
{
public:
    explicit fleet(fleet_options options = {});
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;
    ~fleet();

    /// Starts a process with its settings, or restarts it after it has ended.
    void start(std::string const& name);
    void send_signal(std::string const& name, int signal);
    void kill(std::string const& name);
    /// Stops a process gracefully with SIGTERM and returns its exit code.
    int terminate(std::string const& name);

    /// Runs the command-line tool or another program of the build until it exits.
    program_result run(std::vector<std::string> const& command);
    /// Publishes the document with this total through router 2.
    program_result publish(std::int64_t total_tokens, std::vector<std::string> const& options = {});
    Json::Value document(std::int64_t total_tokens) const;
    std::string write_file(std::string const& name, std::string const& text) const;

    std::string const& address(std::string const& name) const { return addresses_.at(name); }
    std::string peer_address(int router) const;
    /// Forwarders of a router's connections to the log and to the other router.
    tcp_forwarder& log_link(int router) { return *log_links_.at(router); }
    tcp_forwarder& peer_link(int router) { return *peer_links_.at(router); }

    call_request chat(std::string const& prompt, std::string const& key, int max_tokens) const;
    call_request stream(std::string const& prompt, std::string const& key, int max_tokens) const;
    /// Non-idempotent request.
    call_request order(std::string const& key, std::string const& body = "{}") const;
    call_response send(int router, call_request const& request) const;
    /// Sends a request and repeats it with the same key while its refusals advise a retry.
    call_response send_with_retries(int router, call_request const& request) const;

    Json::Value status(int router) const;
    /// State of the fleet's only budget as seen by a router.
    Json::Value budget(int router) const;
    Json::Value agent(int router, std::string const& upstream) const;
    std::int64_t version(int router) const;
    Json::Value stats(std::string const& name) const;
    /// Number of executions, by all engines and services, of requests whose key contains this text.
    int executions(std::string const& key) const;
    /// Upstream that executes or executed a request, empty if there is none.
    std::string find_upstream(std::string const& key) const;
    void set_log_fault(std::string const& mode, int count = 0) const;

    void wait_until_ready();
    void wait_until_billed(std::int64_t tokens, std::vector<int> const& routers = {1, 2});

private:
    std::vector<std::string> upstreams() const;
    void create_commands();
    void add_router(int n);
    void add_agent(std::string const& upstream, std::string const& kind);

    fleet_options options_;
    std::filesystem::path directory_;
    std::map<std::string, std::string> addresses_;
    std::map<std::string, std::vector<std::string>> commands_;
    std::map<int, std::unique_ptr<tcp_forwarder>> log_links_;
    std::map<int, std::unique_ptr<tcp_forwarder>> peer_links_;
    std::map<std::string, child_process> processes_;
    int run_count_ = 0;
};

/// Text that the engine stand-in generates for a prompt.
std::string expected_text(std::string const& prompt, int max_tokens);
/// Returns a prompt that begins with `start` and whose answer has at least this many tokens.
std::string find_prompt(std::string const& start, std::size_t tokens);

} // namespace almondcart::test_support
