#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <absl/status/statusor.h>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace LibConfiguration
{

/// Holds the revision in force and the active restrictions. Only a valid revision with a greater number replaces the one in force. Thread-safe; calls no other
/// component while it holds its lock.
class RevisionHolder final : public ConfigurationView
{
public:
    /// Longest lifetime of a restriction in ms.
    static constexpr AK::Milliseconds maxRestrictionLifetimeMs = 2 * 3'600'000;

    RevisionHolder(std::string site, const AK::Clock &clock);

    std::shared_ptr<const Configuration> current() const override;
    std::shared_ptr<const Configuration> waitForChange(const std::shared_ptr<const Configuration> &seen, AK::Milliseconds timeout) const override;

    /// The number of the revision in force, 0 when there is none.
    uint64_t revision() const;
    /// The number of the revision in force and its serialized text as stored.
    std::pair<uint64_t, std::string> serialized() const;

    /// Puts a serialized revision from the store or a peer in force. Returns false when it is not greater than the one in force.
    /// Errors: kInvalidArgument when the digest or document is invalid or the document belongs to another site.
    absl::StatusOr<bool> install(const std::string &text);

    /// Adds the restrictions that are well-formed, new, not expired and not settled. Returns whether any was added.
    bool restrict(const std::vector<Restriction> &restrictions);
    std::vector<Restriction> restrictions() const;
    void removeExpired();

    /// Wakes the callers of waitForChange(); later calls return at once.
    void wake();

private:
    bool isAcceptable(const Restriction &restriction, AK::Milliseconds wallTime) const;
    void publishLocked();

    std::string site;
    const AK::Clock &clock;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::shared_ptr<const Configuration> inForce;
    /// The revision in force as stored.
    std::string text;
    std::map<std::string, Restriction> activeRestrictions;
    /// Ids of settled restrictions, with the wall-clock time until which a peer without the settling revision may still send them.
    std::map<std::string, AK::Milliseconds> settledUntil;
    bool waitingDisabled = false;
};

} // namespace LibConfiguration
