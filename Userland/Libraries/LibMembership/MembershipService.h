#pragma once

#include <Kernel/Service.h>
#include <LibMembership/ExchangeObserver.h>
#include <LibMembership/HostListReader.h>
#include <LibMembership/MemberExchange.h>
#include <LibMembership/SharedTable.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibObjectStore/ObjectStore.h>
#include <LibSettings/ProcessSettings.h>
#include <thread>

namespace LibMembership
{

/// Keeps the table of members by gossip. Three threads: one for exchanges and probes, one for urgent changes, so that a peer that stalls an exchange does not
/// delay them, and one for the host list, so that a slow object API delays neither.
class MembershipService final : public Kernel::Service, public MembershipView, public LibWire::MembershipHandler
{
public:
    MembershipService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibWire::RpcIdentity identity, LibObjectStore::HostList &hostList,
                      LibMetrics::MetricRegistry &metrics);
    ~MembershipService() override;

    /// Must be called before start(); the observer must outlive the service's threads.
    void setObserver(ExchangeObserver *observer);

    std::string_view name() const override;
    absl::Status start() override;
    void stop() override;

    std::vector<Member> members() const override;
    std::optional<Member> find(const std::string &name) const override;
    uint64_t changeCount() const override;
    void updateSelf(const std::function<void(Member &)> &change) override;
    /// Publishes that this process leaves. The host list does not withdraw this.
    void announceLeaving();
    void reportUnreachable(const std::string &name) override;
    size_t exchangeWithAll(AK::Milliseconds timeout) override;

    void exchange(Wire::ExchangeRequest::Reader request, Wire::ExchangeReply::Builder reply) override;

private:
    void gossipLoop();
    void gossipOnce();
    void pushLoop();
    void join();

    const LibSettings::ProcessSettings &settings;
    LibMetrics::MetricRegistry &metrics;
    SharedTable table;
    MemberExchange exchanges;
    HostListReader hostListReader;
    std::thread gossiper;
    std::thread pusher;
    std::thread hostReader;
};

} // namespace LibMembership
