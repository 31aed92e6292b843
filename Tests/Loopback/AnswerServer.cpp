#include "AnswerServer.h"

#include <LibFiber/Acceptor.h>
#include <LibHttpStream/MessageReader.h>
#include <kj/debug.h>

namespace Loopback
{

namespace
{

constexpr AK::Milliseconds requestTimeout = 5'000;
constexpr size_t maxHeadBytes = 65'536;

} // namespace

AnswerServer::AnswerServer(AK::Endpoint address, EndedAnswer answer)
    : address(std::move(address))
    , answer(std::move(answer))
    , thread([this] { this->run(); })
{
    while (!this->ready) {
        AK::SystemClock().sleep(1);
    }
}

AnswerServer::~AnswerServer()
{
    this->stopping = true;
    this->thread.join();
}

int AnswerServer::requests() const
{
    return this->answered;
}

void AnswerServer::run()
{
    LibFiber::Loop loop;
    auto receiver = LibFiber::listenOn(loop, this->address);
    KJ_ASSERT(receiver.ok(), std::string(receiver.status().message()).c_str());
    LibFiber::acceptEach(loop, kj::mv(*receiver), [&](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) {
        LibFiber::ByteChannel channel(loop, kj::mv(stream));
        if (LibHttpStream::readHeadText(channel, scope, maxHeadBytes, loop.clock().now() + requestTimeout).ok()) {
            ++this->answered;
            giveAnswer(scope, channel, this->answer);
        }
    });
    this->ready = true;
    while (!this->stopping) {
        loop.sleep(loop.rootScope(), 1);
    }
    loop.cancelSpawned();
}

} // namespace Loopback
