#include "Steps.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <csignal>
#include <fstream>
#include <iostream>

namespace
{

using LibHttp::HttpResponse;

constexpr AK::Milliseconds stepLimitMs = 30'000;
constexpr AK::Milliseconds stopLimitMs = 60'000;
const std::string assistant = "bench-assistant";

/// One step of the tour. The check returns an error message, or an empty text when it passes.
struct Step {
    std::string title;
    std::function<std::string(Harness::Site &)> check;
};

// Runs the catkinlink command and checks its exit status and that its output contains a text. Returns an error message or an empty text.
std::string checkCommand(Harness::Site &site, const std::vector<std::string> &arguments, int expectedStatus, const std::string &expectedText = "")
{
    const std::string log = site.folder() + "/command.log";
    std::ofstream(log).close();
    const Harness::CommandResult result = Harness::runCommand(site.plan().binFolder + "/catkinlink", arguments, log);
    std::string errors((std::istreambuf_iterator<char>(*std::make_unique<std::ifstream>(log))), std::istreambuf_iterator<char>());
    const std::string text = result.output + errors;
    if (result.status != expectedStatus) {
        return AK::concat("catkinlink ", arguments.front(), " exited with ", result.status, ", expected ", expectedStatus, ": ", text);
    }
    if (text.find(expectedText) == std::string::npos) {
        return AK::concat("catkinlink ", arguments.front(), " did not print \"", expectedText, "\": ", text);
    }
    return "";
}

// Adds the flags for two entries, the operator's key and, if given, the reason.
std::vector<std::string> operatorCommand(Harness::Site &site, std::vector<std::string> arguments, const std::string &reason = "")
{
    arguments.insert(arguments.end(), {"--entry", site.entryAddress(1).text(), "--entry", site.entryAddress(2).text(), "--key-file", site.operatorKeyFile()});
    if (!reason.empty()) {
        arguments.insert(arguments.end(), {"--reason", reason});
    }
    return arguments;
}

std::string writeFile(Harness::Site &site, const std::string &name, const std::string &text)
{
    std::string path = site.folder() + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::string messageOf(const absl::Status &status)
{
    return status.ok() ? "" : std::string(status.message());
}

std::string applyBaseAndOverlay(Harness::Site &site)
{
    const std::string base = writeFile(site, "base.json", site.initialDocument().dump(2));
    const std::string overlay = writeFile(site, "site.json", R"({"accounts": {"account-1": {"weight": 3}}})");
    std::string error = checkCommand(site, {"validate", "--base", base, "--overlay", overlay}, 0);
    if (error.empty()) {
        error = checkCommand(site, operatorCommand(site, {"apply", "--base", base, "--overlay", overlay}, "first configuration"), 0);
    }
    return error.empty() ? messageOf(site.waitForRevision(1, stepLimitMs)) : error;
}

struct BadFile {
    const char *name;
    const char *overlay;
    const char *expected;
};

std::string refuseBadSettings(Harness::Site &site)
{
    static constexpr std::array<BadFile, 3> badFiles{{
        {"unknown-field.json", R"({"upstreams": {"bench-assistant-1": {"colour": "red"}}})", "/upstreams/bench-assistant-1"},
        {"wrong-type.json", R"({"accounts": {"account-1": {"weight": "three"}}})", "/accounts/account-1/weight"},
        {"unknown-host.json", R"({"upstreams": {"bench-assistant-99": {"in_service": false}}})", "/upstreams/bench-assistant-99"},
    }};
    const std::string base = site.folder() + "/base.json";
    for (const BadFile &badFile : badFiles) {
        const std::string overlay = writeFile(site, badFile.name, badFile.overlay);
        std::string error = checkCommand(site, operatorCommand(site, {"apply", "--base", base, "--overlay", overlay}, "mistake"), 3, badFile.expected);
        if (!error.empty()) {
            return error;
        }
    }
    std::string missingFileError =
        checkCommand(site, operatorCommand(site, {"apply", "--base", site.folder() + "/missing.json"}, "mistake"), 3, "missing.json");
    if (!missingFileError.empty()) {
        return missingFileError;
    }
    const auto view = site.status(site.entryAddress(1));
    return view.ok() && (*view)["revision"] == 1 ? "" : "the revision in force changed";
}

std::string checkCompletion(Harness::Site &site, int entry, const std::string &version, bool stream)
{
    const auto response = site.complete(site.entryAddress(entry), assistant, "How long does resin cure?", stream);
    if (!response.ok()) {
        return messageOf(response.status());
    }
    if (response->status != 200) {
        return AK::concat("status ", response->status, ": ", response->body);
    }
    const std::string marker = site.weightsRoot(assistant, version).substr(0, 16);
    if (response->body.find(marker) == std::string::npos) {
        return AK::concat("the response does not come from the weights of version ", version, ": ", response->body);
    }
    if (stream && response->body.find("data: [DONE]") == std::string::npos) {
        return "the stream does not contain its end marker \"data: [DONE]\"";
    }
    return "";
}

std::string checkAddresses(Harness::Site &site)
{
    const auto response = Harness::getJson(site.entryAddress(2), "/v1/addresses", {{"authorization", "Bearer " + site.accountKey(1)}});
    if (!response.ok()) {
        return messageOf(response.status());
    }
    const auto entries = response->find("entries");
    if (entries == response->end() || entries->size() != static_cast<size_t>(site.plan().entries) || !response->contains("ttl_ms")) {
        return "unexpected response: " + response->dump();
    }
    return "";
}

std::string rollOut(Harness::Site &site)
{
    const std::string error = checkCommand(site,
                                           operatorCommand(site,
                                                           {"rollout", "start", assistant, "--model", "glue-line", "--adapter", "base", "--weights-version",
                                                            "2", "--weight-store", site.weightStore().text()},
                                                           "new cure notes"),
                                           0);
    return error.empty() ? messageOf(site.waitServing(assistant, "2", stepLimitMs)) : error;
}

std::string takeDomainOut(Harness::Site &site)
{
    std::string error = checkCommand(site, operatorCommand(site, {"domain", "out", "cusco"}, "switch maintenance"), 0);
    if (!error.empty()) {
        return error;
    }
    std::map<std::string, int64_t> before;
    for (const std::string &agent : site.agents(assistant)) {
        before[agent] = Harness::getJson(site.upstreamAddress(agent), "/fake/stats").value_or(nlohmann::json{{"calls", -1}}).value("calls", int64_t{-1});
    }
    for (int call = 0; call < 20 && error.empty(); ++call) {
        error = checkCompletion(site, call % site.plan().entries + 1, "2", false);
    }
    for (const std::string &agent : site.agents(assistant)) {
        const int64_t after = Harness::getJson(site.upstreamAddress(agent), "/fake/stats").value_or(nlohmann::json{{"calls", -1}}).value("calls", int64_t{-1});
        if (site.failureDomainOf(agent) == "cusco" && after != before[agent]) {
            error += AK::concat(agent, " in failure domain cusco, which is out of service, received ", after - before[agent], " calls");
        }
    }
    return error;
}

std::string bringDomainBack(Harness::Site &site)
{
    std::string error = checkCommand(site, operatorCommand(site, {"domain", "in", "cusco"}, "maintenance done"), 0);
    if (!error.empty()) {
        return error;
    }
    const std::string agent = assistant + "-2";
    const int64_t before = Harness::getJson(site.upstreamAddress(agent), "/fake/stats").value_or(nlohmann::json::object()).value("calls", int64_t{0});
    const bool used = Harness::waitUntil(stepLimitMs, [&] {
        for (int entry = 1; entry <= site.plan().entries; ++entry) {
            (void)site.complete(site.entryAddress(entry), assistant, "Is the rib joint dry?", false);
        }
        return Harness::getJson(site.upstreamAddress(agent), "/fake/stats").value_or(nlohmann::json::object()).value("calls", int64_t{0}) > before;
    });
    return used ? "" : agent + " receives no calls after its failure domain was put back into service";
}

std::string confirmShipmentOnce(Harness::Site &site)
{
    const LibHttp::HttpRequest request{.method = "POST",
                                       .path = "/services/order-desk/shipments/confirm",
                                       .headers = {{"authorization", "Bearer " + site.accountKey(1)}, {"idempotency-key", "order-4711"}},
                                       .body = R"({"order": 4711})"};
    for (int entry = 1; entry <= 2; ++entry) {
        const auto response = LibHttp::httpCall(site.entryAddress(entry), request, 10'000);
        if (!response.ok()) {
            return messageOf(response.status());
        }
        if (response->status != 200 || LibHttp::headerOr(response->headers, "x-catkinlink-outcome") != "done") {
            return AK::concat("entry ", entry, ": status ", response->status, ": ", response->body);
        }
    }
    int64_t executions = 0;
    for (const std::string &agent : site.agents("order-desk")) {
        executions += Harness::getJson(site.upstreamAddress(agent), "/fake/stats").value_or(nlohmann::json::object()).value("executions", int64_t{0});
    }
    return executions == 1 ? "" : AK::concat("the confirmation ran ", executions, " times");
}

std::string stopGracefully(Harness::Site &site, const std::string &name, int callingEntry)
{
    std::string error;
    site.process(name).signal(SIGTERM);
    const bool ended = Harness::waitUntil(stopLimitMs, [&] {
        error += checkCompletion(site, callingEntry, "2", false);
        return !error.empty() || !site.process(name).running();
    });
    if (!error.empty() || !ended) {
        return error.empty() ? AK::concat(name, " did not stop within ", stopLimitMs, " ms") : error;
    }
    const int status = site.process(name).wait(0).value_or(-1);
    return status == 0 ? "" : AK::concat(name, " exited with ", status);
}

std::vector<Step> tourSteps()
{
    return {
        {"base and overlay are validated and applied; revision 1 is in force on every process", applyBaseAndOverlay},
        {"bad settings are refused with the path of the field; revision 1 stays in force", refuseBadSettings},
        {"agents fetched, verified and loaded version 1",
         [](Harness::Site &site) {
             return messageOf(site.waitServing(assistant, "1", stepLimitMs));
         }},
        {"a caller asks for an address and gets every entry", checkAddresses},
        {"a complete response comes from version 1",
         [](Harness::Site &site) {
             return checkCompletion(site, 1, "1", false);
         }},
        {"a streamed response comes from version 1 and has its end marker",
         [](Harness::Site &site) {
             return checkCompletion(site, 2, "1", true);
         }},
        {"version 2 is rolled out with catkinlink rollout start", rollOut},
        {"responses come from version 2",
         [](Harness::Site &site) {
             return checkCompletion(site, 3, "2", false);
         }},
        {"failure domain cusco is out of service: 20 calls complete, none of them there", takeDomainOut},
        {"failure domain cusco is back in service and receives calls", bringDomainBack},
        {"a shipment confirmation sent twice runs once", confirmShipmentOnce},
        {"entry-4 stops gracefully while calls go on",
         [](Harness::Site &site) {
             return stopGracefully(site, "entry-4", 1);
         }},
        {"agent bench-assistant-3 stops gracefully while calls go on",
         [](Harness::Site &site) {
             return stopGracefully(site, "bench-assistant-3", 2);
         }},
        {"the audit trail verifies",
         [](Harness::Site &site) {
             return checkCommand(site, operatorCommand(site, {"audit", "verify"}), 0);
         }},
    };
}

} // namespace

Harness::SitePlan tourPlan(const std::string &binFolder)
{
    Harness::SitePlan plan;
    plan.binFolder = binFolder;
    plan.services = {
        {"bench-assistant", true, 3},
        {"order-desk",
         false,
         2,
         {{{"method", "POST"}, {"path", "/shipments/"}, {"repeatable", false}}, {{"method", "GET"}, {"path", "/stock/"}, {"repeatable", true}}}},
    };
    plan.entrySettings = {{"address_ttl_ms", 1000}, {"propagation_ms", 1000}};
    plan.agentSettings = {{"ramp_step_ms", 200}};
    plan.engineFlags = {"--token-ms", "2", "--load-ms", "50", "--cold-ms", "500"};
    return plan;
}

int runTour(Harness::Site &site)
{
    int failed = 0;
    for (const Step &step : tourSteps()) {
        const std::string error = step.check(site);
        std::cout << (error.empty() ? "ok    " : "FAIL  ") << step.title << (error.empty() ? "" : "\n      ") << error << std::endl;
        failed += error.empty() ? 0 : 1;
    }
    return failed;
}
