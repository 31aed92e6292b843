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

/// How many processes have a restriction in force.
struct RestrictionSpread {
    std::string id;
    /// Number of processes that confirmed it, including this one.
    size_t inForceOn = 0;
    /// Number of members that are not dead, including this process.
    size_t members = 0;
};

/// Keeps the newest revision in force: one thread watches the store while this process is a designated watcher, another exchanges revisions with peers.
/// The daemon registers it with MembershipService::setObserver().
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

    /// Puts an emergency restriction in force in this process and in the members that respond within the RPC timeout.
    /// Errors: kInvalidArgument when it does not name exactly one target, is expired, settled or already active, expires in more than two hours, or too many
    /// restrictions are active.
    absl::StatusOr<RestrictionSpread> restrict(const Restriction &restriction);

private:
    void watchLoop();
    /// Watches the store once for a version newer than `version`. Returns false when the next watch must be delayed: the store failed, or returned early
    /// without a newer version.
    bool watchOnce(uint64_t &version);
    void peerLoop();
    /// Asks peers for the first revision of this process and installs the greatest of theirs and the candidate.
    void bootstrapRound();
    /// Blocks until the first bootstrap round is done, for at most the store timeout.
    void waitForBootstrap();
    void fetchFrom(const std::vector<AK::Endpoint> &peers);
    /// Handles a revision from the store or a peer. Before the first one is in force it is only kept as the candidate, because the store may be stale.
    void receive(const std::string &text, std::string_view source);
    /// Puts a revision in force and announces it when it is new; counts and logs it when it is invalid.
    void install(const std::string &text, std::string_view source);
    /// Logs and publishes the number of the revision in force and has it pushed to peers.
    void announce(std::string_view source);
    /// Blocks until draining starts or `duration` ms have passed. Returns whether the service is draining.
    bool waitForDrain(AK::Milliseconds duration);

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibObjectStore::ObjectStore &store;
    LibMembership::MembershipView &membership;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger{"configuration"};
    RevisionHolder holder;
    Applier applier;
    PeerRevisions peerRevisions;
    PauseDetector pauseDetector;

    std::mutex mutex;
    std::condition_variable wake;
    std::deque<AK::Endpoint> fetchQueue;
    uint64_t pushedRevision = 0;
    uint64_t announcedRevision = 0;
    /// The greatest revision received before the first one is in force, with its source.
    LibSettings::Revision candidate;
    std::string candidateText;
    std::string candidateSource;
    bool candidateChanged = false;
    int bootstrapRounds = 0;
    bool started = false;
    bool draining = false;
    bool stopping = false;
    std::thread watchThread;
    std::thread peerThread;
};

} // namespace LibConfiguration
