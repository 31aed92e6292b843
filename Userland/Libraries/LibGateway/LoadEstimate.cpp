#include <LibGateway/LoadEstimate.h>

#include <algorithm>
#include <cmath>

namespace LibGateway
{

double slownessNow(const StatedSlowness &stated, AK::Milliseconds now, const LoadEstimateSettings &settings)
{
    const double age = static_cast<double>(std::max<AK::Milliseconds>(0, now - stated.statedAt));
    const double weight = std::exp2(-age / static_cast<double>(settings.slownessHalfLife));
    return 1 + (std::min(stated.factor, settings.maxSlowness) - 1) * weight;
}

} // namespace LibGateway
