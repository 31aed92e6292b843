#include <LibGateway/RefusalProof.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

constexpr int firstErrorStatus = 400;
// Clients take these for "not run, try again", whoever sends them.
constexpr std::array promisingStatuses{408, 429, 503};

} // namespace

RefusalProof proofOfRefusal(int status, const ResponseInfo &info, const std::string &requestId)
{
    if (!info.notRun && status != misdirectedStatus) {
        const bool promises = std::find(promisingStatuses.begin(), promisingStatuses.end(), status) != promisingStatuses.end();
        return promises ? RefusalProof::Unproven : RefusalProof::NoRefusal;
    }
    const bool isProven = status >= firstErrorStatus && !requestId.empty() && info.requestId == requestId;
    return isProven ? RefusalProof::Proven : RefusalProof::Unproven;
}

} // namespace LibGateway
