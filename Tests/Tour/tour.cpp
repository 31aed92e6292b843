#include "Steps.h"

#include <csignal>
#include <iostream>
#include <string_view>

namespace
{

void printCommands(Harness::Site &site)
{
    const std::string common = " --entry " + site.entryAddress(1).text() + " --key-file " + site.operatorKeyFile();
    const std::string command = site.plan().binFolder + "/catkinlink ";
    std::cout << "\nThe site runs until this program is interrupted. Logs and settings: " << site.folder() << "\nTry:\n"
              << "  " << command << "status" << common << "\n"
              << "  " << command << "rollout status bench-assistant" << common << "\n"
              << "  " << command << "domain out cusco --reason maintenance" << common << "\n"
              << "  " << command << "audit" << common << "\n"
              << "  curl -sN http://" << site.entryAddress(1).text() << "/v1/completions -H 'Authorization: Bearer " << site.accountKey(1)
              << "' -d '{\"model\":\"bench-assistant\",\"prompt\":\"hello\",\"stream\":true}'\n"
              << "  curl -s http://" << site.entryAddress(1).text() << "/metrics" << std::endl;
}

void waitForInterrupt()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace

int main(int argc, char **argv)
{
    std::string binFolder = "build/bin";
    bool once = false;
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--once") {
            once = true;
        } else if (argument == "--bin" && i + 1 < argc) {
            binFolder = argv[++i];
        } else {
            std::cerr << "usage: tour [--bin DIR] [--once]\n";
            return 2;
        }
    }
    Harness::Site site(tourPlan(binFolder));
    if (const absl::Status status = site.start(); !status.ok()) {
        std::cerr << "the site did not start: " << std::string(status.message()) << "\n";
        return 1;
    }
    std::cout << "site started: " << site.daemonNames().size() << " daemons; logs in " << site.folder() << std::endl;
    const int failed = runTour(site);
    std::cout << (failed == 0 ? "tour complete: every step was right" : "tour incomplete: " + std::to_string(failed) + " steps were wrong") << std::endl;
    if (!once) {
        printCommands(site);
        waitForInterrupt();
    }
    return failed == 0 ? 0 : 1;
}
