#include <AK/Text.h>
#include <Gateway/ClientChannel.h>
#include <LibFiber/Acceptor.h>
#include <gtest/gtest.h>

namespace
{

enum class Operation { SendResponse, Refuse, BeginStream, WriteStream, WriteNothing, EndStream };

struct OrderCase {
    const char *name;
    std::vector<Operation> operations;
    /// Operations from the start that succeed; the next one fails.
    size_t accepted;
    bool complete;
    std::string text;
};

absl::Status perform(Operation operation, kj::WaitScope &scope, Gateway::ClientChannel &client)
{
    const LibHttpStream::ResponseHead head{200, "OK", {}};
    switch (operation) {
    case Operation::SendResponse:
        return client.sendResponse(scope, head, "whole", true);
    case Operation::Refuse:
        return client.refuse(scope, 503, "busy", 0);
    case Operation::BeginStream:
        return client.beginStream(scope, head, "part");
    case Operation::WriteStream:
        return client.writeStream(scope, "more");
    case Operation::WriteNothing:
        return client.writeStream(scope, "");
    case Operation::EndStream:
        return client.endStream(scope);
    }
    return absl::UnknownError("no such operation");
}

class ClientChannelOrderTest : public testing::TestWithParam<OrderCase>
{
};

// Guards against a second head, or any bytes that don't belong to the response in progress, on the connection of a client.
TEST_P(ClientChannelOrderTest, WritesOneResponse)
{
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    kj::TwoWayPipe pipe = kj::newTwoWayPipe();
    LibFiber::ByteChannel server(loop, kj::mv(pipe.ends[0]));
    LibFiber::ByteChannel peer(loop, kj::mv(pipe.ends[1]));
    // A write to the pipe ends when its data has been read.
    kj::Promise<void> closed = peer.whenClosed().eagerlyEvaluate(nullptr);
    Gateway::ClientChannel client(server, false);
    for (size_t i = 0; i < GetParam().operations.size(); ++i) {
        const absl::Status status = perform(GetParam().operations[i], scope, client);
        EXPECT_EQ(status.ok(), i < GetParam().accepted) << status;
        EXPECT_EQ(absl::IsFailedPrecondition(status), i >= GetParam().accepted) << status;
    }
    EXPECT_EQ(client.complete(), GetParam().complete);
    EXPECT_TRUE(client.begun());
    server.finishWriting();
    EXPECT_TRUE(loop.awaitDone(scope, kj::mv(closed), loop.clock().now() + 2'000).ok());
    EXPECT_EQ(peer.buffered(), GetParam().text);
}

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const std::string begun = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";

INSTANTIATE_TEST_SUITE_P(
    Table, ClientChannelOrderTest,
    testing::Values(
        OrderCase{"response", {Operation::SendResponse}, 1, true, whole},
        OrderCase{"stream", {Operation::BeginStream, Operation::WriteStream, Operation::EndStream}, 3, true, begun + "4\r\nmore\r\n0\r\n\r\n"},
        OrderCase{"empty_part", {Operation::BeginStream, Operation::WriteNothing}, 2, false, begun},
        OrderCase{"response_inside_a_stream", {Operation::BeginStream, Operation::SendResponse}, 1, false, begun},
        OrderCase{"refusal_inside_a_stream", {Operation::BeginStream, Operation::Refuse}, 1, false, begun},
        OrderCase{"second_stream", {Operation::BeginStream, Operation::BeginStream}, 1, false, begun},
        OrderCase{
            "nothing_after_a_second_head", {Operation::BeginStream, Operation::SendResponse, Operation::WriteStream, Operation::EndStream}, 1, false, begun},
        OrderCase{"second_response", {Operation::SendResponse, Operation::SendResponse}, 1, true, whole},
        OrderCase{"event_after_a_response", {Operation::SendResponse, Operation::WriteStream}, 1, true, whole},
        OrderCase{"end_after_a_response", {Operation::SendResponse, Operation::EndStream}, 1, true, whole}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
