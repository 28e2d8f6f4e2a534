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

/// Request of a caller and what the caller has seen of its answer.
struct call
{
    std::string id;
    work_kind kind = work_kind::safe;
    std::int64_t input_tokens = 0; ///< 0: not counted against the prepaid total
    http1::response_head head;
    std::string body;
    http1::exchange_outcome end = http1::exchange_outcome::not_connected;
};

/// Checks what callers and upstreams see against what almondcart promises.
class invariant_checker
{
public:
    /// An upstream begins to run a request.
    void note_run(std::string const& upstream, std::string const& id);

    /// The prepaid total of the account, from now on.
    void set_total(std::int64_t tokens) { total_ = std::max(total_, tokens); }

    void note_sent(call const& sent);
    void note_end(call const& ended);

    std::vector<std::string> const& broken() const { return broken_; }
    std::int64_t used_tokens() const { return used_tokens_; }
    std::int64_t total_tokens() const { return total_; }
    int count(int status) const;

private:
    struct request
    {
        work_kind kind = work_kind::safe;
        std::int64_t input_tokens = 0;
        int runs = 0;
        bool is_refused = false; ///< the caller was told that it did not and will not run
    };

    void check_success(call const& ended);
    void check_stream(call const& ended);
    void charge(std::int64_t tokens);
    void fail(std::string const& id, std::string const& what);

    std::map<std::string, request> requests_;
    std::map<int, int> statuses_;
    std::int64_t total_ = 0;
    std::int64_t used_tokens_ = 0;
    std::vector<std::string> broken_;
};

} // namespace almondcart::soak
