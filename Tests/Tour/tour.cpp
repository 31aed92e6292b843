#include "Steps.h"

#include <AK/Clock.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string_view>

namespace
{

void printCommands(Harness::Site &site)
{
    const std::string accountKeyFile = site.folder() + "/account.key";
    std::ofstream(accountKeyFile) << site.accountKey(1) << "\n";
    std::cout << "\nThe site runs until this program is interrupted. Logs and settings: " << site.folder()
              << "\nFor the commands of docs/operators in another shell:\n"
              << "  export PATH=" << std::filesystem::absolute(site.plan().binFolder).string() << ":$PATH\n"
              << "  export ENTRY=" << site.entryAddress(1).text() << " SECOND_ENTRY=" << site.entryAddress(2).text() << "\n"
              << "  export KEY_FILE=" << site.operatorKeyFile() << " ACCOUNT_KEY_FILE=" << accountKeyFile << "\n"
              << "  export WEIGHT_STORE=" << site.weightStore().text() << " OBJECT_API=" << site.objectApi().text() << "\nTry:\n"
              << "  catkinlink status --entry $ENTRY --key-file $KEY_FILE\n"
              << "  catkinlink rollout status bench-assistant --entry $ENTRY --key-file $KEY_FILE\n"
              << "  catkinlink domain out cusco --reason maintenance --entry $ENTRY --key-file $KEY_FILE\n"
              << "  catkinlink audit --entry $ENTRY --key-file $KEY_FILE\n"
              << "  curl -sN http://$ENTRY/v1/completions -H \"Authorization: Bearer $(cat $ACCOUNT_KEY_FILE)\""
              << " -d '{\"model\":\"bench-assistant\",\"prompt\":\"hello\",\"stream\":true}'\n"
              << "  curl -s http://$ENTRY/metrics\n"
              << "Faults: section 10 of docs/design.md, for example a store outage and its end:\n"
              << "  curl -s http://$OBJECT_API/fake/fault -d '{\"mode\":\"down\"}'\n"
              << "  curl -s http://$OBJECT_API/fake/fault -d '{\"mode\":\"none\"}'" << std::endl;
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
    const AK::SystemClock clock;
    const AK::Milliseconds startedAt = clock.now();
    Harness::Site site(tourPlan(binFolder));
    if (const absl::Status status = site.start(); !status.ok()) {
        std::cerr << "the site did not start: " << std::string(status.message()) << "\n";
        return 1;
    }
    std::cout << "site started: " << site.daemonNames().size() << " daemons; logs in " << site.folder() << std::endl;
    const int failed = runTour(site);
    std::cout << (failed == 0 ? "tour passed: all steps succeeded" : "tour failed: " + std::to_string(failed) + " steps failed") << " after "
              << (clock.now() - startedAt) / 1'000 << " s" << std::endl;
    if (!once) {
        printCommands(site);
        waitForInterrupt();
    }
    return failed == 0 ? 0 : 1;
}
