#pragma once

#include <LibObjectStore/ObjectStore.h>
#include <functional>
#include <map>
#include <vector>

/// What happens to one store call.
enum class StoreFault { None, Unavailable, AnswerLost, RequestLost, RequestLate, Stale };

/// Protections that a test switches off to see that it notices.
struct StoreWeakness {
    bool createIgnoresExisting = false;
    bool replaceIgnoresVersion = false;
    bool lostAnswersLookConfirmed = false;
    /// Readers see claims of others as not_run, so that they take them over.
    bool claimedLooksNotRun = false;
};

/// In-memory double of the object API with one fault decision per call. Not thread-safe.
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

    /// Called before each call takes effect; decides its fault.
    std::function<StoreFault(bool write)> before;
    /// Called before the caller sees the answer.
    std::function<void()> after;
    StoreWeakness weakness;
    std::map<std::string, Value> objects;
    /// Objects before their last change.
    std::map<std::string, Value> previous;
    /// Requests whose caller gave up and that still take effect when they are called.
    std::vector<std::function<void()>> late;
    int writes = 0;

private:
    absl::StatusOr<uint64_t> change(const std::function<absl::StatusOr<uint64_t>()> &apply);
    uint64_t put(const std::string &name, const std::string &value);

    uint64_t lastVersion = 0;
};
