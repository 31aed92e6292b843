// One of four model workers sends lines without end, and never the empty line that ends an event. See claim.txt.
// Arguments: daemon, folder for settings and logs, path of the record, 1 with the disruption or 0 without it.
#include "../lib-2/Standins.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

using namespace Standins;

namespace
{

constexpr int64_t settleTime = 4'000;
constexpr int64_t troubleTime = 12'000;
constexpr int64_t endTime = 4'000;
// timeoutMs of the routes that are judged, and the time after it of the rule.
constexpr int64_t routeTimeout = 1'000;
constexpr int64_t ruleSlack = 500;
constexpr int64_t clientDeadline = 4'000;
constexpr int64_t streamDeadline = 6'000;
// From this many requests on the rule CONFIG counts.
constexpr int fewestLate = 8;

struct Totals {
    std::mutex mutex;
    int calls = 0;
    int unansweredAtTimeout = 0;
    int unansweredLater = 0;
    int streams = 0;
    int wholeStreams = 0;
    int notReadyInRow = 0;
    int mostNotReadyInRow = 0;
    /// Of the whole answers to all clients.
    int64_t lastAnswerAt = 0;
    int64_t longestSilence = 0;

    void noteAnswer()
    {
        const int64_t now = nowMs();
        this->longestSilence = this->lastAnswerAt == 0 ? 0 : std::max(this->longestSilence, now - this->lastAnswerAt);
        this->lastAnswerAt = now;
    }
};

std::string configuration()
{
    const std::string common = R"("priority":1,"maxAttempts":2,"public":false,"allowedRegions":[])";
    return R"({"version":7,"routes":[)"
           R"({"name":"r-notes","host":"notes.example","pathPrefix":"/notes/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,)"
           R"("service":"assistant","sticky":true,"resumable":true,"gapTargetMs":400,)"
        + common
        + R"(},{"name":"r-confirm","host":"desk.example","pathPrefix":"/confirm/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":100,"service":"desk",)"
        + common + R"(},{"name":"r-stock","host":"desk.example","pathPrefix":"/stock/","kind":"safe","timeoutMs":1000,"targetLatencyMs":100,"service":"desk",)"
        + common
        + R"(}],"services":[{"name":"assistant","healthPath":"/health","maxConns":424,"coldStartS":3.0,"coldPerS":0.0,"engine":{"slots":16,"stride":5,)"
          R"("models":[{"name":"daka51","pace":1.0,"loadS":4.0,"warmS":0.3}],"step_ms":8.87,"per_seq_ms":0.0388,"context_per_k":0.0227,)"
          R"("read_per_s":19100.0,"layers":16,"chunks":96,"chunkBytes":24576}},{"name":"desk","healthPath":"/health","maxConns":96,"coldStartS":0.0,)"
          R"("coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
          R"("tenants":[{"name":"bozi300","apiKeys":["jnbanfqasnmgkcuyj8pj"],"priority":1,"allowedRegions":[]}]})";
}

std::string registration(const std::string &service, const std::string &address, int slots, int sequence)
{
    const std::string weights =
        service == "assistant" ? R"(,"stage":"both","models":[{"name":"daka51","version":1,"adapters":[]}],"layers":{"from":0,"to":16,"version":1})" : "";
    return R"({"service":")" + service + R"(","addr":")" + address + R"(","zone":"lima-miraflores","version":"v1","slots":)" + std::to_string(slots)
        + R"(,"state":"ready","coldLeftMs":0,"born":1700000000000)" + weights + R"(,"seq":)" + std::to_string(sequence) + "}";
}

std::string requestId()
{
    static std::atomic<uint64_t> next = 1;
    return "9c41d07b" + std::to_string(10'000'000 + next++);
}

