#include "token_transfer_rpc.hpp"

#include <almondcart/core/clock.hpp>
#include <almondcart/core/count.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>

#include <spdlog/spdlog.h>

#include <utility>

#include "prepaid_accounts.hpp"

namespace almondcart {

namespace {

using forwarding::token_request;
using forwarding::token_transfer;

constexpr char const* transfer_method = "transfer_tokens";

/// A gateway normally responds within milliseconds, and client requests wait for the response.
constexpr duration response_timeout{250};

/// A response holds two numbers.
constexpr std::size_t response_limit_bytes = 65'536;

Json::Value encode(token_request const& request)
{
    Json::Value value(Json::objectValue);
    value["account"] = request.account;
    value["needed_tokens"] = Json::Int64(request.needed_tokens);
    value["wanted_tokens"] = Json::Int64(request.wanted_tokens);
    return value;
}

absl::StatusOr<token_request> decode_request(Json::Value const& value)
{
    json_reader reader(value, transfer_method, result_code::malformed_request);
    token_request request;
    request.account = reader.string("account");
    request.needed_tokens = reader.integer("needed_tokens", 0, count_limit);
    request.wanted_tokens = reader.integer("wanted_tokens", 0, count_limit);
    if (auto status = reader.finish(); !status.ok())
        return status;
    return request;
}

Json::Value encode(token_transfer const& transfer)
{
    Json::Value value(Json::objectValue);
    value["tokens"] = Json::Int64(transfer.tokens);
    value["left_tokens"] = Json::Int64(transfer.left_tokens);
    return value;
}

absl::StatusOr<token_transfer> decode_transfer(Json::Value const& value)
{
    json_reader reader(value, transfer_method, result_code::malformed_request);
    token_transfer transfer;
    transfer.tokens = reader.integer("tokens", 0, count_limit);
    transfer.left_tokens = reader.integer("left_tokens", -count_limit, count_limit);
    if (auto status = reader.finish(); !status.ok())
        return status;
    return transfer;
}

} // namespace

token_transfer_rpc::token_transfer_rpc(
    event_loop& loop,
    http_client& client,
    std::string own_vm,
    gateway_metrics& metrics,
    prepaid_accounts& accounts)
    : loop_(loop)
    , metrics_(metrics)
    , prepaid_(accounts)
    , journal_(
          {own_vm, std::to_string(system_clock_source::wall_time_ms())},
          system_clock_source::wall_time_ms)
    , rpc_(loop, client, journal_, response_limit_bytes)
    , exchange_({}, std::move(own_vm), create_hooks())
{}

absl::Status token_transfer_rpc::listen(std::string const& address)
{
    auto server = http_server::create(loop_, {address});
    if (!server.ok())
        return server.status();
    server_ = *std::move(server);
    methods_ = std::make_unique<json_rpc_server>(*server_, journal_);
    methods_->bind_immediate(
        transfer_method, [this](Json::Value const& params) { return transfer_out(params); });
    return absl::OkStatus();
}

forwarding::token_transfer_client::hooks token_transfer_rpc::create_hooks()
{
    forwarding::token_transfer_client::hooks hooks;
    hooks.clock = [this] { return loop_.now(); };
    hooks.ask = [this](
                    std::string const& address,
                    token_request const& request,
                    std::function<void(std::optional<token_transfer>)> done)
    { ask(address, request, std::move(done)); };
    hooks.receive = [this](std::string const& account, std::int64_t tokens)
    { prepaid_.holder_of(account).transfer_in(account, tokens); };
    hooks.on_end = [this](std::string const& account)
    { prepaid_.holder_of(account).finish_peer_round(account); };
    return hooks;
}

void token_transfer_rpc::ask(
    std::string const& address,
    token_request const& request,
    std::function<void(std::optional<token_transfer>)> done)
{
    rpc_.call(
        address,
        transfer_method,
        encode(request),
        response_timeout,
        [this, address, request, done = std::move(done)](
            absl::StatusOr<Json::Value> const& response)
        {
            auto const transfer = response.ok() ? decode_transfer(*response) : response.status();
            metrics_.count_transfer(
                transfer.ok() ? "received" : "unanswered", transfer.ok() ? transfer->tokens : 0);
            spdlog::info(
                "[prepaid] account={} asked={} needed={} received={} error={}",
                request.account,
                address,
                request.needed_tokens,
                transfer.ok() ? transfer->tokens : 0,
                transfer.ok() ? "-" : message_of(transfer.status()));
            done(transfer.ok() ? std::optional(*transfer) : std::nullopt);
        });
}

absl::StatusOr<Json::Value> token_transfer_rpc::transfer_out(Json::Value const& params)
{
    auto const request = decode_request(params);
    if (!request.ok())
        return request.status();
    auto const transfer = prepaid_.holder_of(request->account).transfer_out(*request);
    metrics_.count_transfer("given", transfer.tokens);
    spdlog::info(
        "[prepaid] account={} needed={} wanted={} gives={} left={}",
        request->account,
        request->needed_tokens,
        request->wanted_tokens,
        transfer.tokens,
        transfer.left_tokens);
    return encode(transfer);
}

} // namespace almondcart
