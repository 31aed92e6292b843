#pragma once

#include "Page.h"

#include <Harness/Site.h>
#include <string>

namespace OperatorPages
{

/// Plan of the site that the pages describe: four entries, three bench assistants and two order desks in three failure domains.
Harness::SitePlan pageSitePlan();

/// Runs the steps of one page on its own site.
class PageRunner
{
public:
    PageRunner();

    /// Starts the site and writes the operator's files. If `configured`, also applies revision 1 and waits until every engine serves version 1.
    absl::Status prepare(bool configured);

    /// Runs one step. Returns an error message, or an empty text when it passes.
    std::string run(const Step &step);

private:
    absl::Status writeFiles();
    absl::Status runAction(const std::string &action);
    absl::Status setFault(const AK::Endpoint &target, const std::string &mode);
    /// Waits until entry-1 shows exactly this number of members as alive.
    absl::Status waitForAliveMembers(int64_t members);
    absl::Status stop(const std::string &process);
    std::string runScript(const Step &step);
    std::string networkPrefix() const;

    Harness::Site site;
    std::string folder;
};

} // namespace OperatorPages
