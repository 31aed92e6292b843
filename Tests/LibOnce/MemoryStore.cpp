#include "MemoryStore.h"

using LibObjectStore::StoredObject;

namespace
{

// Limit documented at ObjectStore::list().
constexpr size_t listLimit = 1'000;

} // namespace

absl::StatusOr<StoredObject> MemoryStore::get(const std::string & /*kind*/, const std::string &name, AK::Milliseconds /*timeout*/)
{
    const StoreFault fault = this->beforeCall ? this->beforeCall(false) : StoreFault::None;
    const auto &source = fault == StoreFault::Stale ? this->previous : this->objects;
    absl::StatusOr<StoredObject> result = absl::NotFoundError("absent");
    if (const auto found = source.find(name); found != source.end()) {
        result = found->second;
        const size_t at = this->defects.claimedLooksNotRun ? result->value.find(R"("state":"claimed")") : std::string::npos;
        if (at != std::string::npos) {
            result->value.replace(at, 17, R"("state":"not_run")");
        }
    }
    if (fault != StoreFault::None && fault != StoreFault::Stale) {
        result = absl::UnavailableError("store down");
    }
    if (this->afterCall) {
        this->afterCall();
    }
    return result;
}

absl::StatusOr<StoredObject> MemoryStore::watch(const std::string &kind, const std::string &name, uint64_t /*version*/, AK::Milliseconds wait)
{
    return this->get(kind, name, wait);
}

absl::StatusOr<std::vector<StoredObject>> MemoryStore::list(const std::string & /*kind*/, const std::string &prefix, AK::Milliseconds /*timeout*/)
{
    if (this->beforeCall && this->beforeCall(false) == StoreFault::Unavailable) {
        return absl::UnavailableError("store down");
    }
    std::vector<StoredObject> result;
    for (const auto &[name, object] : this->objects) {
        if (name.starts_with(prefix) && result.size() < listLimit) {
            result.push_back(object);
        }
    }
    return result;
}

absl::StatusOr<uint64_t> MemoryStore::create(const std::string & /*kind*/, const std::string &name, const std::string &value, AK::Milliseconds /*timeout*/)
{
    return this->change([this, name, value]() -> absl::StatusOr<uint64_t> {
        if (this->objects.contains(name) && !this->defects.createIgnoresExisting) {
            return absl::FailedPreconditionError("exists");
        }
        return this->put(name, value);
    });
}

absl::StatusOr<uint64_t> MemoryStore::replace(const std::string & /*kind*/, const std::string &name, uint64_t version, const std::string &value,
                                              AK::Milliseconds /*timeout*/)
{
    return this->change([this, name, version, value]() -> absl::StatusOr<uint64_t> {
        const auto found = this->objects.find(name);
        if (found == this->objects.end()) {
            return absl::NotFoundError("absent");
        }
        if (found->second.version != version && !this->defects.replaceIgnoresVersion) {
            return absl::FailedPreconditionError("changed");
        }
        return this->put(name, value);
    });
}

absl::Status MemoryStore::remove(const std::string & /*kind*/, const std::string &name, uint64_t version, AK::Milliseconds /*timeout*/)
{
    return this
        ->change([this, name, version]() -> absl::StatusOr<uint64_t> {
            const auto found = this->objects.find(name);
            if (found == this->objects.end() || found->second.version != version) {
                return absl::FailedPreconditionError("changed");
            }
            this->previous[name] = found->second;
            this->objects.erase(found);
            return 0;
        })
        .status();
}

absl::StatusOr<uint64_t> MemoryStore::change(const std::function<absl::StatusOr<uint64_t>()> &apply)
{
    ++this->writes;
    const StoreFault fault = this->beforeCall ? this->beforeCall(true) : StoreFault::None;
    absl::StatusOr<uint64_t> result = absl::UnavailableError("store down");
    if (fault == StoreFault::None || fault == StoreFault::ResponseLost) {
        result = apply();
    } else if (fault == StoreFault::RequestLate) {
        this->lateRequests.emplace_back([apply] { (void)apply(); });
    }
    if (fault != StoreFault::None && fault != StoreFault::Unavailable) {
        result = absl::DeadlineExceededError("response lost");
        if (this->defects.lostResponsesLookConfirmed) {
            result = this->lastVersion;
        }
    }
    if (this->afterCall) {
        this->afterCall();
    }
    return result;
}

uint64_t MemoryStore::put(const std::string &name, const std::string &value)
{
    if (const auto found = this->objects.find(name); found != this->objects.end()) {
        this->previous[name] = found->second;
    }
    this->objects[name] = {name, ++this->lastVersion, value};
    return this->lastVersion;
}
