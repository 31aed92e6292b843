#pragma once

#include <AK/Endpoint.h>
#include <Kernel/Service.h>
#include <LibLog/Logger.h>
#include <LibWire/KeyRing.h>
#include <LibWire/TrafficCounter.h>
#include <LibWire/generated/wire.capnp.h>
#include <absl/status/status.h>
#include <atomic>
#include <kj/async.h>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace LibWire
{

/// Handlers run on the thread of their connection and may block, which delays only that connection. An exception becomes the error of the client's call.
class MembershipHandler
{
public:
    virtual ~MembershipHandler() = default;
    virtual void exchange(Wire::ExchangeRequest::Reader request, Wire::ExchangeReply::Builder reply) = 0;
};

class RevisionHandler
{
public:
    virtual ~RevisionHandler() = default;
    /// Takes an offered revision; returns the revision in force afterwards.
    virtual uint64_t offerRevision(uint64_t revision, std::string_view document) = 0;
    /// The revision in force and its document; 0 and empty when there is none.
    virtual std::pair<uint64_t, std::string> fetchRevision() = 0;
};

class CallHandler
{
public:
    virtual ~CallHandler() = default;
    virtual void call(Wire::CallRequest::Reader request, Wire::AnswerSink::Client sink, Wire::CallReply::Builder reply, kj::WaitScope &scope) = 0;
};

class ChunkHandler
{
public:
    virtual ~ChunkHandler() = default;
    virtual void chunkMap(std::string_view root, bool wantManifest, Wire::Node::ChunkMapResults::Builder results) = 0;
    virtual void fetchChunk(std::string_view root, uint32_t index, Wire::Node::FetchChunkResults::Builder results, kj::WaitScope &scope) = 0;
};

/// The handlers of a process. Calls to a missing one fail with "not offered by this process".
struct NodeHandlers {
    MembershipHandler *membership = nullptr;
    RevisionHandler *revision = nullptr;
    CallHandler *call = nullptr;
    ChunkHandler *chunk = nullptr;
};

/// Serves the Door (login) and Node interfaces. Each connection has its own thread and event loop.
class RpcServer final : public Kernel::Service
{
public:
    /// `traffic` counts the bytes of accepted connections; may be null.
    RpcServer(AK::Endpoint endpoint, std::shared_ptr<KeyRing> keys, NodeHandlers handlers, size_t maxConnections,
              std::shared_ptr<TrafficCounter> traffic = nullptr);
    ~RpcServer() override;

    std::string_view name() const override;

    /// Errors: kUnavailable when the address cannot be bound.
    absl::Status start() override;
    void stop() override;

    /// Logins refused since the start.
    uint64_t refusedLogins() const;

private:
    struct Connection {
        int socket = -1;
        std::atomic<bool> finished{false};
        std::thread thread;
    };

    void acceptLoop();
    void serve(Connection &connection);
    void reapFinished();
    void close(Connection &connection);

    AK::Endpoint endpoint;
    std::shared_ptr<KeyRing> keys;
    NodeHandlers handlers;
    size_t maxConnections;
    std::shared_ptr<TrafficCounter> traffic;
    LibLog::Logger logger{"rpc"};
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::atomic<uint64_t> loginsRefused{0};
    std::thread acceptor;
    std::mutex mutex;
    std::list<Connection> connections;
};

} // namespace LibWire
