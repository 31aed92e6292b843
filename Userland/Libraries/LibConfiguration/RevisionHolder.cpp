#include <LibConfiguration/RevisionHolder.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <chrono>

namespace LibConfiguration
{

namespace
{

// Bounds the size of exchanges with peers when a faulty operator script creates many restrictions.
constexpr size_t restrictionCountLimit = 256;
constexpr size_t restrictionIdLimit = 64;
// Largest expected difference between the wall clocks of two hosts.
constexpr AK::Milliseconds clockSkewMs = 60'000;

} // namespace

RevisionHolder::RevisionHolder(std::string site, const AK::Clock &clock)
    : site(std::move(site))
    , clock(clock)
{
}

std::shared_ptr<const Configuration> RevisionHolder::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->inForce;
}

std::shared_ptr<const Configuration> RevisionHolder::waitForChange(const std::shared_ptr<const Configuration> &seen, AK::Milliseconds timeout) const
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, std::chrono::milliseconds(timeout), [&] { return this->waitingDisabled || this->inForce != seen; });
    return this->inForce;
}

uint64_t RevisionHolder::revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->inForce ? this->inForce->revision.number : 0;
}

std::pair<uint64_t, std::string> RevisionHolder::serialized() const
{
    const std::lock_guard lock(this->mutex);
    return {this->inForce ? this->inForce->revision.number : 0, this->text};
}

absl::StatusOr<bool> RevisionHolder::install(const std::string &text)
{
    CATKINLINK_ASSIGN(LibSettings::Revision revision, LibSettings::parseRevision(text));
    if (revision.number <= this->revision()) {
        return false;
    }
    CATKINLINK_ASSIGN(LibSettings::SiteDocument document, LibSettings::parseSiteDocument(revision.document));
    if (document.site != this->site) {
        return absl::InvalidArgumentError(
            AK::concat("revision ", revision.number, ": /document/site is \"", document.site, "\", this is \"", this->site, "\""));
    }
    const std::lock_guard lock(this->mutex);
    if (this->inForce && revision.number <= this->inForce->revision.number) {
        return false;
    }
    for (const std::string &id : document.settledRestrictions) {
        this->activeRestrictions.erase(id);
        this->settledUntil[id] = this->clock.wallTime() + maxRestrictionLifetimeMs + clockSkewMs;
    }
    this->text = text;
    this->inForce = std::make_shared<const Configuration>(Configuration{std::move(revision), std::move(document), this->activeRestrictions});
    this->changed.notify_all();
    return true;
}

void RevisionHolder::publishLocked()
{
    if (this->inForce) {
        this->inForce = std::make_shared<const Configuration>(Configuration{this->inForce->revision, this->inForce->site, this->activeRestrictions});
        this->changed.notify_all();
    }
}

bool RevisionHolder::isAcceptable(const Restriction &restriction, AK::Milliseconds wallTime) const
{
    const bool hasOneTarget = restriction.failureDomain.empty() != restriction.upstream.empty();
    const bool hasValidExpiry = restriction.expiresAt > wallTime && restriction.expiresAt <= wallTime + maxRestrictionLifetimeMs + clockSkewMs;
    const bool hasValidId = !restriction.id.empty() && restriction.id.size() <= restrictionIdLimit;
    return hasOneTarget && hasValidExpiry && hasValidId && !this->settledUntil.contains(restriction.id) && !this->activeRestrictions.contains(restriction.id)
        && this->activeRestrictions.size() < restrictionCountLimit;
}

bool RevisionHolder::restrict(const std::vector<Restriction> &restrictions)
{
    const std::lock_guard lock(this->mutex);
    const AK::Milliseconds wallTime = this->clock.wallTime();
    bool added = false;
    for (const Restriction &restriction : restrictions) {
        if (this->isAcceptable(restriction, wallTime)) {
            this->activeRestrictions.emplace(restriction.id, restriction);
            added = true;
        }
    }
    if (added) {
        this->publishLocked();
    }
    return added;
}

std::vector<Restriction> RevisionHolder::restrictions() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Restriction> all;
    for (const auto &[id, restriction] : this->activeRestrictions) {
        all.push_back(restriction);
    }
    return all;
}

void RevisionHolder::removeExpired()
{
    const std::lock_guard lock(this->mutex);
    const AK::Milliseconds wallTime = this->clock.wallTime();
    std::erase_if(this->settledUntil, [wallTime](const auto &item) { return item.second <= wallTime; });
    if (std::erase_if(this->activeRestrictions, [wallTime](const auto &item) { return item.second.expiresAt <= wallTime; }) > 0) {
        this->publishLocked();
    }
}

void RevisionHolder::wake()
{
    const std::lock_guard lock(this->mutex);
    this->waitingDisabled = true;
    this->changed.notify_all();
}

} // namespace LibConfiguration
