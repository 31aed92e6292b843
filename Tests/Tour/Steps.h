#pragma once

#include <Harness/Site.h>

/// Runs all steps of the tour and prints the title and result of each. Returns the number of failed steps.
int runTour(Harness::Site &site);

/// Plan of the site on which the tour runs.
Harness::SitePlan tourPlan(const std::string &binFolder);
