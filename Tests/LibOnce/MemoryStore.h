#pragma once

#include <LibObjectStore/ObjectStore.h>
#include <functional>
#include <map>
#include <vector>

/// Fault injected into one store call.
enum class StoreFault { None, Unavailable, ResponseLost, RequestLost, RequestLate, Stale };

/// Defects that a test enables to check that the exploration detects them.
struct StoreDefects {
    bool createIgnoresExisting = false;
    bool replaceIgnoresVersion = false;
    bool lostResponsesLookConfirmed = false;
    /// Reads return claims in state claimed as not_run, so that other processes take them over.
    bool claimedLooksNotRun = false;
};

/// In-memory fake of the object API with one fault decision per call. Not thread-safe.
class MemoryStore final : public LibObjectStore::ObjectStore
{
public:
    using Value = LibObjectStore::StoredObject;

    absl::StatusOr<Value> get(const std::string &kind, const std::string &name, AK::Milliseconds timeout) override;
    absl::StatusOr<Value> watch(const std::string &kind, const std::string &name, uint64_t version, AK::Milliseconds wait) override;
    absl::StatusOr<std::vector<Value>> list(const std::string &kind, const std::string &prefix, AK::Milliseconds timeout) override;
    absl::StatusOr<uint64_t> create(const std::string &kind, const std::string &name, const std::string &value, AK::Milliseconds timeout) override;
    absl::StatusOr<uint64_t> replace(const std::string &kind, const std::string &name, uint64_t version, const std::string &value,
                                     AK::Milliseconds timeout) override;
    absl::Status remove(const std::string &kind, const std::string &name, uint64_t version, AK::Milliseconds timeout) override;

    /// Called before each store call takes effect; returns its fault.
    std::function<StoreFault(bool write)> beforeCall;
    /// Called before the caller receives the response.
    std::function<void()> afterCall;
    StoreDefects defects;
    std::map<std::string, Value> objects;
    /// Value of each object before its last change, returned by stale reads.
    std::map<std::string, Value> previous;
    /// Requests whose caller timed out; each takes effect when it is called.
    std::vector<std::function<void()>> lateRequests;
    int writes = 0;

private:
    absl::StatusOr<uint64_t> change(const std::function<absl::StatusOr<uint64_t>()> &apply);
    uint64_t put(const std::string &name, const std::string &value);

    uint64_t lastVersion = 0;
};
