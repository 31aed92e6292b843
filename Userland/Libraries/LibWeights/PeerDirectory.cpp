#include <LibWeights/PeerDirectory.h>

namespace LibWeights
{

PeerDirectory findPeers(const std::string &self, const std::string &root, const LibConfiguration::Configuration &configuration,
                        const std::vector<LibMembership::Member> &members)
{
    PeerDirectory directory;
    for (const LibMembership::Member &member : members) {
        const auto service = configuration.site.services.find(member.service);
        const bool wants = service != configuration.site.services.end() && service->second.target && service->second.target->root == root;
        const bool alive = member.status == LibMembership::MemberStatus::Alive || member.name == self;
        if (member.role == LibSettings::ProcessRole::Agent && wants && alive) {
            directory.namesByRegion[member.region].push_back(member.name);
            directory.endpoints[member.name] = member.rpcAddress;
        }
    }
    return directory;
}

} // namespace LibWeights
