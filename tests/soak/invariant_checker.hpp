#pragma once

#include <almondcart/http1/message.hpp>
#include <almondcart/http1/outbound_connection.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart::soak {

enum class work_kind
{
    safe,
    unsafe,
    stream,
    resumable,
};

std::string_view path_of(work_kind kind);

/// Request of a client and the response that the client received.
struct call
{
    std::string id;
    work_kind kind = work_kind::safe;
    std::int64_t input_tokens = 0; ///< 0 if the call is not counted against the prepaid total
    http1::response_head head;
    std::string body;
    http1::exchange_outcome end = http1::exchange_outcome::not_connected;
};

/// Checks requests, runs and responses, as observed by clients and upstreams, against the
/// guarantees of almondcart.
class invariant_checker
{
public:
    /// An upstream starts to run a request.
    void record_run(std::string const& upstream, std::string const& id);

    /// Raises the prepaid total of the account.
    void set_total_tokens(std::int64_t tokens) { total_tokens_ = std::max(total_tokens_, tokens); }

    /// A gateway has ended by itself. `result` is its exit code, or the negated signal number.
    void record_exit(std::string const& gateway, int result);

    void record_request(call const& sent);
    void record_response(call const& ended);

    void add_violation(std::string const& id, std::string const& what);

    std::vector<std::string> const& violations() const { return violations_; }
    std::int64_t used_tokens() const { return used_tokens_; }
    std::int64_t total_tokens() const { return total_tokens_; }
    int count(int status) const;

private:
    struct request
    {
        work_kind kind = work_kind::safe;
        std::int64_t input_tokens = 0;
        int runs = 0;
        bool is_refused = false; ///< the client was told that it has not run and never will
    };

    void check_success(call const& ended);
    void check_stream(call const& ended);
    void count_used_tokens(std::int64_t tokens);

    std::map<std::string, request> requests_;
    std::map<int, int> statuses_;
    std::int64_t total_tokens_ = 0;
    std::int64_t used_tokens_ = 0;
    std::vector<std::string> violations_;
};

} // namespace almondcart::soak
