#pragma once

#include <Kernel/Service.h>
#include <LibConfiguration/Applier.h>
#include <LibConfiguration/PauseDetector.h>
#include <LibConfiguration/PeerRevisions.h>
#include <LibLog/Logger.h>
#include <LibMembership/ExchangeObserver.h>
#include <LibMembership/MembershipView.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibWire/RpcConnection.h>
#include <LibWire/RpcServer.h>
#include <deque>
#include <thread>

namespace LibConfiguration
{

/// How far a restriction has spread.
struct RestrictionSpread {
    std::string id;
    /// Processes that confirmed it, this one included.
    size_t inForceOn = 0;
    /// Processes that are not dead, this one included.
    size_t members = 0;
};

/// Keeps the newest revision: one thread watches the store when this process is a designated watcher, one exchanges revisions with peers.
/// The daemon hands it to MembershipService::setObserver().
class ConfigurationService final : public Kernel::Service, public ConfigurationView, public LibWire::RevisionHandler, public LibMembership::ExchangeObserver
{
public:
    ConfigurationService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibObjectStore::ObjectStore &store,
                         LibMembership::MembershipView &membership, LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics);
    ~ConfigurationService() override;

    std::string_view name() const override;
    absl::Status start() override;
    void drain() override;
    /// Blocks until the watch in flight has returned, at most 5 s.
    void stop() override;

    std::shared_ptr<const Configuration> current() const override;
    std::shared_ptr<const Configuration> waitForChange(const std::shared_ptr<const Configuration> &seen, AK::Milliseconds timeout) const override;

    uint64_t offerRevision(uint64_t revision, std::string_view document) override;
    std::pair<uint64_t, std::string> fetchRevision() override;

    void peerRevision(const AK::Endpoint &peer, uint64_t revision) override;
    std::vector<LibMembership::CarriedRestriction> carriedRestrictions() const override;
    bool restrictionsReceived(const std::vector<LibMembership::CarriedRestriction> &restrictions) override;

    /// Changes the configuration of the site.
    ApplyOutcome apply(const ApplyRequest &request);

    /// Puts a provisional restriction in force here and at the members that answer at once.
    /// Errors: kInvalidArgument when it names no target or two, or lives longer than two hours.
    absl::StatusOr<RestrictionSpread> restrict(const Restriction &restriction);

private:
    void watchLoop();
    /// One watch or read. Returns whether the store answered something useful.
    bool watchOnce(uint64_t &version);
    void peerLoop();
    /// Asks the store's candidate and the peers for the first revision of this process and takes the greatest.
    void bootstrapOnce();
    void waitBootstrapped();
    void fetchFrom(const std::vector<AK::Endpoint> &peers);
    /// Takes a revision from the store or a push; before the first one it is only remembered, because the store may be stale.
    void receive(const std::string &text, std::string_view source);
    /// Takes a revision and, when it is new, publishes its number and has it pushed.
    void take(const std::string &text, std::string_view source);
    void announce(std::string_view source);
    bool waitStopped(AK::Milliseconds duration);

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibObjectStore::ObjectStore &store;
    LibMembership::MembershipView &membership;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger{"configuration"};
    RevisionHolder holder;
    Applier applier;
    PeerRevisions peerRevisions;
    PauseDetector pauses;

    std::mutex mutex;
    std::condition_variable wake;
    std::deque<AK::Endpoint> fetchQueue;
    uint64_t pushedRevision = 0;
    uint64_t announcedRevision = 0;
    /// The greatest revision received before the first one is taken, with its source.
    LibSettings::Revision candidate;
    std::string candidateText;
    std::string candidateSource;
    bool candidateNew = false;
    int bootstrapRounds = 0;
    bool started = false;
    bool draining = false;
    bool stopping = false;
    std::thread watcher;
    std::thread peers;
};

} // namespace LibConfiguration