// A sound stream: 14 events, one each 50 ms.
bool streamSoundly(Channel &channel, const WorkerRequest &request)
{
    constexpr int events = 14;
    constexpr int64_t pause = 50;
    const std::string last = headerOf(request.head, "Last-Event-Id");
    if (!channel.send(answerHead(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int id = last.empty() ? 1 : std::atoi(last.c_str()) + 1; id <= events; ++id) {
        sleepMs(pause);
        if (!channel.send(chunk("id: " + std::to_string(id) + "\ndata: cure for two hours at twenty degrees\n\n"))) {
            return false;
        }
    }
    return channel.send("0\r\n\r\n");
}

// The answer begins soundly. Then bytes that are no answer, until the caller closes: lines of which no empty line makes events.
bool streamLines(Channel &channel, const WorkerRequest &request)
{
    if (!channel.send(answerHead(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    const std::string last = headerOf(request.head, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    if (!channel.send(chunk("id: " + std::to_string(first) + "\ndata: cure for two hours at twenty degrees\n\n"))) {
        return false;
    }
    std::string block;
    for (int i = 0; i < 256; ++i) {
        block += chunk("y\r\n");
    }
    while (channel.send(block)) {}
    return false;
}

bool answerDesk(Channel &channel, const WorkerRequest &request)
{
    constexpr int64_t workTime = 15;
    sleepMs(workTime);
    const std::string body(800, 'b');
    return channel.send(answerHead(request, 200) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void callDesk(const EntryAddresses &entry, const std::atomic<bool> &stopping, bool isSafe, Totals &totals, Record &record)
{
    std::unique_ptr<Channel> channel;
    while (!stopping) {
        const std::string id = requestId();
        const std::string body(isSafe ? 0 : 600, 'c');
        const std::string request = join({isSafe ? "GET /stock/2f HTTP/1.1\r\n" : "POST /confirm/2f HTTP/1.1\r\n", "Host: desk.example\r\nX-Attempt-Id: ", id,
                                          "\r\nX-Deadline-Ms: ", std::to_string(clientDeadline), "\r\nX-Api-Key: jnbanfqasnmgkcuyj8pj\r\n",
                                          isSafe ? "" : "Content-Length: 600\r\n", "\r\n", body});
        if (channel == nullptr) {
            channel = connectTo(entry.host, entry.clients, 1'000);
        }
        if (channel == nullptr) {
            continue;
        }
        const Outcome outcome = call(*channel, request, nowMs() + clientDeadline);
        {
            const std::lock_guard<std::mutex> lock(totals.mutex);
            ++totals.calls;
            if (outcome.complete) {
                totals.noteAnswer();
            }
            totals.unansweredAtTimeout += outcome.took > routeTimeout ? 1 : 0;
            totals.unansweredLater += outcome.took > routeTimeout + ruleSlack ? 1 : 0;
        }
        record.line(std::string(isSafe ? "stock " : "confirm ") + id + " status " + std::to_string(outcome.status)
                    + (outcome.complete ? " whole" : " no whole answer") + " after " + std::to_string(outcome.took) + " ms");
        if (!outcome.complete || headerOf(outcome.head, "Connection") == "close") {
            channel = nullptr;
        }
        sleepMs(200);
    }
}

void callStreams(const EntryAddresses &entry, const std::atomic<bool> &stopping, Totals &totals, Record &record)
{
    while (!stopping) {
        const std::string id = requestId();
        const std::unique_ptr<Channel> channel = connectTo(entry.host, entry.clients, 1'000);
        if (channel == nullptr) {
            continue;
        }
        const std::string request = "POST /notes/2f HTTP/1.1\r\nHost: notes.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(streamDeadline) + "\r\nX-Model: daka51\r\nX-Token-Count: 640,70\r\nX-Prompt-Prefix: 5c1e07a2:40,"
            + id.substr(8) + ":600\r\nX-Api-Key: jnbanfqasnmgkcuyj8pj\r\nContent-Length: 320\r\n\r\n" + std::string(320, 'p');
        const Outcome outcome = call(*channel, request, nowMs() + streamDeadline);
        {
            const std::lock_guard<std::mutex> lock(totals.mutex);
            ++totals.streams;
            if (outcome.complete) {
                totals.noteAnswer();
            }
            totals.wholeStreams += outcome.complete && outcome.status == 200 ? 1 : 0;
        }
        record.line("stream " + id + " status " + std::to_string(outcome.status) + (outcome.complete ? " whole" : " no whole answer") + " after "
                    + std::to_string(outcome.took) + " ms");
        sleepMs(100);
    }
}

// The platform asks once per second.
void askReadiness(const EntryAddresses &entry, const std::atomic<bool> &stopping, Totals &totals, Record &record)
{
    while (!stopping) {
        const int64_t askedAt = nowMs();
        const bool ready = isReady(entry, 1'000);
        {
            const std::lock_guard<std::mutex> lock(totals.mutex);
            totals.notReadyInRow = ready ? 0 : totals.notReadyInRow + 1;
            totals.mostNotReadyInRow = std::max(totals.mostNotReadyInRow, totals.notReadyInRow);
        }
        if (!ready) {
            record.line("platform: readiness not answered within 1000 ms");
        }
        sleepMs(askedAt + 1'000 - nowMs());
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: endless_lines DAEMON FOLDER RECORD TROUBLE\n";
        return 2;
    }
    const std::string folder = argv[2];
    const bool trouble = std::string(argv[4]) != "0";
    Record record(argv[3]);
    const std::string host = "127.41." + std::to_string(1 + ::getpid() / 250 % 250) + "." + std::to_string(1 + ::getpid() % 250);
    const uint16_t storePort = freePort(host);
    Store store(host, storePort);
    store.put("config", "main", configuration());

    std::atomic<bool> faulty = false;
    std::atomic<int> faultyAnswers = 0;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::array<std::string, 3>> registrations;
    for (int i = 0; i < 6; ++i) {
        const bool isEngine = i < 4;
        const std::string id = "i-worker" + std::to_string(i);
        const uint16_t port = freePort(host);
        const Worker::Script script = [i, isEngine, &faulty, &faultyAnswers](Channel &channel, const WorkerRequest &request) {
            if (!isEngine) {
                return answerDesk(channel, request);
            }
            if (i == 0 && faulty) {
                ++faultyAnswers;
                return streamLines(channel, request);
            }
            return streamSoundly(channel, request);
        };
        workers.push_back(std::make_unique<Worker>(id, host, port, script));
        registrations.push_back({id, isEngine ? "assistant" : "desk", host + ":" + std::to_string(port)});
    }
    std::atomic<bool> stopping = false;
    std::thread heartbeats([&] {
        for (int sequence = 1; !stopping; ++sequence) {
            for (const auto &[id, service, address] : registrations) {
                store.put("servers", id, registration(service, address, service == "assistant" ? 16 : 6, sequence));
            }
            sleepMs(1'200);
        }
    });

    EntryAddresses entry{host, freePort(host), freePort(host), freePort(host), freePort(host)};
    const std::string settings = folder + "/entry.yaml";
    writeEntrySettings(settings, "front-lima-miraflores-1", entry, host + ":" + std::to_string(storePort), {host + ":" + std::to_string(entry.control)});
    Process process("entry", {argv[1], "--platform", "entry"}, settings, folder + "/entry.txt");
    const int64_t startedAt = nowMs();
    while (!isReady(entry, 200) && nowMs() - startedAt < 10'000 && process.runs()) {
        sleepMs(100);
    }
    const bool started = isReady(entry, 1'000);
    if (started) {
        sleepMs(2'000);
    }

    Totals totals;
    std::vector<std::thread> clients;
    if (started) {
        clients.emplace_back([&] { askReadiness(entry, stopping, totals, record); });
        for (int i = 0; i < 8; ++i) {
            clients.emplace_back([&, i] { callDesk(entry, stopping, i >= 6, totals, record); });
        }
        for (int i = 0; i < 60; ++i) {
            clients.emplace_back([&] { callStreams(entry, stopping, totals, record); });
        }
        sleepMs(settleTime);
        const int64_t before = process.processorMs();
        faulty = trouble;
        record.line(trouble ? "worker 0 sends lines without end from now on" : "no disruption");
        sleepMs(troubleTime);
        record.line("processor time of the entry in this time: " + std::to_string(process.processorMs() - before) + " of " + std::to_string(troubleTime)
                    + " ms; answers with lines: " + std::to_string(faultyAnswers));
        faulty = false;
        sleepMs(endTime);
    }
    stopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    heartbeats.join();
    const bool running = process.runs();
    process.signal(SIGKILL);
    for (const auto &worker : workers) {
        worker->stop();
    }
    store.stop();
    record.line("calls " + std::to_string(totals.calls) + ", unanswered at timeoutMs " + std::to_string(totals.unansweredAtTimeout)
                + ", of these unanswered 500 ms later " + std::to_string(totals.unansweredLater));
    record.line("streams " + std::to_string(totals.streams) + ", whole " + std::to_string(totals.wholeStreams)
                + "; questions for readiness in a row without a 200: " + std::to_string(totals.mostNotReadyInRow)
                + "; longest time without a whole answer to any client " + std::to_string(totals.longestSilence) + " ms; the entry "
                + (running ? "ran" : "had ended"));
    if (!started) {
        record.line("the entry was not ready");
        return 2;
    }
    const bool broken = totals.unansweredAtTimeout >= fewestLate && 2 * totals.unansweredLater > totals.unansweredAtTimeout;
    record.line(broken ? "CONFIG broken" : "CONFIG held");
    std::cout << (broken ? "CONFIG broken" : "CONFIG held") << ": " << totals.unansweredLater << " of " << totals.unansweredAtTimeout
              << " calls unanswered at timeoutMs have no answer 500 ms later\n";
    return broken ? 1 : 0;
}
