#include <Loopback/LoopbackNetwork.h>

#include <AK/Text.h>
#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Loopback
{

namespace
{

constexpr int hostsPerNetwork = 250;
constexpr int minSecondOctet = 20;
constexpr int secondOctetCount = 200;
constexpr int sitesPerSecondOctet = 50;
constexpr int networksPerSite = 5;
constexpr int siteCount = secondOctetCount * sitesPerSecondOctet;
constexpr uint16_t reservationPort = 7399;

} // namespace

LoopbackNetwork::LoopbackNetwork(int number)
    : number(number % siteCount)
{
    for (int tries = 0; tries < siteCount; ++tries) {
        if (this->reserve()) {
            return;
        }
        this->number = (this->number + 1) % siteCount;
    }
    std::fputs("every loopback network for test sites is in use\n", stderr);
    std::abort();
}

LoopbackNetwork::~LoopbackNetwork()
{
    ::close(this->reservation);
}

std::string LoopbackNetwork::hostAddress(int index) const
{
    return AK::concat("127.", minSecondOctet + this->number / sitesPerSecondOctet, ".",
                      this->number % sitesPerSecondOctet * networksPerSite + index / hostsPerNetwork, ".", index % hostsPerNetwork + 1);
}

bool LoopbackNetwork::reserve()
{
    this->reservation = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(reservationPort);
    inet_pton(AF_INET, this->hostAddress(0).c_str(), &address.sin_addr);
    // Without SO_REUSEADDR the address can be bound once, also while nobody connects to it.
    if (::bind(this->reservation, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0 && ::listen(this->reservation, 1) == 0) {
        return true;
    }
    ::close(this->reservation);
    this->reservation = -1;
    return false;
}

} // namespace Loopback
