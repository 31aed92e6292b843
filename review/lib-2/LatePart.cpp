// Prompts have 41 parts, and the 36th of some crashes workers. See REPORT-2.md; not a case.
// Arguments: daemon, folder for settings and logs, path of the record, 1 with the disruption or 0 without it.
#include "Standins.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>
#include <unistd.h>

using namespace Standins;

namespace
{

constexpr int engineCount = 6;
constexpr int soundClients = 10;
constexpr int poisonRounds = 20;
constexpr int64_t poisonInterval = 1'500;
// Parts that a prompt shares with others, and the position among them of the part that crashes workers.
constexpr int sharedParts = 40;
constexpr int crashingPosition = 36;
// Of the pages: stableWindowMs of the settings.
constexpr int64_t stableWindow = 3'000;
constexpr int64_t downTime = 4'000;
constexpr int64_t heartbeat = 1'200;
constexpr int64_t streamDeadline = 6'000;
constexpr size_t crashesBefore = 5;
constexpr int allowedLater = 3;
const std::string poisonPart = "bad0c0de";
const std::string soundPart = "90001bad";

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-notes","host":"notes.example","pathPrefix":"/notes/","kind":"streaming","timeoutMs":6000,)"
           R"("targetLatencyMs":400,"service":"assistant","sticky":true,"resumable":true,"gapTargetMs":400,"priority":1,"maxAttempts":2,"public":false,)"
           R"("allowedRegions":[]}],"services":[{"name":"assistant","healthPath":"/health","maxConns":424,"coldStartS":3.0,"coldPerS":0.0,)"
           R"("engine":{"slots":16,"stride":5,"models":[{"name":"daka51","pace":1.0,"loadS":4.0,"warmS":0.3}],"step_ms":8.87,"per_seq_ms":0.0388,)"
           R"("context_per_k":0.0227,"read_per_s":19100.0,"layers":16,"chunks":96,"chunkBytes":24576}}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"bozi300","apiKeys":["jnbanfqasnmgkcuyj8pj"],"priority":1,"allowedRegions":[]}]})";
}

struct Totals {
    std::mutex mutex;
    std::vector<int64_t> crashes;
    std::vector<int64_t> poisonArrivals;
    int soundStreams = 0;
    int wholeStreams = 0;
    int resumed = 0;
};

/// A model worker that crashes when it begins to write an answer to a prompt with the part, and is back some seconds later.
class CrashingWorker
{
public:
    CrashingWorker(int number, const std::string &host, Store &store, Totals &totals, Record &record)
        : number(number)
        , host(host)
        , port(freePort(host))
        , store(store)
        , totals(totals)
        , record(record)
        , manager([this] { this->manage(); })
    {
    }

    ~CrashingWorker()
    {
        this->stopping = true;
        this->manager.join();
    }

    CrashingWorker(const CrashingWorker &) = delete;
    CrashingWorker &operator=(const CrashingWorker &) = delete;

private:
    void start()
    {
        ++this->incarnation;
        this->born += 1'000'000;
        this->instance = "i-worker" + std::to_string(this->number) + "-" + std::to_string(this->incarnation);
        this->crashing = false;
        this->worker = std::make_unique<Worker>(this->instance, this->host, this->port,
                                                [this](Channel &channel, const WorkerRequest &request) { return this->answer(channel, request); });
        this->registerSelf();
    }

