#include <Loopback/ProcessHost.h>

#include <Loopback/LoopbackNetwork.h>
#include <unistd.h>

namespace Loopback
{

const std::string &processHost()
{
    static const LoopbackNetwork network(static_cast<int>(::getpid()));
    static const std::string host = network.hostAddress(0);
    return host;
}

} // namespace Loopback
