#include "RolloutProgress.h"

#include "EntryClient.h"
#include <AK/Text.h>
#include <LibSettings/SiteDocument.h>
#include <LibWeights/Wave.h>
#include <algorithm>

namespace Catkinlink
{

namespace
{

const RolloutHost *findHost(const RolloutProgress &progress, const std::string &name)
{
    const auto found = std::ranges::find_if(progress.hosts, [&](const RolloutHost &host) { return textIn(host.member, "name") == name; });
    return found == progress.hosts.end() ? nullptr : &*found;
}

std::vector<LibWeights::WaveMember> waveMembers(const RolloutProgress &progress, const std::vector<std::string> &upstreams)
{
    std::vector<LibWeights::WaveMember> members;
    for (const std::string &name : upstreams) {
        const RolloutHost *host = findHost(progress, name);
        if (host == nullptr) {
            members.push_back({name, false, "", 0, 0});
        } else {
            members.push_back({name, true, textIn(host->member, "weights_root"), static_cast<uint32_t>(numberIn(host->member, "calls_since_switch")),
                               static_cast<uint32_t>(numberIn(host->member, "errors_since_switch"))});
        }
    }
    return members;
}

std::string describeErrors(const RolloutProgress &progress, double limit)
{
    uint64_t calls = 0;
    uint64_t errors = 0;
    for (const RolloutHost &host : progress.hosts) {
        calls += host.servesTarget ? numberIn(host.member, "calls_since_switch") : 0;
        errors += host.servesTarget ? numberIn(host.member, "errors_since_switch") : 0;
    }
    return AK::concat(errors, " of ", calls, " calls failed on the hosts that switched; max_error_share is ", nlohmann::json(limit).dump());
}

// Why no further host switches, or empty. Applies the rule of the agents, LibWeights::maySwitch(), to the member states that the entry has received.
std::string findStopReason(const RolloutProgress &progress, const LibSettings::SiteDocument &document, const std::string &service)
{
    const LibSettings::ServiceSpec &spec = document.services.at(service);
    std::vector<std::string> upstreams;
    for (const auto &[name, upstream] : document.upstreams) {
        if (upstream.service == service) {
            upstreams.push_back(name);
        }
    }
    const std::vector<LibWeights::WaveMember> members = waveMembers(progress, upstreams);
    for (const RolloutHost &host : progress.hosts) {
        if (host.servesTarget) {
            continue;
        }
        const bool switchesNext =
            spec.previous ? LibWeights::maySwitch(textIn(host.member, "name"), progress.targetRoot, members, spec.rollout) : !spec.rollout.paused;
        if (switchesNext || textIn(host.member, "serving_state") != "ready") {
            return {};
        }
    }
    return spec.rollout.paused ? "it is paused" : describeErrors(progress, spec.rollout.maxErrorShare);
}

} // namespace

bool RolloutProgress::done() const
{
    return !this->hosts.empty() && this->serving == this->hosts.size();
}

RolloutProgress rolloutProgress(const nlohmann::json &status, const nlohmann::json &document, const std::string &service)
{
    RolloutProgress progress;
    const auto site = LibSettings::parseSiteDocument(document);
    if (!site.ok() || !site->services.contains(service) || !site->services.at(service).target) {
        return progress;
    }
    const LibSettings::ServiceSpec &spec = site->services.at(service);
    progress.targetVersion = spec.target->version;
    progress.targetRoot = spec.target->root;
    for (const nlohmann::json &member : listIn(status, "members")) {
        if (textIn(member, "service") != service || !isLive(member)) {
            continue;
        }
        const std::string root = textIn(member, "weights_root");
        // The member record has a target root only until the host serves it, so the root of the weights that it serves is compared.
        const bool serves = root == progress.targetRoot && textIn(member, "serving_state") == "serving";
        const bool previous = spec.previous && root == spec.previous->root;
        progress.hosts.push_back({member, serves ? spec.target->version : previous ? spec.previous->version : "", serves});
        progress.serving += serves ? 1 : 0;
    }
    std::ranges::sort(progress.hosts, {}, [](const RolloutHost &host) { return textIn(host.member, "name"); });
    for (const auto &[name, upstream] : site->upstreams) {
        if (upstream.service == service && findHost(progress, name) == nullptr) {
            progress.missing.push_back(name);
        }
    }
    if (!progress.done() && !progress.hosts.empty()) {
        progress.stopReason = findStopReason(progress, *site, service);
    }
    return progress;
}

} // namespace Catkinlink
