#include <LibMembership/MembershipService.h>

namespace LibMembership
{

namespace
{

// A push to a stalled member must not delay the others.
constexpr AK::Milliseconds pushTimeoutMs = 300;

} // namespace

MembershipService::MembershipService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibWire::RpcIdentity identity,
                                     LibObjectStore::HostList &hostList, LibMetrics::MetricRegistry &metrics)
    : settings(settings)
    , metrics(metrics)
    , table(settings, clock)
    , exchanges(this->table, clock, std::move(identity), metrics)
    , hostListReader(settings, hostList, this->table, this->exchanges)
{
}

MembershipService::~MembershipService()
{
    this->stop();
}

void MembershipService::setObserver(ExchangeObserver *observer)
{
    this->exchanges.setObserver(observer);
}

std::string_view MembershipService::name() const
{
    return "membership";
}

absl::Status MembershipService::start()
{
    this->gossiper = std::thread([this] { this->gossipLoop(); });
    this->pusher = std::thread([this] { this->pushLoop(); });
    this->hostReader = std::thread([this] { this->hostListReader.run(); });
    return absl::OkStatus();
}

void MembershipService::stop()
{
    this->table.stop();
    for (std::thread *thread : {&this->gossiper, &this->pusher, &this->hostReader}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

std::vector<Member> MembershipService::members() const
{
    return this->table.members();
}

std::optional<Member> MembershipService::find(const std::string &name) const
{
    return this->table.find(name);
}

uint64_t MembershipService::changeCount() const
{
    return this->table.changeCount();
}

void MembershipService::updateSelf(const std::function<void(Member &)> &change)
{
    this->table.updateSelf(change);
}

void MembershipService::announceLeaving()
{
    this->table.announceLeaving();
}

void MembershipService::reportUnreachable(const std::string &name)
{
    this->table.reportUnreachable(name);
}

size_t MembershipService::exchangeWithAll(AK::Milliseconds timeout)
{
    AK::Random order = AK::seededFromSystem();
    return this->exchanges.exchangeWithEach(chooseMembers(this->members(), this->settings.name, SharedTable::directPushLimit, order), timeout);
}

void MembershipService::exchange(Wire::ExchangeRequest::Reader request, Wire::ExchangeReply::Builder reply)
{
    this->exchanges.exchange(request, reply);
}

void MembershipService::join()
{
    for (const AK::Endpoint &seed : this->settings.seeds) {
        if (seed != this->settings.rpcAddress && this->exchanges.exchangeWith(seed, "", true, this->settings.timing.rpcTimeoutMs)) {
            return;
        }
    }
    this->hostListReader.join();
}

void MembershipService::gossipOnce()
{
    const AK::Milliseconds timeout = this->settings.timing.rpcTimeoutMs;
    const std::vector<Member> targets = this->table.planRound();
    if (targets.empty()) {
        this->join();
    }
    for (const Member &target : targets) {
        if (this->exchanges.exchangeWith(target.rpcAddress, target.name, this->table.wholeTableDue(), timeout)) {
            this->table.noteProbeAnswered(target.name);
        } else {
            this->table.noteProbeFailed(target.name);
        }
    }
    if (const auto seed = this->table.unknownSeed()) {
        this->exchanges.exchangeWith(*seed, "", true, timeout);
    }
    this->metrics.set("catkinlink_members", {}, static_cast<double>(this->table.size()));
}

void MembershipService::gossipLoop()
{
    this->join();
    do {
        this->gossipOnce();
    } while (this->table.waitForRound());
}

void MembershipService::pushLoop()
{
    while (const auto targets = this->table.waitForPush()) {
        this->exchanges.exchangeWithEach(*targets, pushTimeoutMs);
    }
}

} // namespace LibMembership
