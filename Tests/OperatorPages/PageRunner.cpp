#include "PageRunner.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace OperatorPages
{

namespace
{

constexpr AK::Milliseconds eventLimitMs = 60'000;
const std::string assistant = "bench-assistant";
// Prefix of the addresses on the pages; it replaces the network of the test site in the output.
const std::string shownPrefix = "10.0.0.";

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

} // namespace

Harness::SitePlan pageSitePlan()
{
    Harness::SitePlan plan;
    plan.binFolder = CATKINLINK_BIN;
    plan.versions = 3;
    plan.services = {
        {assistant, true, 3},
        {"order-desk",
         false,
         2,
         {{{"method", "POST"}, {"path", "/shipments"}, {"repeatable", false}}, {{"method", "GET"}, {"path", "/stock"}, {"repeatable", true}}}},
    };
    // With a shorter timeout, a process that is only slow on a loaded machine is shown as suspect.
    plan.timing = {{"rpc_timeout_ms", 5'000}};
    plan.entrySettings = {{"address_ttl_ms", 1'000}, {"propagation_ms", 1'000}};
    plan.agentSettings = {{"ramp_step_ms", 200}};
    plan.engineFlags = {"--token-ms", "2", "--load-ms", "50", "--cold-ms", "500"};
    return plan;
}

PageRunner::PageRunner()
    : site(pageSitePlan())
    , folder(this->site.folder() + "/operator")
{
}

absl::Status PageRunner::prepare(bool configured)
{
    CATKINLINK_TRY(this->site.start());
    CATKINLINK_TRY(this->writeFiles());
    if (!configured) {
        return absl::OkStatus();
    }
    CATKINLINK_TRY(this->site.applyInitial());
    return this->site.waitServing(assistant, "1", eventLimitMs);
}

absl::Status PageRunner::writeFiles()
{
    std::error_code problem;
    std::filesystem::create_directories(this->folder, problem);
    std::filesystem::copy(CATKINLINK_SOURCE "/docs/operators/example", this->folder + "/example", problem);
    if (problem) {
        return absl::InternalError(AK::concat("cannot copy docs/operators/example to ", this->folder, ": ", problem.message()));
    }
    std::ofstream(this->folder + "/operator.key") << this->site.operatorKey() << "\n";
    std::ofstream(this->folder + "/account.key") << this->site.accountKey(1) << "\n";
    std::ofstream(this->folder + "/base.json") << this->site.initialDocument().dump(2) << "\n";
    std::ofstream(this->folder + "/site.json") << R"({"accounts": {"account-1": {"weight": 3}}})"
                                               << "\n";
    std::ofstream(this->folder + "/mistake.json") << R"({"accounts": {"exports": {"weight": "many"}}})"
                                                  << "\n";
    std::ofstream(this->folder + "/changes.json") << R"({"accounts": {"kiosk": {"weight": 2}}, "upstreams": {"ledger-1": {"in_service": false}}})"
                                                  << "\n";
    std::ofstream(this->folder + "/shipment.json") << R"({"order": 4711})"
                                                   << "\n";
    return absl::OkStatus();
}

std::string PageRunner::run(const Step &step)
{
    if (step.kind == StepKind::Run) {
        return this->runScript(step);
    }
    const absl::Status status = this->runAction(step.text);
    return status.ok() ? "" : AK::concat("site: ", step.text, ": ", status.message());
}

absl::Status PageRunner::runAction(const std::string &action)
{
    std::istringstream words(action);
    std::string actionName;
    std::string name;
    std::string value;
    words >> actionName >> name >> value;
    if (actionName == "store") {
        return this->setFault(this->site.objectApi(), name == "up" ? "none" : name);
    }
    if (actionName == "weights") {
        return this->setFault(this->site.weightStore(), name == "up" ? "none" : name);
    }
    if (actionName == "fault") {
        for (const std::string &agent : this->site.agents(name)) {
            CATKINLINK_TRY(this->setFault(this->site.upstreamAddress(agent), value));
        }
        return absl::OkStatus();
    }
    if (actionName == "serving") {
        return this->site.waitServing(assistant, name, eventLimitMs);
    }
    if (actionName == "alive") {
        return this->waitForAliveMembers(AK::parseInteger(name).value_or(0));
    }
    if (actionName == "stop") {
        return this->stop(name);
    }
    if (actionName == "start") {
        this->site.startDaemon(name);
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError("unknown action");
}

absl::Status PageRunner::setFault(const AK::Endpoint &target, const std::string &mode)
{
    return Harness::postJson(target, "/fake/fault", {{"mode", mode}}).status();
}

absl::Status PageRunner::waitForAliveMembers(int64_t members)
{
    const bool reached = Harness::waitUntil(eventLimitMs, [&] {
        const auto status = this->site.status(this->site.entryAddress(1));
        const nlohmann::json list = status.ok() ? (*status)["members"] : nlohmann::json::array();
        return std::ranges::count_if(list, [](const nlohmann::json &member) { return member.value("status", "") == "alive"; }) == members;
    });
    return reached ? absl::OkStatus()
                   : absl::DeadlineExceededError(AK::concat("entry-1 did not show ", members, " members as alive within ", eventLimitMs, " ms"));
}

absl::Status PageRunner::stop(const std::string &process)
{
    this->site.process(process).signal(SIGTERM);
    const std::optional<int> status = this->site.process(process).wait(eventLimitMs);
    if (status != 0) {
        return absl::InternalError(AK::concat(process, " exited with ", status.value_or(-1)));
    }
    const bool removed = Harness::waitUntil(eventLimitMs, [&] {
        const auto members = this->site.status(this->site.entryAddress(1));
        const nlohmann::json list = members.ok() ? (*members)["members"] : nlohmann::json::array();
        return members.ok() && std::ranges::none_of(list, [&](const nlohmann::json &member) {
                   const std::string state = member.value("status", "");
                   return member.value("name", "") == process && (state == "alive" || state == "suspect");
               });
    });
    return removed ? absl::OkStatus()
                   : absl::DeadlineExceededError(AK::concat("entry-1 still lists ", process, " as alive or suspect after ", eventLimitMs, " ms"));
}

std::string PageRunner::networkPrefix() const
{
    const std::string host = this->site.entryAddress(1).host;
    return host.substr(0, host.rfind('.') + 1);
}

std::string PageRunner::runScript(const Step &step)
{
    const std::string prelude = AK::concat("cd '", this->folder, "'; exec 2>&1; PATH='", this->site.plan().binFolder, "':$PATH; set -e\n",
                                           "ENTRY=", this->site.entryAddress(1).text(), " SECOND_ENTRY=", this->site.entryAddress(2).text(),
                                           " KEY_FILE=operator.key ACCOUNT_KEY_FILE=account.key WEIGHT_STORE=", this->site.weightStore().text(), "\n");
    Harness::CommandResult result = Harness::runCommand("/bin/sh", {"-c", prelude + step.text}, this->folder + "/shell.log");
    replaceAll(result.output, this->networkPrefix(), shownPrefix);
    // Shows the actual output to the author of a page.
    if (std::getenv("CATKINLINK_PRINT_PAGES") != nullptr) {
        std::cout << "$ " << step.text << result.output << "(exit code " << result.status << ")\n";
    }
    if (result.status != step.exitCode) {
        return AK::concat("exit code ", result.status, ", expected ", step.exitCode, ":\n", result.output);
    }
    const std::string difference = step.output.empty() ? "" : compareOutput(step.output, result.output);
    return difference.empty() ? "" : AK::concat(difference, ":\n", result.output);
}

} // namespace OperatorPages
