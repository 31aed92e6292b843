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

/// A counter of a fake upstream.
int64_t upstreamStat(Harness::Site &site, const std::string &agent, const std::string &name);

/// Sets a fault of a fake.
void setFault(const AK::Endpoint &target, const nlohmann::json &fault);

/// The text that an engine with the given weights gives for a prompt.
std::string expectedAnswer(const std::string &root, const std::string &prompt, int tokens);

/// The text of a completion answer, whole or streamed.
std::string answerText(const std::string &body, bool stream);

/// Load of completions of a service, every second one a stream, from all accounts in turn.
Harness::LoadPlan completionLoad(const std::string &service, double callsPerSecond, int tokens);

/// The counter of several fake upstreams, added up.
int64_t sumOfStat(Harness::Site &site, const std::vector<std::string> &agents, const std::string &name);

/// Agents of a service in a failure domain.
std::vector<std::string> agentsOfDomain(Harness::Site &site, const std::string &service, const std::string &domain);

/// Restarts the engine of an agent as an engine does that ends without notice: new instance, nothing loaded.
void restartEngine(Harness::Site &site, const std::string &agent);

/// Takes a failure domain out of service or puts it back. Returns the revision; fails the test when the change is not accepted.
uint64_t setDomainInService(Harness::Site &site, const std::string &domain, bool inService);

/// Waits until every running entry gives the member the status.
bool waitForStatusOfMember(Harness::Site &site, const std::string &member, const std::string &status);

/// Checks that each complete answer is the text for its own prompt, and that what an incomplete stream gave is the start of it, without the end marker.
void expectOwnAnswers(const std::vector<Harness::CallRecord> &records, const std::string &root, int tokens);

inline constexpr AK::Milliseconds eventLimitMs = 60'000;
