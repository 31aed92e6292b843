#include <LibMembership/MemberExchange.h>

#include <LibMembership/WireRecords.h>
#include <algorithm>

namespace LibMembership
{

MemberExchange::MemberExchange(SharedTable &table, const AK::Clock &clock, LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics)
    : table(table)
    , clock(clock)
    , identity(std::move(identity))
    , metrics(metrics)
{
}

void MemberExchange::setObserver(ExchangeObserver *observer)
{
    this->observer = observer;
}

template <typename Builder>
void MemberExchange::writeMessage(Builder message, const SharedTable::Outgoing &outgoing) const
{
    writeMember(outgoing.own, message.initFrom());
    message.setTableHash(outgoing.hash);
    message.setRevision(outgoing.own.revision);
    auto list = message.initUpdates(static_cast<unsigned>(outgoing.updates.size()));
    for (unsigned i = 0; i < outgoing.updates.size(); ++i) {
        writeMember(outgoing.updates[i], list[i]);
    }
    const std::vector<CarriedRestriction> carried = this->observer != nullptr ? this->observer->carriedRestrictions() : std::vector<CarriedRestriction>();
    auto restrictions = message.initRestrictions(static_cast<unsigned>(carried.size()));
    for (unsigned i = 0; i < carried.size(); ++i) {
        writeRestriction(carried[i], restrictions[i]);
    }
}

template <typename Reader>
std::vector<Member> MemberExchange::readMessage(Reader message)
{
    std::vector<Member> records;
    records.reserve(message.getUpdates().size() + 1);
    for (const auto update : message.getUpdates()) {
        records.push_back(readMember(update));
    }
    records.push_back(readMember(message.getFrom()));
    if (this->observer != nullptr) {
        std::vector<CarriedRestriction> received;
        for (const auto restriction : message.getRestrictions()) {
            received.push_back(readRestriction(restriction));
        }
        this->observer->peerRevision(records.back().rpcAddress, message.getRevision());
        if (!received.empty() && this->observer->restrictionsReceived(received)) {
            this->table.requestPush(false);
        }
    }
    return records;
}

void MemberExchange::exchange(Wire::ExchangeRequest::Reader request, Wire::ExchangeReply::Builder reply)
{
    const std::vector<Member> records = this->readMessage(request);
    this->table.merge(records);
    this->writeMessage(reply, this->table.outgoing(records.back().name, request.getWantFull()));
}

std::unique_ptr<MemberExchange::PendingExchange> MemberExchange::send(const AK::Endpoint &target, const std::string &expected, bool wholeTable,
                                                                      AK::Milliseconds timeout)
{
    this->metrics.add("catkinlink_exchanges_total");
    auto connection = LibWire::RpcConnection::open(target, this->identity, timeout);
    if (!connection.ok()) {
        return nullptr;
    }
    auto call = (*connection)->node().exchangeRequest();
    auto request = call.initRequest();
    this->writeMessage(request, this->table.outgoing(expected, false));
    request.setWantFull(wholeTable);
    auto pending = std::make_unique<PendingExchange>();
    pending->expected = expected;
    pending->wholeTable = wholeTable;
    pending->connection = std::move(*connection);
    pending->reply = kj::Promise<ExchangeResponse>(call.send());
    return pending;
}

bool MemberExchange::receive(PendingExchange &pending, AK::Milliseconds timeout)
{
    auto response = LibWire::waitFor<ExchangeResponse>(kj::mv(pending.reply), timeout, pending.connection->waitScope());
    if (!response.ok()) {
        return false;
    }
    const auto reply = response->getReply();
    const std::vector<Member> records = this->readMessage(reply);
    this->table.merge(records);
    if (pending.wholeTable) {
        this->table.spreadMissing(records);
    }
    this->table.notePeerHash(reply.getTableHash());
    return pending.expected.empty() || records.back().name == pending.expected;
}

bool MemberExchange::exchangeWith(const AK::Endpoint &target, const std::string &expected, bool wholeTable, AK::Milliseconds timeout)
{
    const std::unique_ptr<PendingExchange> pending = this->send(target, expected, wholeTable, timeout);
    return pending && this->receive(*pending, timeout);
}

size_t MemberExchange::exchangeWithEach(const std::vector<Member> &targets, AK::Milliseconds timeout)
{
    // All requests are sent before the first reply is awaited, so that a stalled member delays only its own exchange.
    std::vector<std::unique_ptr<PendingExchange>> all;
    for (const Member &target : targets) {
        if (auto pending = this->send(target.rpcAddress, target.name, false, timeout)) {
            all.push_back(std::move(pending));
        }
    }
    const AK::Milliseconds end = this->clock.now() + timeout;
    size_t answered = 0;
    for (const auto &pending : all) {
        answered += this->receive(*pending, std::max<AK::Milliseconds>(1, end - this->clock.now())) ? 1 : 0;
    }
    return answered;
}

} // namespace LibMembership
