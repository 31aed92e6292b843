#include "ProcessTest.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>

namespace
{

const std::string service = "bench-assistant";
constexpr int tokens = 20;
// A stream of this many tokens lasts for seconds, so that it is surely in flight when its entry is killed right after its first line.
constexpr int heldTokens = 800;
constexpr AK::Milliseconds heldTimeoutMs = 20'000;

struct FaultCase {
    const char *name;
    void (*disturb)(Harness::Site &site);
    void (*repair)(Harness::Site &site);
    /// Entries through which a long stream is in flight when the fault begins. The fault must cut each of them.
    std::vector<int> heldEntries = {};
};

/// A stream in flight, of which the first line has been read.
struct HeldStream {
    std::unique_ptr<LibHttp::HttpStream> stream;
    Harness::CallRecord record;
};

HeldStream holdStream(Harness::Site &site, int entry)
{
    HeldStream held;
    held.record.label = AK::concat("long batch ", entry);
    LibHttp::HttpRequest request = Harness::completionCall(service, held.record.label, true, heldTokens).request;
    request.headers["authorization"] = "Bearer " + site.accountKey(1);
    request.headers["x-deadline-ms"] = std::to_string(heldTimeoutMs);
    auto opened = LibHttp::HttpStream::open(site.entryAddress(entry), request, heldTimeoutMs);
    EXPECT_TRUE(opened.ok()) << opened.status();
    if (opened.ok()) {
        held.stream = std::move(*opened);
        const auto line = held.stream->readLine();
        EXPECT_TRUE(line.ok() && line->has_value()) << line.status();
        held.record.body = line.ok() ? line->value_or("") + "\n" : "";
    }
    return held;
}

/// Reads the rest of a held stream.
Harness::CallRecord finishStream(HeldStream held)
{
    while (held.stream) {
        const auto line = held.stream->readLine();
        if (!line.ok() || !line->has_value()) {
            held.record.complete = line.ok() && held.record.body.find("data: [DONE]") != std::string::npos;
            break;
        }
        held.record.body += **line + "\n";
    }
    return held.record;
}

void setEngineFault(Harness::Site &site, const std::string &mode)
{
    for (const std::string &agent : site.agents(service)) {
        setFault(site.upstreamAddress(agent), {{"mode", mode}});
    }
}

void killAndStart(Harness::Site &site, const std::string &name)
{
    site.process(name).kill();
    site.startDaemon(name);
}

class CompleteResponsesTest : public testing::TestWithParam<FaultCase>
{
};

// Guards against cut responses that look complete and against responses that reach another caller.
TEST_P(CompleteResponsesTest, EachCallerGetsItsOwnCompleteResponseOrAnError)
{
    Harness::Site site(smallPlan({modelService(3)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    Harness::LoadPlan plan = completionLoad(service, 60, tokens);
    const auto makeCall = plan.makeCall;
    plan.makeCall = [makeCall](uint64_t sequence) {
        Harness::CallPlan call = makeCall(sequence);
        // A call whose response was cut is not retried, so that the cut response stays in its record and is checked.
        call.repeatable = false;
        call.deadlineMs = 3'000;
        return call;
    };
    Harness::Load load(site, plan);
    ASSERT_TRUE(load.waitForNewCalls(40, waitLimitMs));
    std::vector<HeldStream> held;
    for (const int entry : GetParam().heldEntries) {
        held.push_back(holdStream(site, entry));
    }
    ASSERT_FALSE(HasFailure());
    GetParam().disturb(site);
    ASSERT_TRUE(load.waitForNewCalls(0, waitLimitMs));
    GetParam().repair(site);
    EXPECT_TRUE(load.waitForNewCalls(40, waitLimitMs));
    const std::vector<Harness::CallRecord> records = load.finish();
    std::vector<Harness::CallRecord> heldRecords;
    heldRecords.reserve(held.size());
    for (HeldStream &stream : held) {
        heldRecords.push_back(finishStream(std::move(stream)));
    }
    const auto cut = [](const Harness::CallRecord &record) {
        return !record.complete;
    };
    EXPECT_EQ(std::ranges::count_if(heldRecords, cut), std::ssize(heldRecords)) << "a stream lasted past the kill of its entry";
    EXPECT_GT(std::ranges::count_if(records, cut) + std::ranges::count_if(heldRecords, cut), 0) << "the fault cut no response";
    expectOwnResponses(records, site.weightsRoot(service, "1"), tokens);
    expectOwnResponses(heldRecords, site.weightsRoot(service, "1"), heldTokens);
}

void noRepair(Harness::Site &)
{
}

INSTANTIATE_TEST_SUITE_P(Table, CompleteResponsesTest,
                         testing::Values(FaultCase{"streams_cut", [](Harness::Site &site) { setEngineFault(site, "cut_stream"); },
                                                   [](Harness::Site &site) {
                                                       setEngineFault(site, "none");
                                                   }},
                                         FaultCase{"engines_stall", [](Harness::Site &site) { setEngineFault(site, "stall"); },
                                                   [](Harness::Site &site) {
                                                       setEngineFault(site, "none");
                                                   }},
                                         FaultCase{"engines_restart",
                                                   [](Harness::Site &site) {
                                                       for (const std::string &agent : site.agents(service)) {
                                                           restartEngine(site, agent);
                                                       }
                                                   },
                                                   &noRepair},
                                         FaultCase{"agents_killed",
                                                   [](Harness::Site &site) {
                                                       for (const std::string &agent : site.agents(service)) {
                                                           killAndStart(site, agent);
                                                       }
                                                   },
                                                   &noRepair},
                                         FaultCase{"entries_killed",
                                                   [](Harness::Site &site) {
                                                       killAndStart(site, "entry-1");
                                                       killAndStart(site, "entry-2");
                                                   },
                                                   &noRepair,
                                                   {1, 2}}),
                         [](const auto &info) { return info.param.name; });

} // namespace
