// Stand-ins for the platform's store, for workers and for clients, as the users' pages describe them. Blocking sockets, one thread for each connection.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Standins
{

/// The parts one after the other.
std::string join(std::initializer_list<std::string_view> parts);

/// Steady time in ms.
int64_t nowMs();
void sleepMs(int64_t duration);

/// A connection over which HTTP/1.1 is spoken.
class Channel
{
public:
    explicit Channel(int socket);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Sends all bytes; false when the peer has closed the connection.
    bool send(std::string_view bytes);
    /// Reads more bytes into the buffer until the steady time `until`.
    enum class Read { Data, Ended, Reset, TimedOut };
    Read fill(int64_t until);
    /// Reads a message head without its empty line.
    Read readHead(std::string &head, int64_t until);
    /// Reads `size` bytes.
    Read readBytes(std::string &bytes, size_t size, int64_t until);
    Read readLine(std::string &line, int64_t until);
    /// Takes what is in the buffer.
    std::string takeBuffered();
    bool hasBuffered() const;
    /// Closes with a reset.
    void reset();
    /// Wakes a thread that reads, as a crash of the process would.
    void shutDown();
    int handle() const;

private:
    int socketHandle;
    std::string buffer;
};

/// Connects within `timeout` ms; nullptr on failure.
std::unique_ptr<Channel> connectTo(const std::string &host, uint16_t port, int64_t timeout);

/// The same over a socket that is given; takes it.
std::unique_ptr<Channel> connectWith(int handle, const std::string &host, uint16_t port, int64_t timeout);

/// Value of a header field, empty when it is missing.
std::string headerOf(const std::string &head, std::string_view name);
std::string methodOf(const std::string &head);
std::string targetOf(const std::string &head);
int statusOf(const std::string &head);

/// A port on `host` that is free now.
uint16_t freePort(const std::string &host);

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Channel &)>;

    Server(const std::string &host, uint16_t port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Ends all connections and waits for their threads.
    void stop();

private:
    void accept();

    int listener = -1;
    Handler handler;
    std::atomic<bool> stopped = false;
    std::mutex mutex;
    std::vector<std::shared_ptr<Channel>> channels;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/// The platform's store: lists, watches, and writes of objects.
class Store
{
public:
    Store(const std::string &host, uint16_t port);

    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void erase(const std::string &kind, const std::string &name);
    /// Names of the objects of a kind.
    std::vector<std::string> names(const std::string &kind);
    void stop();

private:
    struct Object {
        std::string spec;
        int64_t revision = 0;
    };
    struct Event {
        std::string kind;
        std::string name;
        std::string spec;
        int64_t revision = 0;
        bool deleted = false;
    };

    void serve(Channel &channel);
    std::string answer(const std::string &method, const std::string &target, const std::string &body, int &status);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, int64_t since, int64_t wait);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::vector<Event> history;
    int64_t revision = 100;
    std::atomic<bool> stopping = false;
    Server server;
};

/// A request that a worker has read whole.
struct WorkerRequest {
    std::string head;
    std::string body;
    std::string id;
};

/// A worker; `script` answers a request and returns whether the connection stays open. Requests for another instance get 421.
class Worker
{
public:
    using Script = std::function<bool(Channel &, const WorkerRequest &)>;

    Worker(const std::string &instance, const std::string &host, uint16_t port, Script script);
    void stop();

private:
    void serve(Channel &channel);

    std::string instance;
    Script script;
    Server server;
};

/// Head of a sound answer without its empty line.
std::string answerHead(const WorkerRequest &request, int status);
/// A chunk of a body in chunks.
std::string chunk(std::string_view data);

/// What a client has seen of one request.
struct Outcome {
    /// 0 when no answer has begun.
    int status = 0;
    bool complete = false;
    std::string head;
    std::string body;
    /// Time to the end of the answer, or to the failure.
    int64_t took = 0;
};

/// Sends a request over the channel and reads its answer until the steady time `until`.
Outcome call(Channel &channel, const std::string &request, int64_t until);

/// A process of the project. Its output goes to a file.
class Process
{
public:
    Process(const std::string &name, const std::vector<std::string> &command, const std::string &settingsFile, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Whether it still runs.
    bool runs();
    /// Memory in use, in kB.
    int64_t memoryKb() const;
    /// Processor time used, in ms.
    int64_t processorMs() const;

private:
    std::string name;
    pid_t id = -1;
};

/// Addresses of an entry.
struct EntryAddresses {
    std::string host;
    uint16_t clients = 0;
    uint16_t ready = 0;
    uint16_t control = 0;
    uint16_t directory = 0;
};

/// Writes the settings of a `front` machine as the pages show them for a small deployment.
void writeEntrySettings(const std::string &path, const std::string &name, const EntryAddresses &addresses, const std::string &store,
                        const std::vector<std::string> &seeds);

/// Asks a machine whether it is ready, as the platform does; false when there is no 200 within `timeout` ms.
bool isReady(const EntryAddresses &addresses, int64_t timeout);

/// Appends a line to the record of the case.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);

private:
    std::mutex mutex;
    int file = -1;
    int64_t start;
};

} // namespace Standins
