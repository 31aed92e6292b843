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

/// Processor time of this whole program in ms.
double processorMs()
{
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

/// One process as far as exchanges go.
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

// A record as an agent of an engine has it after a rollout.
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

/// Sums over a number of exchanges of both sides.
struct Cost {
    double processorMs = 0;
    double elapsedMs = 0;
    double bytes = 0;
};

Cost measureExchanges(Peer &asker, const Peer &answerer, int count, bool wholeTable, const std::function<void(int)> &before)
{
    Cost cost;
    for (int i = 0; i < count; ++i) {
        before(i);
        const double processor = processorMs();
        const auto bytes = static_cast<double>(asker.identity.traffic->bytes());
        timespec start{};
        ::clock_gettime(CLOCK_MONOTONIC, &start);
        const bool answered = asker.exchanges.exchangeWith(answerer.settings.rpcAddress, answerer.settings.name, wholeTable, timeoutMs);
        timespec end{};
        ::clock_gettime(CLOCK_MONOTONIC, &end);
        requireOk(answered ? absl::OkStatus() : absl::UnavailableError("the second process did not answer"), "exchange");
        cost.processorMs += (processorMs() - processor) / count;
        cost.bytes += (static_cast<double>(asker.identity.traffic->bytes()) - bytes) / count;
        cost.elapsedMs += (static_cast<double>(end.tv_sec - start.tv_sec) * 1e3 + static_cast<double>(end.tv_nsec - start.tv_nsec) / 1e6) / count;
    }
    return cost;
}

nlohmann::json describe(const Cost &cost)
{
    // Processor time is that of both sides; each process asks once and answers once in a second on average, so the sum is its cost per second.
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
    Peer asker("entry-1", network + "1");
    Peer answerer("entry-2", network + "2");
    const auto nothing = [](int) {
    };
    nlohmann::json result{{"members", members}};
    answerer.table.merge(syntheticMembers(members, 1));
    const Cost whole = measureExchanges(asker, answerer, 1, true, nothing);
    result["first_whole_table"] = describe(whole);
    result["whole_table"] = describe(measureExchanges(asker, answerer, 20, true, nothing));
    // Until no record is new any more: each is sent a bounded number of times.
    const int rounds = members * 33 / 16 + 100;
    measureExchanges(asker, answerer, rounds, false, nothing);
    result["unchanged"] = describe(measureExchanges(asker, answerer, exchanges, false, nothing));
    for (const int changed : {2, 16}) {
        uint64_t sequence = 10;
        const auto change = [&](int round) {
            // New records at both sides, as when a rollout or a failure is under way.
            for (int i = 0; i < changed; ++i) {
                const int number = (round * changed + i) % members;
                (i % 2 == 0 ? asker : answerer).table.merge({syntheticMember(number, ++sequence)});
            }
        };
        result[AK::concat("changed_", changed)] = describe(measureExchanges(asker, answerer, exchanges, false, change));
    }
    for (const auto &[name, value] : result.items()) {
        std::cerr << name << " " << value.dump() << "\n";
    }
    return result;
}
