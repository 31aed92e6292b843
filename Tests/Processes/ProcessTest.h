#pragma once

#include <Harness/Caller.h>
#include <Harness/Site.h>
#include <gtest/gtest.h>

/// A small site for tests with real processes: 4 entries, 3 failure domains, short intervals.
Harness::SitePlan smallPlan(const std::vector<Harness::ServicePlan> &services);

/// A model service with upstreams in each failure domain.
Harness::ServicePlan modelService(int upstreams);

/// A plain service whose shipments may not be repeated and whose stock may.
Harness::ServicePlan orderDesk(int upstreams);

/// Starts the site, applies its first document and waits until every engine serves version 1.
void startSite(Harness::Site &site);

/// A counter of a fake upstream; -1 when it cannot be read.
int64_t upstreamStat(Harness::Site &site, const std::string &agent, const std::string &name);

/// Sets a fault of a fake.
void setFault(const AK::Endpoint &target, const nlohmann::json &fault);

/// The text that an engine with the weights of this root generates for a prompt.
std::string expectedText(const std::string &root, const std::string &prompt, int tokens);

/// The text in the body of a completion response, whole or streamed.
std::string responseText(const std::string &body, bool stream);

/// Load of completion calls to a service, made by the accounts in turn. Every second call is streamed.
Harness::LoadPlan completionLoad(const std::string &service, double callsPerSecond, int tokens);

/// The sum of a counter over several fake upstreams.
int64_t sumOfStat(Harness::Site &site, const std::vector<std::string> &agents, const std::string &name);

/// Agents of a service in a failure domain.
std::vector<std::string> agentsOfDomain(Harness::Site &site, const std::string &service, const std::string &domain);

/// Restarts the engine of an agent without notice, as after a crash: a new instance with no weights loaded.
void restartEngine(Harness::Site &site, const std::string &agent);

/// Takes a failure domain out of service or puts it back. Returns the revision; the test fails when the change is not accepted.
uint64_t setDomainInService(Harness::Site &site, const std::string &domain, bool inService);

/// Waits until every running entry reports the status for the member.
bool waitForStatusOfMember(Harness::Site &site, const std::string &member, const std::string &status);

/// Checks that each complete response has the text for its own prompt, and that an incomplete stream has the beginning of that text and no end marker.
void expectOwnResponses(const std::vector<Harness::CallRecord> &records, const std::string &root, int tokens);

/// Limit of each wait for a state of the site.
inline constexpr AK::Milliseconds waitLimitMs = 60'000;
