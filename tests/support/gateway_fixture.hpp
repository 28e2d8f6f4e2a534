#pragma once

#include <almondcart/core/json.hpp>
#include <almondcart/http1/outbound_connection.hpp>

#include <platform/store_standin.hpp>
#include <platform/upstream_standin.hpp>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "club_configuration.hpp"
#include "tcp.hpp"

namespace almondcart::test_support {

/// Response as received by a client.
struct client_response
{
    http1::response_head head;
    std::string body;
    std::optional<http1::exchange_outcome> end;

    bool is_complete() const { return end == http1::exchange_outcome::complete; }
    std::string header(std::string_view name) const
    {
        return std::string(find_header(head.headers, name).value_or(""));
    }
};

/// A gateway process with stand-ins for the store and two upstreams.
struct gateway_fixture
{
    /// `extra` holds further members of the settings.
    explicit gateway_fixture(Json::Value extra = Json::Value(Json::objectValue))
        : extra_settings(std::move(extra))
    {
        first.set_mode(standins::upstream_mode::single_body);
        write_settings();
        start();
    }

    ~gateway_fixture()
    {
        std::remove(settings_file.c_str());
        std::remove(output_file.c_str());
    }

    void write_settings() const
    {
        auto settings = extra_settings;
        settings["name"] = vm;
        settings["availability_zone"] = "zone-1";
        settings["listen"] = listen;
        settings["readiness_listen"] = readiness;
        settings["status_listen"] = find_free_address();
        settings["peer_listen"] = peer_listen;
        settings["store_address"] = store.address();
        settings["shutdown_grace_s"] = 8;
        std::ofstream(settings_file) << to_compact_json(settings);
    }

    void start()
    {
        gateway.emplace(
            std::vector<std::string>{
                ALMONDCART_BINARY_DIRECTORY "/services/almondcart-gateway",
                "--settings",
                settings_file},
            output_file);
    }

    /// Publishes a configuration with one route to the service "models" per kind of request.
    void configure(int version, std::int64_t prepaid, std::string const& key = "key-1")
    {
        club_configuration const configuration{
            version, prepaid, key, route_timeout_ms, cold_per_second};
        store.put("keyed.op", "config", configuration.text());
    }

    void add(standins::upstream_standin const& upstream, std::string const& state = "ready")
    {
        store.put("keyed.servers", upstream.id(), upstream.registry_entry("models", state));
    }

    void run_until(std::function<bool()> const& is_done) { loop.run_until(is_done); }

    /// Output of the process so far.
    std::string output() const
    {
        std::ifstream file(output_file);
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    void wait_for_output(std::string const& text)
    {
        loop.run_until([&] { return output().find(text) != std::string::npos; });
    }

    /// Sends a request without waiting for the response.
    std::shared_ptr<client_response> send(
        std::string const& address,
        std::string const& method,
        std::string const& path,
        http_headers headers = {},
        std::string const& body = {})
    {
        auto const response = std::make_shared<client_response>();
        auto const connection =
            std::make_shared<http1::outbound_connection>(loop, *socket_address::parse(address));
        connections.push_back(connection);
        http1::outbound_connection::exchange_callbacks callbacks;
        callbacks.on_head = [response](http1::response_head const& it)
        {
            response->head = it;
            return true;
        };
        callbacks.on_body = [response](std::string_view data) { response->body += data; };
        callbacks.on_end = [response](http1::exchange_outcome it) { response->end = it; };
        headers.emplace_back("Host", "club.example");
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        http1::append_headers(text, headers);
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        connection->send(method, text + body, std::move(callbacks));
        return response;
    }

    static http_headers client_headers(std::string const& id, std::string const& key = "key-1")
    {
        return {
            {"X-Almondcart-Request-Id", id},
            {"X-Almondcart-Deadline-Ms", "1500"},
            {"Authorization", "Bearer " + key}};
    }

    client_response
    ask(std::string const& path, std::string const& id, std::string const& key = "key-1")
    {
        return ask(path, client_headers(id, key));
    }

    client_response ask(std::string const& path, http_headers const& headers)
    {
        auto const response = send(listen, "POST", path, headers);
        loop.run_until([&] { return response->end.has_value(); });
        return *response;
    }

    int readiness_status()
    {
        auto const response = send(readiness, "GET", "/-/ready");
        loop.run_until([&] { return response->end.has_value(); });
        return response->head.status;
    }

    void wait_until_ready()
    {
        loop.run_until([&] { return readiness_status() == 200; });
    }

    /// Publishes two upstreams and a configuration and waits until the gateway uses them.
    void start_serving(std::int64_t prepaid = 1'000'000)
    {
        configure(1, prepaid);
        add(first);
        add(second);
        wait_until_ready();
        // The gateway is ready after the first entry; the second one may arrive later.
        for (int n = 0; first.request_heads().empty() || second.request_heads().empty(); ++n)
            ask("/safe/", "warm-" + std::to_string(n));
    }

    Json::Value extra_settings;
    event_loop loop;
    standins::store_standin store{loop};
    standins::upstream_standin first{loop, "i-1"};
    standins::upstream_standin second{loop, "i-2"};
    std::string vm = "entry-1"; ///< name of the next process's VM
    std::string listen = find_free_address();
    std::string readiness = find_free_address();
    std::string peer_listen = find_free_address();
    std::string settings_file = "/tmp/almondcart-gateway-" + std::to_string(getpid()) + ".json";
    std::string output_file = settings_file + ".log";

    /// Sends successful requests, which add the retries that a test needs to the retry budget.
    void fill_retry_budget()
    {
        for (int n = 0; n < 40; ++n)
            ask("/safe/", "earn-" + std::to_string(n));
    }

    int route_timeout_ms = 2000; ///< of the configurations published from now on
    int cold_per_second = 0;     ///< of the configurations published from now on
    std::vector<std::shared_ptr<http1::outbound_connection>> connections;
    std::optional<child_process> gateway;
};

inline std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: word\n\n";
    return text;
}

inline http_headers headers_with_tokens(std::string const& id, int input, int output)
{
    auto headers = gateway_fixture::client_headers(id);
    headers.emplace_back(
        "X-Almondcart-Token-Count", std::to_string(input) + "," + std::to_string(output));
    return headers;
}

} // namespace almondcart::test_support
