#pragma once

#include "EndedAnswer.h"
#include <AK/Endpoint.h>
#include <atomic>
#include <thread>

namespace Loopback
{

/// A server on a thread of its own that gives the same answer to each request and ends the connection.
class AnswerServer
{
public:
    AnswerServer(AK::Endpoint address, EndedAnswer answer);
    ~AnswerServer();
    AnswerServer(const AnswerServer &) = delete;
    AnswerServer &operator=(const AnswerServer &) = delete;

    int requests() const;

private:
    void run();

    AK::Endpoint address;
    EndedAnswer answer;
    std::atomic<int> answered{0};
    std::atomic<bool> ready{false};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace Loopback
