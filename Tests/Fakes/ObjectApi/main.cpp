#include "ObjectApi.h"
#include <Kernel/Daemon.h>
#include <LibHttp/HttpServer.h>
#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace
{

// Each waiting watch occupies one thread.
constexpr int serverThreads = 256;
// More than the largest accepted value, so that the object API itself rejects a value that is too large.
constexpr size_t bodyLimitBytes = 2 << 20;

int serve(const std::string &address)
{
    const absl::StatusOr<AK::Endpoint> endpoint = AK::parseEndpoint(address);
    if (!endpoint.ok()) {
        std::cerr << endpoint.status() << "\n";
        return 2;
    }
    Kernel::blockSignals();
    const AK::SystemClock clock;
    Fakes::ObjectApi api(clock);
    LibHttp::HttpServer server(*endpoint, {.threads = serverThreads, .bodyBytes = bodyLimitBytes},
                               [&api](LibHttp::HttpExchange &exchange) { api.handle(exchange); });
    if (const absl::Status started = server.start(); !started.ok()) {
        std::cerr << started << "\n";
        return 1;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int signal = 0;
    sigwait(&signals, &signal);
    api.close();
    server.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Fake of the object API and the host list");
        TCLAP::ValueArg<std::string> address("", "address", "IP:PORT to listen on", true, "", "IP:PORT", command);
        command.parse(argc, argv);
        return serve(address.getValue());
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << "\n";
        return 1;
    }
}
