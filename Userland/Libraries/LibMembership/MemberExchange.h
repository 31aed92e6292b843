#pragma once

#include <LibMembership/ExchangeObserver.h>
#include <LibMembership/SharedTable.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibWire/RpcConnection.h>
#include <LibWire/RpcServer.h>

namespace LibMembership
{

/// Sends and answers exchanges with other processes. Thread-safe.
class MemberExchange final : public LibWire::MembershipHandler
{
public:
    MemberExchange(SharedTable &table, const AK::Clock &clock, LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics);

    /// Must be called before the first exchange; the observer must outlive all exchanges.
    void setObserver(ExchangeObserver *observer);

    /// Performs one exchange. `expected` is the name of the member at the address, empty when it is not known. Returns false when the member did not answer
    /// within `timeout` ms or another process answered.
    bool exchangeWith(const AK::Endpoint &target, const std::string &expected, bool wholeTable, AK::Milliseconds timeout);

    /// Exchanges with all targets concurrently. Returns how many answered.
    size_t exchangeWithEach(const std::vector<Member> &targets, AK::Milliseconds timeout);

    void exchange(Wire::ExchangeRequest::Reader request, Wire::ExchangeReply::Builder reply) override;

private:
    using ExchangeResponse = capnp::Response<Wire::Node::ExchangeResults>;

    /// An exchange whose reply has not been read.
    struct PendingExchange {
        std::string expected;
        bool wholeTable = false;
        std::unique_ptr<LibWire::RpcConnection> connection;
        kj::Promise<ExchangeResponse> reply = nullptr;
    };

    std::unique_ptr<PendingExchange> send(const AK::Endpoint &target, const std::string &expected, bool wholeTable, AK::Milliseconds timeout);
    bool receive(PendingExchange &pending, AK::Milliseconds timeout);
    template <typename Builder>
    void writeMessage(Builder message, const SharedTable::Outgoing &outgoing) const;
    /// Passes the revision and the restrictions of a message to the observer. Returns its updates, followed by the record of its sender.
    template <typename Reader>
    std::vector<Member> readMessage(Reader message);

    SharedTable &table;
    const AK::Clock &clock;
    LibWire::RpcIdentity identity;
    LibMetrics::MetricRegistry &metrics;
    ExchangeObserver *observer = nullptr;
};

} // namespace LibMembership
