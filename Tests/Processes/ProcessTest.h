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

inline constexpr AK::Milliseconds eventLimitMs = 60'000;
