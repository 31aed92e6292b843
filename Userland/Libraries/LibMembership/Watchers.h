#pragma once

#include <LibMembership/MembershipView.h>
#include <string>
#include <vector>

namespace LibMembership
{

/// Number of processes in each failure domain that watch the store and read the host list.
inline constexpr size_t watchersPerDomain = 2;

/// Whether `self` is one of the watchers of its failure domain: the first two live members of the domain in rendezvous order. Processes that disagree about
/// the members may both watch, which is harmless.
bool isWatcher(const std::vector<Member> &members, const std::string &self);

} // namespace LibMembership
