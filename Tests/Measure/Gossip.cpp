#include "Measurement.h"

#include <AK/Text.h>
#include <LibMembership/MemberExchange.h>
#include <LibWire/RpcServer.h>
#include <ctime>
#include <iostream>
#include <unistd.h>

namespace
{

constexpr AK::Milliseconds timeoutMs = 10'000;
constexpr uint16_t rpcPort = 7200;

/// Processor time that this program has used, in ms.
double processorMs()
{
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

/// The parts of a daemon that take part in membership exchanges.
struct Peer {
    Peer(const std::string &name, const std::string &address)
        : settings(makeSettings(name, address))
        , identity{name, std::make_shared<LibWire::KeyRing>(std::vector<LibWire::SharedKey>{{"k1", "0123456789abcdef"}}, clock),
                   std::make_shared<LibWire::TrafficCounter>()}
        , table(settings, clock)
        , exchanges(table, clock, identity, metrics)
        , server(settings.rpcAddress, identity.keys, {&exchanges, nullptr, nullptr, nullptr}, 64)
    {
        requireOk(this->server.start(), name);
    }

    static LibSettings::ProcessSettings makeSettings(const std::string &name, const std::string &address)
    {
        LibSettings::ProcessSettings settings;
        settings.name = name;
        settings.region = "region-1";
        settings.failureDomain = "domain-1";
        settings.rpcAddress = {address, rpcPort};
        settings.httpAddress = {address, 7100};
        return settings;
    }

    AK::SystemClock clock;
    LibSettings::ProcessSettings settings;
    LibMetrics::MetricRegistry metrics;
    LibWire::RpcIdentity identity;
    LibMembership::SharedTable table;
    LibMembership::MemberExchange exchanges;
    LibWire::RpcServer server;
};

// A member record with all fields set; agents have the state that follows a completed rollout.
LibMembership::Member syntheticMember(int number, uint64_t sequence)
{
    LibMembership::Member member;
    member.name = AK::concat("bench-assistant-", number);
    member.rpcAddress = {AK::concat("10.", number % 6, ".", number / 250, ".", number % 250 + 1), rpcPort};
    member.httpAddress = {member.rpcAddress.host, 7100};
    member.role = number % 7 < 2 ? LibSettings::ProcessRole::Entry : LibSettings::ProcessRole::Agent;
    member.region = AK::concat("region-", number % 2);
    member.failureDomain = AK::concat("domain-", number % 6);
    member.instance = 1'700'000'000'000 + static_cast<uint64_t>(number);
    member.sequence = sequence;
    member.revision = 17;
    if (member.role == LibSettings::ProcessRole::Agent) {
        member.service = "bench-assistant";
        member.servingState = LibMembership::ServingState::Serving;
        member.weightsRoot = std::string(64, 'a');
        member.chunksHeld = 400;
        member.chunksTotal = 400;
        member.callsSinceSwitch = 9'000;
        member.warm = true;
    }
    return member;
}

std::vector<LibMembership::Member> syntheticMembers(int count, uint64_t sequence)
{
    std::vector<LibMembership::Member> members;
    members.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
        members.push_back(syntheticMember(i, sequence));
    }
    return members;
}

/// Mean cost of one exchange, both sides together.
struct Cost {
    double processorMs = 0;
    double elapsedMs = 0;
    double bytes = 0;
};

// Runs `count` exchanges, each after a call of `before` with its number.
Cost measureExchanges(Peer &requester, const Peer &responder, int count, bool wholeTable, const std::function<void(int)> &before)
{
    Cost cost;
    for (int i = 0; i < count; ++i) {
        before(i);
        const double processor = processorMs();
        const auto bytes = static_cast<double>(requester.identity.traffic->bytes());
        timespec start{};
        ::clock_gettime(CLOCK_MONOTONIC, &start);
        const bool succeeded = requester.exchanges.exchangeWith(responder.settings.rpcAddress, responder.settings.name, wholeTable, timeoutMs);
        timespec end{};
        ::clock_gettime(CLOCK_MONOTONIC, &end);
        requireOk(succeeded ? absl::OkStatus()
                            : absl::UnavailableError(AK::concat("the exchange with ", responder.settings.name, " failed (timeout ", timeoutMs, " ms)")),
                  "exchange");
        cost.processorMs += (processorMs() - processor) / count;
        cost.bytes += (static_cast<double>(requester.identity.traffic->bytes()) - bytes) / count;
        cost.elapsedMs += (static_cast<double>(end.tv_sec - start.tv_sec) * 1e3 + static_cast<double>(end.tv_nsec - start.tv_nsec) / 1e6) / count;
    }
    return cost;
}

nlohmann::json describe(const Cost &cost)
{
    // In a fleet each process starts one exchange and responds to one per second on average, so the cost of both sides is its cost per second.
    return {{"processor_ms", cost.processorMs},
            {"elapsed_ms", cost.elapsedMs},
            {"bytes", cost.bytes},
            {"core_share_at_1_per_s", cost.processorMs / 1'000},
            {"bytes_per_s_of_a_process", 2 * cost.bytes}};
}

} // namespace

nlohmann::json measureGossip(const MeasureContext &context)
{
    const int members = context.flags.number("members", 1'270);
    const int exchanges = context.flags.number("exchanges", 500);
    const std::string network = AK::concat("127.", 20 + ::getpid() / 250 % 200, ".", ::getpid() % 250 + 1, ".");
    Peer requester("entry-1", network + "1");
    Peer responder("entry-2", network + "2");
    const auto changeNothing = [](int) {
    };
    nlohmann::json result{{"members", members}};
    responder.table.merge(syntheticMembers(members, 1));
    const Cost firstWhole = measureExchanges(requester, responder, 1, true, changeNothing);
    result["first_whole_table"] = describe(firstWhole);
    result["whole_table"] = describe(measureExchanges(requester, responder, 20, true, changeNothing));
    // Each new record is sent a bounded number of times; run exchanges until none is left to send.
    const int rounds = members * 33 / 16 + 100;
    measureExchanges(requester, responder, rounds, false, changeNothing);
    result["unchanged"] = describe(measureExchanges(requester, responder, exchanges, false, changeNothing));
    for (const int changed : {2, 16}) {
        uint64_t sequence = 10;
        const auto change = [&](int round) {
            // Both sides get new records, as during a rollout or a failure.
            for (int i = 0; i < changed; ++i) {
                const int number = (round * changed + i) % members;
                (i % 2 == 0 ? requester : responder).table.merge({syntheticMember(number, ++sequence)});
            }
        };
        result[AK::concat("changed_", changed)] = describe(measureExchanges(requester, responder, exchanges, false, change));
    }
    for (const auto &[name, value] : result.items()) {
        std::cerr << name << " " << value.dump() << "\n";
    }
    return result;
}
