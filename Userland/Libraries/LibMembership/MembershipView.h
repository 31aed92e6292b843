#pragma once

#include <AK/Endpoint.h>
#include <AK/EnumNames.h>
#include <LibSettings/ProcessSettings.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace LibMembership
{

enum class MemberStatus { Alive, Leaving, Suspect, Dead };

inline constexpr std::array memberStatusNames{
    AK::EnumName{MemberStatus::Alive, "alive"},
    AK::EnumName{MemberStatus::Leaving, "leaving"},
    AK::EnumName{MemberStatus::Suspect, "suspect"},
    AK::EnumName{MemberStatus::Dead, "dead"},
};

/// Progress of an agent's engine towards the weights that the configuration names.
enum class ServingState { None, Fetching, Ready, Loading, Serving };

inline constexpr std::array servingStateNames{
    AK::EnumName{ServingState::None, "none"},       AK::EnumName{ServingState::Fetching, "fetching"}, AK::EnumName{ServingState::Ready, "ready"},
    AK::EnumName{ServingState::Loading, "loading"}, AK::EnumName{ServingState::Serving, "serving"},
};

/// The published record of a process. Only the process itself changes it, except for the status.
struct Member {
    std::string name;
    AK::Endpoint rpcAddress;
    AK::Endpoint httpAddress;
    LibSettings::ProcessRole role = LibSettings::ProcessRole::Entry;
    std::string region;
    std::string failureDomain;
    /// Wall time in ms at which the process started; a greater one belongs to a replacement of the same name.
    uint64_t instance = 0;
    /// Grows with each change of the record.
    uint64_t sequence = 0;
    MemberStatus status = MemberStatus::Alive;
    /// Configuration revision in force.
    uint64_t revision = 0;
    /// Agents: the service of their upstream.
    std::string service;
    ServingState servingState = ServingState::None;
    /// Agents of engines: root that the engine was verified to serve, empty when none.
    std::string weightsRoot;
    /// Agents of engines: root that is being fetched or loaded, empty when none.
    std::string targetRoot;
    uint32_t chunksHeld = 0;
    uint32_t chunksTotal = 0;
    uint32_t callsSinceSwitch = 0;
    uint32_t errorsSinceSwitch = 0;
    /// Agents: the ramp-up has reached the full capacity of the upstream.
    bool warm = false;
};

/// Interface to the membership for other services. Thread-safe.
class MembershipView
{
public:
    virtual ~MembershipView() = default;

    /// All known members, this process included, in order of name.
    virtual std::vector<Member> members() const = 0;

    virtual std::optional<Member> find(const std::string &name) const = 0;

    /// Grows with each change of the table; lets readers keep what they derived from it.
    virtual uint64_t changeCount() const = 0;

    /// Changes this process's own record and spreads it. The sequence is raised when anything changed.
    virtual void updateSelf(const std::function<void(Member &)> &change) = 0;

    /// Reports that a member does not answer, for example after a refused connection; it is probed at once.
    virtual void reportUnreachable(const std::string &name) = 0;

    /// Exchanges at once with up to 64 members that are alive or leaving and waits up to `timeout` ms; returns how many answered. A restriction is in force at
    /// each member that answered.
    virtual size_t exchangeWithAll(AK::Milliseconds timeout)
    {
        (void)timeout;
        return 0;
    }
};

} // namespace LibMembership
