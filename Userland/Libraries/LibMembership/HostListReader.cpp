#include <LibMembership/HostListReader.h>

#include <LibMembership/Watchers.h>
#include <algorithm>

namespace LibMembership
{

namespace
{

// Maximum number of hosts of the host list that one attempt to join contacts.
constexpr size_t hostsPerJoin = 8;

} // namespace

HostListReader::HostListReader(const LibSettings::ProcessSettings &settings, LibObjectStore::HostList &hostList, SharedTable &table, MemberExchange &exchanges)
    : settings(settings)
    , hostList(hostList)
    , table(table)
    , exchanges(exchanges)
{
}

void HostListReader::join()
{
    auto hosts = this->hostList.hosts(this->settings.timing.storeTimeoutMs);
    if (!hosts.ok()) {
        return;
    }
    AK::Random order = AK::seededFromSystem();
    std::shuffle(hosts->begin(), hosts->end(), order);
    hosts->resize(std::min(hosts->size(), hostsPerJoin));
    for (const LibObjectStore::HostEntry &host : *hosts) {
        // Every process listens on the same port of its own host.
        const AK::Endpoint target{host.address, this->settings.rpcAddress.port};
        if (host.state == LibObjectStore::HostState::Live && target != this->settings.rpcAddress
            && this->exchanges.exchangeWith(target, "", true, this->settings.timing.rpcTimeoutMs)) {
            return;
        }
    }
}

void HostListReader::readOnce()
{
    const auto hosts = this->hostList.hosts(this->settings.timing.storeTimeoutMs);
    if (!hosts.ok()) {
        return;
    }
    for (const AK::Endpoint &target : this->table.applyHostList(*hosts)) {
        this->exchanges.exchangeWith(target, "", true, this->settings.timing.rpcTimeoutMs);
    }
}

void HostListReader::run()
{
    while (!this->table.waitStopped(this->settings.timing.hostListIntervalMs)) {
        if (this->table.markedByHostList() || isWatcher(this->table.members(), this->settings.name)) {
            this->readOnce();
        }
    }
}

} // namespace LibMembership
