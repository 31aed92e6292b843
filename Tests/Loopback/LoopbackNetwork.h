#pragma once

#include <string>

namespace Loopback
{

/// Consecutive networks 127.a.b.0 that one test site uses alone, among all test programs of this machine, until the object is destroyed.
class LoopbackNetwork
{
public:
    /// Takes the networks of `number`, or those of the next number that no other site uses.
    explicit LoopbackNetwork(int number);
    ~LoopbackNetwork();
    LoopbackNetwork(const LoopbackNetwork &) = delete;
    LoopbackNetwork &operator=(const LoopbackNetwork &) = delete;

    /// Address of the host with this index, from 0.
    std::string hostAddress(int index) const;

private:
    bool reserve();

    int number;
    /// Listens on an address of the network for as long as the site exists.
    int reservation = -1;
};

} // namespace Loopback
