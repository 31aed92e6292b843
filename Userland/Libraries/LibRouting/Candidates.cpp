#include <LibRouting/Candidates.h>

namespace LibRouting
{

namespace
{

const LibSettings::WeightsTarget *servedTarget(const LibSettings::ServiceSpec &spec, const LibMembership::Member &member)
{
    if (member.servingState == LibMembership::ServingState::None || member.servingState == LibMembership::ServingState::Loading) {
        return nullptr;
    }
    if (member.weightsRoot.empty()) {
        return nullptr;
    }
    for (const auto *target : {&spec.target, &spec.previous}) {
        if (target->has_value() && (*target)->root == member.weightsRoot) {
            return &**target;
        }
    }
    return nullptr;
}

} // namespace

std::vector<Candidate> candidatesOf(const LibConfiguration::Configuration &configuration, const std::vector<LibMembership::Member> &members,
                                    const std::string &service, AK::Milliseconds wallTime)
{
    std::vector<Candidate> result;
    const auto spec = configuration.site.services.find(service);
    if (spec == configuration.site.services.end()) {
        return result;
    }
    for (const auto &member : members) {
        const auto upstream = configuration.site.upstreams.find(member.name);
        if (member.role != LibSettings::ProcessRole::Agent || member.status != LibMembership::MemberStatus::Alive
            || upstream == configuration.site.upstreams.end() || upstream->second.service != service
            || !LibConfiguration::upstreamAllowed(configuration, member.name, wallTime)) {
            continue;
        }
        Candidate candidate{member.name, member.rpcAddress, member.region, upstream->second.failureDomain, {}, {}, std::nullopt};
        if (spec->second.kind == LibSettings::UpstreamKind::Engine) {
            const LibSettings::WeightsTarget *target = servedTarget(spec->second, member);
            if (target == nullptr) {
                continue;
            }
            candidate.weightsRoot = target->root;
            candidate.version = target->version;
        }
        result.push_back(std::move(candidate));
    }
    return result;
}

} // namespace LibRouting
