#include "SoakRun.h"

#include <AK/Text.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace
{

enum ExitCode { Kept = 0, Broken = 1, NotRun = 2 };

using Soak::RunResult;

std::string makeFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "catkinlink-soak-XXXXXX").string();
    return mkdtemp(name.data()) == nullptr ? "" : name;
}

// The moments of the run that findings name, for a reader of the logs.
void writeRecord(const RunResult &result, const std::string &folder)
{
    std::ofstream findings(folder + "/findings.txt");
    for (const Soak::Finding &finding : result.findings) {
        findings << finding.promise << ": " << finding.text << "\n";
    }
    std::ofstream calls(folder + "/calls.txt");
    for (const Soak::Call &call : result.history.calls) {
        calls << Soak::describe(call) << "\n";
    }
    std::ofstream faults(folder + "/faults.txt");
    for (size_t i = 0; i < result.history.entries.size(); ++i) {
        for (const Soak::Interval &interval : result.history.entries[i].impaired) {
            faults << "entry-" << i + 1 << " impaired from " << interval.from << " to " << interval.until << "\n";
        }
    }
    for (const Soak::Interval &interval : result.history.impaired) {
        faults << "store or soak impaired from " << interval.from << " to " << interval.until << "\n";
    }
    for (const auto &[upstream, intervals] : result.history.linkFaults) {
        for (const Soak::Interval &interval : intervals) {
            faults << upstream << " unreachable or slow from " << interval.from << " to " << interval.until << "\n";
        }
    }
    for (const auto &[upstream, time] : result.history.leftAt) {
        faults << upstream << " leaves at " << time << "\n";
    }
    for (const Soak::ConfigurationVersion &version : result.history.configurations) {
        faults << "configuration " << version.version << " accepted at " << version.acceptedAt;
        for (const auto &[prefix, service] : version.services) {
            faults << " " << prefix << "=" << service;
        }
        faults << "\n";
    }
}

void printCounts(const Soak::History &history)
{
    std::map<std::string, int> counts;
    for (const Soak::Call &call : history.calls) {
        ++counts[AK::concat(AK::nameOf(Soak::callKindNames, call.kind), " ", AK::nameOf(Soak::callEndNames, call.end), " ", call.status)];
        const bool resumed = std::any_of(call.arrivals.begin(), call.arrivals.end(), [](const auto &arrival) { return arrival.firstEvent > 1; });
        counts["resumed streams"] += resumed ? 1 : 0;
    }
    std::cerr << "calls: " << history.calls.size() << "\n";
    for (const auto &[name, count] : counts) {
        std::cerr << "  " << name << ": " << count << "\n";
    }
    std::cerr << "faults:";
    for (const auto &[name, count] : history.faults) {
        std::cerr << " " << name << " " << count;
    }
    std::cerr << "\n";
}

int report(const RunResult &result, const Soak::RunSettings &settings, bool keep)
{
    if (!result.problem.empty()) {
        std::cerr << "soak: " << result.problem << "; logs are in " << settings.folder << "\n";
        return NotRun;
    }
    printCounts(result.history);
    constexpr size_t shown = 20;
    for (size_t i = 0; i < std::min(shown, result.findings.size()); ++i) {
        std::cerr << "BROKEN " << result.findings[i].promise << ": " << result.findings[i].text << "\n";
    }
    const bool kept = result.findings.empty();
    if (!kept || keep) {
        writeRecord(result, settings.folder);
        std::cerr << "logs are in " << settings.folder << "\n";
    } else {
        std::filesystem::remove_all(settings.folder);
    }
    std::cout << "seed " << settings.seed << ", " << settings.entries << " processes, " << result.history.calls.size() << " calls: " << result.findings.size()
              << " broken promises" << std::endl;
    return kept ? Kept : Broken;
}

int run(int argc, char **argv)
{
    constexpr double defaultMinutes = 2;
    constexpr double millisecondsPerMinute = 60'000;
    TCLAP::CmdLine command("Disturbs a site of real processes and checks its promises.", ' ', "0.1.0");
    const TCLAP::ValueArg<std::string> bin("", "bin", "folder of the programs", true, "", "FOLDER", command);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the faults; drawn and printed when missing", false, 0, "N", command);
    const TCLAP::ValueArg<double> minutes("", "minutes", "length of the run", false, defaultMinutes, "M", command);
    const TCLAP::ValueArg<size_t> processes("", "processes", "number of entry processes", false, 4, "N", command);
    const TCLAP::ValueArg<size_t> clients("", "clients", "clients for each entry process", false, 8, "N", command);
    const TCLAP::SwitchArg calm("", "no-faults", "disturb nothing", command);
    const TCLAP::SwitchArg keep("", "keep-logs", "keep the logs of a run without broken promises too", command);
    TCLAP::MultiArg<std::string> without("", "without", "leave a kind of fault out", false, "FAULT", command);
    command.parse(argc, argv);
    Soak::RunSettings settings;
    settings.seed = seed.isSet() ? seed.getValue() : std::random_device()();
    settings.duration = static_cast<AK::Milliseconds>(minutes.getValue() * millisecondsPerMinute);
    settings.entries = processes.getValue();
    settings.clientsPerEntry = clients.getValue();
    settings.faults = !calm.getValue();
    settings.without = {without.begin(), without.end()};
    for (const std::string &name : settings.without) {
        if (std::none_of(Soak::faultRows.begin(), Soak::faultRows.end(), [&](const Soak::FaultRow &row) { return row.name == name; })) {
            std::cerr << "soak: no fault is called " << name << "\n";
            return NotRun;
        }
    }
    settings.daemon = bin.getValue() + "/catkinlinkd";
    settings.folder = makeFolder();
    if (settings.folder.empty() || settings.entries == 0) {
        std::cerr << "soak: no folder for the logs, or no process\n";
        return NotRun;
    }
    std::cerr << "seed " << settings.seed << std::endl;
    return report(Soak::runSoak(settings), settings, keep.getValue());
}

} // namespace

int main(int argc, char **argv)
{
    // Connections to processes that were killed.
    (void)std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(argc, argv);
    } catch (const TCLAP::ArgException &exception) {
        std::cerr << "soak: " << exception.error() << " for " << exception.argId() << "\n";
        return NotRun;
    }
}
