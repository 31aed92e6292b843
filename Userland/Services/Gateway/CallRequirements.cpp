#include "CallRequirements.h"

#include <algorithm>

namespace Gateway
{

bool allowsRegion(const std::vector<std::string> &allowed, const std::string &region)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

} // namespace Gateway
