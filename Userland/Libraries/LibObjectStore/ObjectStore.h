#pragma once

#include <AK/Clock.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace LibObjectStore
{

/// A value with the version that the store assigned to it. Each change of an object increases its version.
struct StoredObject {
    std::string name;
    uint64_t version = 0;
    /// JSON text, at most 1 MB.
    std::string value;
};

/// Interface of the object API of the platform, so that tests can replace it by a fake.
///
/// Errors of all calls: kFailedPrecondition when a condition on the version did not hold (no effect); kNotFound; kResourceExhausted when the rate limit of the
/// store is exceeded (no effect); kInvalidArgument when the value is too large or the request is invalid (no effect); kUnavailable when a read got no response
/// or a change was not sent (no effect); kDeadlineExceeded, kDataLoss or kUnknown when the outcome is not known: the change may have taken effect.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual absl::StatusOr<StoredObject> get(const std::string &kind, const std::string &name, AK::Milliseconds timeout) = 0;

    /// Waits up to `wait` ms for a version greater than `version`, then returns the current object, changed or not.
    virtual absl::StatusOr<StoredObject> watch(const std::string &kind, const std::string &name, uint64_t version, AK::Milliseconds wait) = 0;

    /// Objects of a kind whose name starts with `prefix`, at most 1,000, in order of name.
    virtual absl::StatusOr<std::vector<StoredObject>> list(const std::string &kind, const std::string &prefix, AK::Milliseconds timeout) = 0;

    /// Creates an object that must not exist. Returns its version.
    virtual absl::StatusOr<uint64_t> create(const std::string &kind, const std::string &name, const std::string &value, AK::Milliseconds timeout) = 0;

    /// Replaces an object whose version must be `version`. Returns the new version.
    virtual absl::StatusOr<uint64_t> replace(const std::string &kind, const std::string &name, uint64_t version, const std::string &value,
                                             AK::Milliseconds timeout) = 0;

    /// Removes an object whose version must be `version`.
    virtual absl::Status remove(const std::string &kind, const std::string &name, uint64_t version, AK::Milliseconds timeout) = 0;
};

/// Returns whether a change that failed with `status` may have taken effect.
bool mayHaveTakenEffect(const absl::Status &status);

enum class HostState { Live, Leaving };

struct HostEntry {
    std::string name;
    /// IP address without a port.
    std::string address;
    HostState state = HostState::Live;
};

/// The list of live and leaving hosts of the platform. It is updated with a delay.
class HostList
{
public:
    virtual ~HostList() = default;

    /// Errors: those of ObjectStore; kDataLoss when the response is malformed.
    virtual absl::StatusOr<std::vector<HostEntry>> hosts(AK::Milliseconds timeout) = 0;
};

} // namespace LibObjectStore