    void registerSelf()
    {
        this->store.put("servers", this->instance,
                        R"({"service":"assistant","addr":")" + this->host + ":" + std::to_string(this->port)
                            + R"(","zone":"lima-miraflores","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"born":)" + std::to_string(this->born)
                            + R"(,"stage":"both","models":[{"name":"daka51","version":1,"adapters":[]}],"layers":{"from":0,"to":16,"version":1},"seq":)"
                            + std::to_string(++this->sequence) + "}");
    }

    void manage()
    {
        this->start();
        int64_t beatAt = nowMs() + heartbeat;
        while (!this->stopping) {
            sleepMs(1);
            if (this->crashing) {
                const int64_t crashedAt = nowMs();
                {
                    const std::lock_guard<std::mutex> lock(this->totals.mutex);
                    this->totals.crashes.push_back(crashedAt);
                }
                this->record.line("worker " + this->instance + " crashes");
                this->worker->stop();
                this->worker = nullptr;
                while (!this->stopping && nowMs() - crashedAt < 3 * heartbeat) {
                    sleepMs(10);
                }
                this->store.erase("servers", this->instance);
                while (!this->stopping && nowMs() - crashedAt < downTime) {
                    sleepMs(10);
                }
                this->start();
                this->record.line("worker " + this->instance + " is back");
            }
            if (nowMs() >= beatAt) {
                beatAt = nowMs() + heartbeat;
                this->registerSelf();
            }
        }
        this->worker->stop();
    }

    bool answer(Channel &channel, const WorkerRequest &request)
    {
        constexpr int events = 14;
        constexpr int64_t prefillTime = 60;
        constexpr int64_t pause = 50;
        const bool isPoison = headerOf(request.head, "X-Prompt-Prefix").find(poisonPart) != std::string::npos;
        if (isPoison) {
            this->record.line("request " + request.id + " with the part reaches worker " + this->instance);
            const std::lock_guard<std::mutex> lock(this->totals.mutex);
            this->totals.poisonArrivals.push_back(nowMs());
        }
        sleepMs(prefillTime);
        if (isPoison) {
            this->crashing = true;
            return false;
        }
        const std::string last = headerOf(request.head, "Last-Event-Id");
        if (!channel.send(answerHead(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (int id = last.empty() ? 1 : std::atoi(last.c_str()) + 1; id <= events; ++id) {
            if (!channel.send(chunk("id: " + std::to_string(id) + "\ndata: cure for two hours at twenty degrees\n\n"))) {
                return false;
            }
            sleepMs(pause);
        }
        return channel.send("0\r\n\r\n");
    }

    int number;
    std::string host;
    uint16_t port;
    Store &store;
    Totals &totals;
    Record &record;
    std::string instance;
    int incarnation = 0;
    int sequence = 0;
    int64_t born = 1'700'000'000'000;
    std::unique_ptr<Worker> worker;
    std::atomic<bool> crashing = false;
    std::atomic<bool> stopping = false;
    std::thread manager;
};

std::string streamRequest(const std::string &id, const std::string &parts, int64_t timeLeft)
{
    return "POST /notes/2f HTTP/1.1\r\nHost: notes.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(timeLeft)
        + "\r\nX-Model: daka51\r\nX-Token-Count: 1200,70\r\nX-Prompt-Prefix: " + parts + "\r\nX-Api-Key: jnbanfqasnmgkcuyj8pj\r\nContent-Length: 320\r\n\r\n"
        + std::string(320, 'p');
}

std::string nextNumber()
{
    static std::atomic<uint64_t> next = 1;
    return std::to_string(10'000'000 + next++);
}

// Parts of a prompt in order; the last one belongs to the request.
std::string promptOf(const std::string &specialPart)
{
    std::string parts;
    for (int position = 1; position <= sharedParts; ++position) {
        parts += position == crashingPosition ? specialPart : "5c1e07" + std::to_string(100 + position);
        parts += ":20,";
    }
    return parts + nextNumber() + ":400";
}

// A request with one retry, as the sheet says; each attempt has an id of its own and a new channel.
bool request(const EntryAddresses &entry, const std::string &parts, const std::string &what, Record &record)
{
    constexpr int attempts = 2;
    const int64_t until = nowMs() + streamDeadline;
    for (int attempt = 0; attempt < attempts && nowMs() < until; ++attempt) {
        const std::string id = "9c41d07b" + nextNumber();
        const std::unique_ptr<Channel> channel = connectTo(entry.host, entry.clients, 1'000);
        if (channel == nullptr) {
            continue;
        }
        const Outcome outcome = call(*channel, streamRequest(id, parts, until - nowMs()), until);
        const bool whole = outcome.complete && outcome.status == 200;
        record.line(join({what, " ", id, " attempt ", std::to_string(attempt + 1), " status ", std::to_string(outcome.status),
                          outcome.complete ? " whole" : " no whole answer", " after ", std::to_string(outcome.took), " ms"}));
        if (whole) {
            return true;
        }
        const std::string retryAfter = headerOf(outcome.head, "Retry-After");
        if (!retryAfter.empty()) {
            constexpr double millisecondsPerSecond = 1'000;
            sleepMs(std::min((until - nowMs()) / 3, static_cast<int64_t>(std::atof(retryAfter.c_str()) * millisecondsPerSecond)));
        }
    }
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: late_part DAEMON FOLDER RECORD TROUBLE\n";
        return 2;
    }
    const std::string folder = argv[2];
    const bool trouble = std::string(argv[4]) != "0";
    Record record(argv[3]);
    const std::string host = "127.42." + std::to_string(1 + ::getpid() / 250 % 250) + "." + std::to_string(1 + ::getpid() % 250);
    const uint16_t storePort = freePort(host);
    Store store(host, storePort);
    store.put("config", "main", configuration());
    Totals totals;
    std::vector<std::unique_ptr<CrashingWorker>> workers;
    workers.reserve(engineCount);
    for (int i = 0; i < engineCount; ++i) {
        workers.push_back(std::make_unique<CrashingWorker>(i, host, store, totals, record));
    }

    const EntryAddresses entry{host, freePort(host), freePort(host), freePort(host), freePort(host)};
    const std::string settings = folder + "/entry.yaml";
    writeEntrySettings(settings, "front-lima-miraflores-1", entry, host + ":" + std::to_string(storePort), {host + ":" + std::to_string(entry.control)});
    Process process("entry", {argv[1], "--platform", "entry"}, settings, folder + "/entry.txt");
    const int64_t startedAt = nowMs();
    while (!isReady(entry, 200) && nowMs() - startedAt < 5'000 && process.runs()) {
        sleepMs(50);
    }
    const bool started = isReady(entry, 1'000);
    std::atomic<bool> stopping = false;
    std::vector<std::thread> clients;
    if (started) {
        sleepMs(1'000);
        for (int i = 0; i < soundClients; ++i) {
            clients.emplace_back([&] {
                while (!stopping) {
                    const bool whole = request(entry, promptOf("5c1e07ff"), "sound", record);
                    const std::lock_guard<std::mutex> lock(totals.mutex);
                    ++totals.soundStreams;
                    totals.wholeStreams += whole ? 1 : 0;
                }
            });
        }
        sleepMs(2'000);
        for (int round = 0; round < poisonRounds; ++round) {
            const int64_t roundAt = nowMs();
            request(entry, promptOf(trouble ? poisonPart : soundPart), trouble ? "crashing" : "other", record);
            sleepMs(round + 1 < poisonRounds ? roundAt + poisonInterval - nowMs() : 2'000);
        }
    }
    stopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    workers.clear();
    process.signal(SIGKILL);
    store.stop();
    if (!started) {
        record.line("the entry was not ready");
        return 2;
    }
    std::sort(totals.crashes.begin(), totals.crashes.end());
    int later = 0;
    if (totals.crashes.size() >= crashesBefore) {
        const int64_t from = totals.crashes[crashesBefore - 1] + stableWindow;
        later = static_cast<int>(std::count_if(totals.poisonArrivals.begin(), totals.poisonArrivals.end(), [&](int64_t arrival) { return arrival > from; }));
    }
    record.line("crashes " + std::to_string(totals.crashes.size()) + ", requests with the part that reached workers "
                + std::to_string(totals.poisonArrivals.size()) + ", of these later than 3000 ms after the fifth crash " + std::to_string(later)
                + "; sound requests " + std::to_string(totals.soundStreams) + ", served " + std::to_string(totals.wholeStreams));
    const bool broken = later > allowedLater;
    record.line(broken ? "BUDGET broken" : "BUDGET held");
    std::cout << (broken ? "BUDGET broken" : "BUDGET held") << ": " << later
              << " requests with the part reached workers later than 3 s after the fifth crash\n";
    return broken ? 1 : 0;
}
