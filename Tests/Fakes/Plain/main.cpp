#include "PlainService.h"

#include <Kernel/Daemon.h>
#include <LibLog/Logger.h>
#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace
{

int serve(const AK::Endpoint &endpoint, AK::Milliseconds delay)
{
    Kernel::blockSignals();
    const AK::SystemClock clock;
    Fakes::PlainService service(clock, delay);
    LibHttp::HttpServer server(endpoint, LibHttp::HttpServerLimits{64, 1 << 20}, [&service](LibHttp::HttpExchange &exchange) { service.handle(exchange); });
    if (const absl::Status status = server.start(); !status.ok()) {
        std::cerr << status.ToString() << "\n";
        return 1;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
    service.shutdown();
    server.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine commandLine("Fake plain service that counts executions by Idempotency-Key.", ' ', "1");
        const TCLAP::ValueArg<std::string> address("", "address", "listening address", true, "", "IP:PORT", commandLine);
        const TCLAP::ValueArg<int64_t> delay("", "delay-ms", "time that each request takes, in ms", false, 0, "N", commandLine);
        commandLine.parse(argc, argv);
        const absl::StatusOr<AK::Endpoint> endpoint = AK::parseEndpoint(address.getValue());
        if (!endpoint.ok()) {
            std::cerr << endpoint.status().ToString() << "\n";
            return 2;
        }
        return serve(*endpoint, delay.getValue());
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.error() << "\n";
        return 2;
    }
}
