#pragma once

#include <AK/Random.h>
#include <Kernel/Service.h>
#include <LibLog/Logger.h>
#include <LibMembership/ExchangeObserver.h>
#include <LibMembership/MemberTable.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibObjectStore/ObjectStore.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWire/RpcConnection.h>
#include <LibWire/RpcServer.h>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>
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
    void reportUnreachable(const std::string &name) override;
    size_t exchangeWithAll(AK::Milliseconds timeout) override;

    void exchange(Wire::ExchangeRequest::Reader request, Wire::ExchangeReply::Builder reply) override;

private:
    using ExchangeResponse = capnp::Response<Wire::Node::ExchangeResults>;

    /// An exchange whose reply has not been read.
    struct PendingExchange {
        std::string expected;
        bool wantFull = false;
        std::unique_ptr<LibWire::RpcConnection> connection;
        kj::Promise<ExchangeResponse> reply = nullptr;
    };

    std::unique_ptr<PendingExchange> send(const AK::Endpoint &target, const std::string &expected, bool wantFull, AK::Milliseconds timeout);
    bool receive(PendingExchange &pending, AK::Milliseconds timeout);
    /// Returns how many answered.
    size_t exchangeWithEach(const std::vector<Member> &targets, AK::Milliseconds timeout);
    /// After a full table arrived: spreads again what the peer did not know.
    void spreadMissingLocked(const std::map<std::string, Member> &peerRecords);
    void gossipLoop();
    void gossipOnce();
    void pushLoop();
    void hostListLoop();
    void join();
    void joinThroughHostList();
    std::optional<AK::Endpoint> unknownSeedLocked();
    bool knownLocked(const std::string &host) const;
    std::vector<AK::Endpoint> applyHostListLocked(const std::vector<LibObjectStore::HostEntry> &hosts);
    void readHostList();
    void applyHostStateLocked(TableEntry &entry, bool leaving);
    /// One exchange; `expected` is the name of the member at the address, empty when it is not known.
    bool exchangeWith(const AK::Endpoint &target, const std::string &expected, bool wantFull, AK::Milliseconds timeout);
    void probe(const Member &member);
    void noteProbeFailed(const std::string &name);
    void mergeLocked(const Member &incoming);
    void refuteLocked(const Member &incoming);
    void requestPushLocked(bool everybody);
    bool waitStopped(AK::Milliseconds duration);
    template <typename Builder>
    void fillLocked(Builder message, const std::vector<Member> &updates);

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibWire::RpcIdentity identity;
    LibObjectStore::HostList &hostList;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger{"membership"};
    ExchangeObserver *observer = nullptr;

    mutable std::mutex mutex;
    std::condition_variable changed;
    MemberTable table;
    AK::Random random;
    AK::Milliseconds startedAt;
    std::set<std::string> unreachable;
    bool pushWanted = false;
    bool pushToAll = false;
    bool leavingByHostList = false;
    bool stopping = false;
    int unequalHashes = 0;
    AK::Milliseconds lastFull = 0;
    std::thread gossiper;
    std::thread pusher;
    std::thread hostReader;
};

} // namespace LibMembership
