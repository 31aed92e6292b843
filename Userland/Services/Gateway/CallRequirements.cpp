#include "CallRequirements.h"

#include <algorithm>

namespace Gateway
{

CallRequirements requirementsFor(const LibFleet::Route &route, const LibFleet::ClientAccount *account, const LibGateway::CallRequest &request,
                                 AK::Milliseconds arrivedAt)
{
    CallRequirements requirements;
    requirements.service = LibFleet::serviceFor(route, request.id);
    requirements.rank.priority = account != nullptr && account->priority ? *account->priority : route.priority;
    requirements.arrivedAt = arrivedAt;
    requirements.regions = route.allowedRegions;
    if (account != nullptr) {
        requirements.accountRegions = account->allowedRegions;
        requirements.account = account->name;
    }
    requirements.promptTokens = route.kind == LibFleet::RouteKind::Stream ? request.promptTokens : 0;
    requirements.answerTokenHint = request.answerTokenHint;
    return requirements;
}

bool allowsRegion(const std::vector<std::string> &allowed, const std::string &region)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

} // namespace Gateway
