#pragma once

#include <AK/Clock.h>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Fakes
{

/// Versioned objects by "<kind>/<name>". All objects share one version counter, so that an object that is removed and created again gets a greater version.
/// Thread-safe.
class ObjectTable
{
public:
    struct Object {
        uint64_t version = 0;
        nlohmann::json value;
    };

    enum class Change { Done, ConditionFailed, Missing };

    struct ChangeResult {
        Change change = Change::Done;
        uint64_t version = 0;
    };

    /// With `previous` returns the version before the newest one if there is one.
    std::optional<Object> get(const std::string &key, bool previous) const;

    /// Waits up to `timeout` for a version greater than `version` and returns the newest version either way.
    std::optional<Object> watch(const std::string &key, uint64_t version, AK::Milliseconds timeout);

    /// The first `limit` objects whose key starts with `prefix`, with their keys.
    std::vector<std::pair<std::string, Object>> list(const std::string &prefix, size_t limit) const;

    /// Stores a value if the newest version is `ifVersion`, or without `ifVersion` if the object does not exist.
    ChangeResult put(const std::string &key, std::optional<uint64_t> ifVersion, nlohmann::json value);
    ChangeResult remove(const std::string &key, uint64_t ifVersion);

    size_t waitingWatches() const;
    /// Ends all waits.
    void close();

private:
    struct History {
        std::optional<Object> newest;
        std::optional<Object> previous;
    };

    std::optional<Object> newestLocked(const std::string &key) const;

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, History> objects;
    uint64_t lastVersion = 0;
    size_t waiting = 0;
    bool closed = false;
};

} // namespace Fakes
