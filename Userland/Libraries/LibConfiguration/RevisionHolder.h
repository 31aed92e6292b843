#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <absl/status/statusor.h>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace LibConfiguration
{

/// Holds the revision in force and the restrictions. Takes only a greater revision that is whole. Thread-safe; calls nothing else under its lock.
class RevisionHolder final : public ConfigurationView
{
public:
    /// Longest life of a restriction in ms.
    static constexpr AK::Milliseconds maxRestrictionLifetimeMs = 2 * 3'600'000;

    RevisionHolder(std::string site, const AK::Clock &clock);

    std::shared_ptr<const Configuration> current() const override;
    std::shared_ptr<const Configuration> waitForChange(const std::shared_ptr<const Configuration> &seen, AK::Milliseconds timeout) const override;

    /// The revision in force, 0 when there is none.
    uint64_t revision() const;
    /// The revision in force and its text as stored.
    std::pair<uint64_t, std::string> serialized() const;

    /// Takes a revision from the store or a peer. True when it is now in force, false when it is not greater than the one in force.
    /// Errors: kInvalidArgument when the digest or document is wrong or it belongs to another site.
    absl::StatusOr<bool> take(const std::string &text);

    /// Adds restrictions that are well-formed, not expired and not settled. True when one was new.
    bool restrict(const std::vector<Restriction> &restrictions);
    std::vector<Restriction> restrictions() const;
    void removeExpired();

    /// Wakes waiters of waitForChange().
    void wake();

private:
    bool acceptable(const Restriction &restriction, AK::Milliseconds wallTime) const;
    void publishLocked();

    std::string site;
    const AK::Clock &clock;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::shared_ptr<const Configuration> inForce;
    std::string text;
    std::map<std::string, Restriction> active;
    /// Settled ids with the wall time until which a peer that has not seen the settling revision may still send them.
    std::map<std::string, AK::Milliseconds> settled;
    bool woken = false;
};

} // namespace LibConfiguration
