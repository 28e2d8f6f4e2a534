#pragma once

#include <almondcart/http1/byte_stream.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart::test_support {

/// Upstream that answers each request with bytes of the test's choice, for responses that no HTTP
/// server would send.
class scripted_upstream
{
public:
    struct reply
    {
        std::string bytes;
        bool is_closing = false; ///< whether the connection ends after them
    };

    /// Returns the reply to a request. `earlier_id` is the id of the request before it on the
    /// connection, or empty.
    using script = std::function<reply(std::string const& id, std::string const& earlier_id)>;

    scripted_upstream(event_loop& loop, script script);
    ~scripted_upstream();
    scripted_upstream(scripted_upstream const&) = delete;
    scripted_upstream& operator=(scripted_upstream const&) = delete;

    std::string const& address() const { return address_; }

    /// Returns the id in the head of a request, or nothing if it has none.
    static std::string request_id(std::string_view head);

    /// Number of requests received, by id.
    std::map<std::string, int> const& request_counts() const { return request_counts_; }

    /// Number of requests that were not the first of their connection.
    int reuse_count() const { return reuse_count_; }

private:
    struct connection
    {
        std::unique_ptr<http1::byte_stream> stream;
        std::string input;
        std::string earlier_id;
    };

    void accept();
    void receive(connection& from, std::string_view data);

    event_loop& loop_;
    script script_;
    std::string address_;
    int listener_ = -1; ///< owned by the loop
    st_h2o_socket_t* watch_ = nullptr;
    std::vector<std::unique_ptr<connection>> connections_;
    std::map<std::string, int> request_counts_;
    int reuse_count_ = 0;
};

} // namespace almondcart::test_support
