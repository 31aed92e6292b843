#include <LibConfiguration/Applier.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibAudit/AuditArchive.h>
#include <LibConfiguration/Backoff.h>
#include <LibConfiguration/LastUpstream.h>

namespace LibConfiguration
{

namespace
{

constexpr const char *configurationKind = "config";
constexpr int attemptLimit = 5;
// The store accepts values of up to 1 MB; what its API accepts beyond that is left for the envelope.
constexpr size_t valueLimitBytes = 1'000'000;
constexpr size_t reasonLimit = 1'024;
constexpr size_t changeIdLimit = 64;

ApplyOutcome failure(ApplyResult result, std::string message)
{
    return {result, 0, std::move(message), std::nullopt};
}

std::string checkRequest(const ApplyRequest &request)
{
    if (request.changeId.empty() || request.changeId.size() > changeIdLimit) {
        return AK::concat("/change_id has ", request.changeId.size(), " characters, 1 to ", changeIdLimit, " are allowed");
    }
    if (request.reason.size() > reasonLimit) {
        return AK::concat("/reason has ", request.reason.size(), " characters, at most ", reasonLimit, " are allowed");
    }
    return "";
}

} // namespace

Applier::Applier(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibObjectStore::ObjectStore &store, RevisionHolder &holder)
    : settings(settings)
    , clock(clock)
    , store(store)
    , holder(holder)
{
}

absl::StatusOr<Applier::Base> Applier::readBase()
{
    // Read before the request is sent: a response is stale if it is older than the revision in force at that time. A revision that comes into force during
    // the read does not make the response stale; the conditional write detects it.
    const uint64_t inForce = this->holder.revision();
    const auto stored = this->store.get(configurationKind, this->settings.site, this->settings.timing.storeTimeoutMs);
    Base base;
    if (stored.ok()) {
        base.version = stored->version;
        CATKINLINK_ASSIGN(base.revision, LibSettings::parseRevision(stored->value));
    } else if (!absl::IsNotFound(stored.status())) {
        return stored.status();
    }
    if (base.revision.number < inForce) {
        return absl::UnavailableError(AK::concat("the store answered with revision ", base.revision.number, ", but ", inForce, " is in force"));
    }
    if (stored.ok()) {
        CATKINLINK_TRY(this->holder.install(stored->value).status());
    }
    return base;
}

std::optional<ApplyOutcome> Applier::outcomeFrom(const Base &base, const ApplyRequest &request) const
{
    if (const auto entry = LibAudit::findChange(base.revision.audit, request.changeId)) {
        if (entry->digestAfter == LibSettings::documentDigest(request.document)) {
            return ApplyOutcome{ApplyResult::Accepted, entry->revisionAfter, "", std::nullopt};
        }
        return failure(ApplyResult::Invalid, AK::concat("/change_id ", request.changeId, " was used for another document in revision ", entry->revisionAfter));
    }
    if (base.revision.number != request.expectedRevision) {
        return ApplyOutcome{ApplyResult::Conflict, 0, AK::concat("revision ", base.revision.number, " is in force, expected ", request.expectedRevision),
                            LibAudit::lastEntry(base.revision.audit)};
    }
    return std::nullopt;
}

absl::StatusOr<std::string> Applier::makeRevision(const Base &base, const ApplyRequest &request)
{
    LibSettings::Revision next;
    next.number = base.revision.number + 1;
    next.changeId = request.changeId;
    next.digest = LibSettings::documentDigest(request.document);
    next.document = request.document;
    next.audit = base.revision.audit;
    LibAudit::AuditEntry entry;
    entry.changeId = request.changeId;
    entry.author = request.author;
    entry.reason = request.reason;
    entry.atMs = this->clock.wallTime();
    entry.revisionBefore = base.revision.number;
    entry.revisionAfter = next.number;
    entry.digestBefore = base.revision.digest;
    entry.digestAfter = next.digest;
    CATKINLINK_TRY(LibAudit::appendEntry(next.audit, std::move(entry)));
    CATKINLINK_TRY(LibAudit::archiveOldest(this->store, this->settings.site, next.audit, this->settings.timing.storeTimeoutMs));
    return LibSettings::serializeRevision(next);
}

absl::StatusOr<uint64_t> Applier::write(const Base &base, const std::string &value)
{
    const AK::Milliseconds timeout = this->settings.timing.storeTimeoutMs;
    return base.version == 0 ? this->store.create(configurationKind, this->settings.site, value, timeout)
                             : this->store.replace(configurationKind, this->settings.site, base.version, value, timeout);
}

ApplyOutcome Applier::writeAndResolve(const Base &base, const ApplyRequest &request, const std::string &value)
{
    AK::Random random = AK::seededFromSystem();
    AK::Milliseconds wait = 0;
    bool mayBeInEffect = false;
    std::string lastError;
    for (int attempt = 0; attempt < attemptLimit; ++attempt) {
        // Repeating the write is safe: it is conditional on the version, so it takes effect at most once.
        const absl::StatusOr<uint64_t> written = this->write(base, value);
        if (written.ok()) {
            // The result is ignored: the write took effect even if this process has already received a later revision.
            (void)this->holder.install(value);
            return {ApplyResult::Accepted, base.revision.number + 1, "", std::nullopt};
        }
        lastError = std::string(written.status().message());
        const bool noEffect = !LibObjectStore::mayHaveTakenEffect(written.status());
        mayBeInEffect = mayBeInEffect || !noEffect;
        if (noEffect && !mayBeInEffect && !absl::IsFailedPrecondition(written.status())) {
            return failure(absl::IsInvalidArgument(written.status()) ? ApplyResult::Invalid : ApplyResult::StoreUnreachable, lastError);
        }
        if (const absl::StatusOr<Base> latest = this->readBase(); latest.ok() && latest->revision.number > base.revision.number) {
            if (auto outcome = this->outcomeFrom(*latest, request)) {
                return *std::move(outcome);
            }
        }
        wait = nextBackoff({.minimum = 50, .maximum = 1'000}, wait, random);
        this->clock.sleep(wait);
    }
    return failure(mayBeInEffect ? ApplyResult::Unknown : ApplyResult::StoreUnreachable, lastError);
}

ApplyOutcome Applier::apply(const ApplyRequest &request)
{
    if (const std::string problem = checkRequest(request); !problem.empty()) {
        return failure(ApplyResult::Invalid, problem);
    }
    const absl::StatusOr<LibSettings::SiteDocument> document = LibSettings::parseSiteDocument(request.document);
    if (!document.ok()) {
        return failure(ApplyResult::Invalid, std::string(document.status().message()));
    }
    if (document->site != this->settings.site) {
        return failure(ApplyResult::Invalid, AK::concat("/site is \"", document->site, "\", this is \"", this->settings.site, "\""));
    }
    const absl::StatusOr<Base> base = this->readBase();
    if (!base.ok()) {
        return failure(ApplyResult::StoreUnreachable, std::string(base.status().message()));
    }
    if (auto outcome = this->outcomeFrom(*base, request)) {
        return *std::move(outcome);
    }
    if (const auto before = this->holder.current(); before && !request.force) {
        if (const auto service = serviceLeftWithoutUpstream(*before, *document, this->clock.wallTime())) {
            return failure(ApplyResult::LastUpstream, AK::concat("the change takes out the last upstream of service \"", *service, "\""));
        }
    }
    const absl::StatusOr<std::string> value = this->makeRevision(*base, request);
    if (!value.ok()) {
        return failure(ApplyResult::StoreUnreachable, std::string(value.status().message()));
    }
    if (value->size() > valueLimitBytes) {
        return failure(ApplyResult::Invalid, AK::concat("the revision has ", value->size(), " bytes, at most ", valueLimitBytes, " are allowed"));
    }
    return this->writeAndResolve(*base, request, *value);
}

} // namespace LibConfiguration
