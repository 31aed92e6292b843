#pragma once

#include <LibMembership/MemberExchange.h>
#include <LibMembership/SharedTable.h>
#include <LibObjectStore/ObjectStore.h>
#include <LibSettings/ProcessSettings.h>

namespace LibMembership
{

/// Reads the host list: marks leaving hosts and contacts hosts that are not members.
class HostListReader
{
public:
    HostListReader(const LibSettings::ProcessSettings &settings, LibObjectStore::HostList &hostList, SharedTable &table, MemberExchange &exchanges);

    /// Reads the list every interval while this process is a watcher of its failure domain, until the table is stopped.
    void run();

    /// Joins through a live host of the list. For a process that reaches no seed.
    void join();

private:
    void readOnce();

    const LibSettings::ProcessSettings &settings;
    LibObjectStore::HostList &hostList;
    SharedTable &table;
    MemberExchange &exchanges;
};

} // namespace LibMembership
