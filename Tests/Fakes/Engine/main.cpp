#include "FakeEngine.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <tclap/CmdLine.h>

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Fake model engine for tests.");
    TCLAP::MultiArg<std::string> addresses("", "address", "IP:PORT to listen on; each address is a separate engine", true, "IP:PORT", command);
    TCLAP::ValueArg<int> slots("", "slots", "concurrent calls when warm", false, 16, "N", command);
    TCLAP::ValueArg<int> coldSlots("", "cold-slots", "concurrent calls when cold", false, 2, "N", command);
    TCLAP::ValueArg<int64_t> coldMs("", "cold-ms", "time after a load during which the engine is cold", false, 0, "MS", command);
    TCLAP::ValueArg<int64_t> tokenMs("", "token-ms", "time per token", false, 5, "MS", command);
    TCLAP::ValueArg<int> threads("", "threads", "threads that serve requests of one engine", false, 64, "N", command);
    TCLAP::ValueArg<int64_t> loadMs("", "load-ms", "time of a load after all files are read", false, 100, "MS", command);
    TCLAP::SwitchArg ignoreFencing("", "ignore-fencing", "accept load orders with an old fencing token", command);
    command.parse(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const AK::SystemClock clock;
    std::vector<std::unique_ptr<Fakes::FakeEngine>> engines;
    for (const std::string &address : addresses.getValue()) {
        const auto endpoint = AK::parseEndpoint(address);
        if (!endpoint.ok()) {
            std::cerr << endpoint.status() << '\n';
            return 2;
        }
        const Fakes::FakeEngineOptions options{*endpoint,          slots.getValue(),  coldSlots.getValue(),     coldMs.getValue(),
                                               tokenMs.getValue(), loadMs.getValue(), ignoreFencing.getValue(), threads.getValue()};
        engines.push_back(std::make_unique<Fakes::FakeEngine>(options, clock));
        if (const absl::Status status = engines.back()->start(); !status.ok()) {
            std::cerr << status << '\n';
            return 1;
        }
    }
    int received = 0;
    sigwait(&signals, &received);
    engines.clear();
    return 0;
}
