#pragma once

#include "Page.h"

#include <Harness/Site.h>
#include <string>

namespace OperatorPages
{

/// The site that the pages are about: four entries, three bench assistants and two order desks in three failure domains.
Harness::SitePlan pageSitePlan();

/// Carries out the steps of one page on a site of its own.
class PageRunner
{
public:
    PageRunner();

    /// Starts the site and writes the operator's files. With `configured`, revision 1 is in force and every engine serves version 1.
    absl::Status prepare(bool configured);

    /// An empty text, or what was wrong.
    std::string run(const Step &step);

private:
    absl::Status writeFiles();
    absl::Status act(const std::string &action);
    absl::Status setFault(const AK::Endpoint &target, const std::string &mode);
    /// Waits until entry 1 shows exactly this number of live members.
    absl::Status waitAlive(int64_t members);
    absl::Status stop(const std::string &process);
    std::string runScript(const Step &step);
    std::string networkPrefix() const;

    Harness::Site site;
    std::string folder;
};

} // namespace OperatorPages
