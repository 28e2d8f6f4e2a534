// One of four engines spoils a few of its answers: they come whole, but without the signature.
// Checks that requests which sound replicas run are answered.

#include "mixed_traffic.hpp"

namespace {

using namespace review;

bool send_without_signature(replica_request const& request, int fd)
{
    return write_all(
        fd,
        "HTTP/1.1 200 OK\r\nX-Almondcart-Request-Id: " + request.id() +
            "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
            chunk("id: 1\ndata: note\n\n") + chunk("id: 2\ndata: note\n\n") + chunk(""));
}

verdict run(recorder& record)
{
    mixed_traffic_settings settings;
    settings.spoil = send_without_signature;
    settings.supervise = [](deployment& it) { return it.restart_ended_gateways(); };
    return run_mixed_traffic(record, std::move(settings));
}

} // namespace

int main(int argc, char** argv)
{
    run_case(argc, argv, run);
}
