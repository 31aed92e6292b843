#include "FaultProxy.h"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace
{

int run(const std::string &listen, const std::string &target, const std::string &admin, int64_t bytesPerSecond)
{
    const auto listenAt = AK::parseEndpoint(listen);
    const auto targetAt = AK::parseEndpoint(target);
    const auto adminAt = AK::parseEndpoint(admin);
    for (const auto *endpoint : {&listenAt, &targetAt, &adminAt}) {
        if (!endpoint->ok()) {
            std::cerr << endpoint->status() << "\n";
            return 2;
        }
    }
    // Blocked before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const AK::SystemClock clock;
    FaultProxy proxy(*listenAt, *targetAt, bytesPerSecond, clock);
    LibHttp::HttpServer server(*adminAt, {2, 4'096}, [&proxy](LibHttp::HttpExchange &exchange) { proxy.handleAdmin(exchange); });
    for (const absl::Status &status : {proxy.start(), server.start()}) {
        if (!status.ok()) {
            std::cerr << status << "\n";
            return 1;
        }
    }
    int signal = 0;
    sigwait(&signals, &signal);
    server.stop();
    proxy.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("TCP proxy that injects faults", ' ', "0.1");
        TCLAP::ValueArg<std::string> listen("", "listen", "address to accept connections on", true, "", "IP:PORT", command);
        TCLAP::ValueArg<std::string> target("", "target", "address to connect to", true, "", "IP:PORT", command);
        TCLAP::ValueArg<std::string> admin("", "admin", "address of the HTTP interface for faults", true, "", "IP:PORT", command);
        TCLAP::ValueArg<int64_t> rate("", "bytes-per-s", "rate limit of each direction, shared by all connections; 0: no limit", false, 0, "N", command);
        command.parse(argc, argv);
        return run(listen.getValue(), target.getValue(), admin.getValue(), rate.getValue());
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return 2;
    }
}
