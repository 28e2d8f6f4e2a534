#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/http/http_server.hpp>

#include <json/json.h>

#include <functional>

namespace almondcart {

/// Serves `/healthz`, `/readyz`, `/status` and `/timeline`.
class status_pages
{
public:
    struct hooks
    {
        std::function<bool()> is_ready;
        std::function<Json::Value()> create_status;
    };

    /// `journal` must outlive the server.
    static void serve(http_server& server, event_journal const& journal, hooks hooks);
};

} // namespace almondcart
