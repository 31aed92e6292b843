#include "FakeWeightStore.h"

#include <AK/Text.h>
#include <csignal>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Fake weight store for tests: serves generated safetensors files and supports Range requests.");
    TCLAP::ValueArg<std::string> address("", "address", "IP:PORT to listen on", false, "127.0.0.1:7301", "IP:PORT", command);
    TCLAP::ValueArg<std::string> model("", "model", "model name", false, "model", "NAME", command);
    TCLAP::ValueArg<std::string> adapter("", "adapter", "adapter name", false, "base", "NAME", command);
    TCLAP::ValueArg<std::string> versions("", "versions", "comma-separated versions", false, "1,2", "LIST", command);
    TCLAP::ValueArg<uint64_t> size("", "size-bytes", "bytes of tensors in a version", false, 4 << 20, "N", command);
    TCLAP::ValueArg<uint32_t> chunk("", "chunk-bytes", "bytes of a chunk", false, 64 << 10, "N", command);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the generator", false, 1, "N", command);
    TCLAP::ValueArg<int64_t> rate("", "bytes-per-s", "rate limit; 0: no limit", false, 0, "N", command);
    TCLAP::ValueArg<int> change("", "change-percent", "percentage of tensors that differ between versions", false, 100, "N", command);
    TCLAP::ValueArg<std::string> printRoot("", "print-root", "print the root of a version and exit", false, "", "VERSION", command);
    command.parse(argc, argv);
    std::vector<std::string> names;
    std::istringstream list(versions.getValue());
    for (std::string name; std::getline(list, name, ',');) {
        names.push_back(name);
    }
    const auto endpoint = AK::parseEndpoint(address.getValue());
    if (!endpoint.ok()) {
        std::cerr << endpoint.status() << '\n';
        return 2;
    }
    const LibWeights::GeneratedWeights parameters{model.getValue(), adapter.getValue(), "", size.getValue(), chunk.getValue(),
                                                  seed.getValue(),  change.getValue()};
    const AK::SystemClock clock;
    Fakes::FakeWeightStore store(*endpoint, clock, parameters, names, rate.getValue());
    if (!printRoot.getValue().empty()) {
        std::cout << store.rootOf(printRoot.getValue()) << '\n';
        return store.rootOf(printRoot.getValue()).empty() ? 1 : 0;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    if (const absl::Status status = store.start(); !status.ok()) {
        std::cerr << status << '\n';
        return 1;
    }
    int received = 0;
    sigwait(&signals, &received);
    store.stop();
    return 0;
}
