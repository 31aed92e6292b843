#pragma once

#include <Harness/Site.h>

/// Runs the whole tour. Prints each step with what was checked. Returns the number of failed steps.
int runTour(Harness::Site &site);

/// The plan of the site that the tour runs on.
Harness::SitePlan tourPlan(const std::string &binFolder);
