#include "Standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Standins
{

namespace
{

constexpr int64_t longTime = 600'000;
constexpr size_t readSize = 65'536;

sockaddr_in addressOf(const std::string &host, uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string objectText(const std::string &name, const std::string &spec, int64_t revision)
{
    std::ostringstream text;
    text << R"({"metadata":{"name":")" << name << R"(","revision":)" << revision << R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" << spec
         << R"(,"status":null})";
    return text.str();
}

// The JSON value that follows a field name; enough for what the system itself writes.
std::string fieldOf(const std::string &json, const std::string &name)
{
    size_t start = json.find("\"" + name + "\":");
    if (start == std::string::npos) {
        return "";
    }
    start += name.size() + 3;
    if (json[start] == '"') {
        const size_t end = json.find('"', start + 1);
        return json.substr(start + 1, end - start - 1);
    }
    int depth = 0;
    bool inString = false;
    for (size_t i = start; i < json.size(); ++i) {
        const char letter = json[i];
        if (inString) {
            i += letter == '\\' ? 1 : 0;
            inString = letter != '"';
        } else if (letter == '"') {
            inString = true;
        } else if (letter == '{' || letter == '[') {
            ++depth;
        } else if (letter == '}' || letter == ']') {
            --depth;
            if (depth == 0) {
                return json.substr(start, i + 1 - start);
            }
            if (depth < 0) {
                return json.substr(start, i - start);
            }
        } else if (letter == ',' && depth == 0) {
            return json.substr(start, i - start);
        }
    }
    return json.substr(start);
}

std::string queryOf(const std::string &target, const std::string &name)
{
    size_t start = target.find('?');
    while (start != std::string::npos) {
        const size_t end = std::min(target.find('&', start + 1), target.size());
        const std::string parameter = target.substr(start + 1, end - start - 1);
        if (parameter.substr(0, name.size() + 1) == name + "=") {
            return parameter.substr(name.size() + 1);
        }
        start = end < target.size() ? end : std::string::npos;
    }
    return "";
}

} // namespace

std::string join(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text += part;
    }
    return text;
}

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepMs(int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<int64_t>(0, duration)));
}

Channel::Channel(int socket)
    : socketHandle(socket)
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

Channel::~Channel()
{
    ::close(this->socketHandle);
}

int Channel::handle() const
{
    return this->socketHandle;
}

bool Channel::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->socketHandle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            if (sent < 0 && errno == EINTR) {
                continue;
            }
            return false;
        }
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

Channel::Read Channel::fill(int64_t until)
{
    while (true) {
        pollfd waiting{this->socketHandle, POLLIN, 0};
        const int64_t left = until - nowMs();
        const int ready = ::poll(&waiting, 1, static_cast<int>(std::clamp<int64_t>(left, 0, longTime)));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready <= 0) {
            return Read::TimedOut;
        }
        std::string bytes(readSize, '\0');
        const ssize_t size = ::recv(this->socketHandle, bytes.data(), bytes.size(), 0);
        if (size == 0) {
            return Read::Ended;
        }
        if (size < 0) {
            return Read::Reset;
        }
        this->buffer.append(bytes, 0, static_cast<size_t>(size));
        return Read::Data;
    }
}

Channel::Read Channel::readHead(std::string &head, int64_t until)
{
    size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (const Read read = this->fill(until); read != Read::Data) {
            return read;
        }
    }
    head = this->buffer.substr(0, end + 2);
    this->buffer.erase(0, end + 4);
    return Read::Data;
}

Channel::Read Channel::readBytes(std::string &bytes, size_t size, int64_t until)
{
    while (this->buffer.size() < size) {
        if (const Read read = this->fill(until); read != Read::Data) {
            return read;
        }
    }
    bytes = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return Read::Data;
}

Channel::Read Channel::readLine(std::string &line, int64_t until)
{
    size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
        if (const Read read = this->fill(until); read != Read::Data) {
            return read;
        }
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return Read::Data;
}

std::string Channel::takeBuffered()
{
    std::string taken;
    taken.swap(this->buffer);
    return taken;
}

bool Channel::hasBuffered() const
{
    return !this->buffer.empty();
}

void Channel::reset()
{
    const linger hard{1, 0};
    setsockopt(this->socketHandle, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

void Channel::shutDown()
{
    ::shutdown(this->socketHandle, SHUT_RDWR);
}

std::unique_ptr<Channel> connectTo(const std::string &host, uint16_t port, int64_t timeout)
{
    return connectWith(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), host, port, timeout);
}

std::unique_ptr<Channel> connectWith(int handle, const std::string &host, uint16_t port, int64_t timeout)
{
    const sockaddr_in address = addressOf(host, port);
    ::fcntl(handle, F_SETFL, ::fcntl(handle, F_GETFL) | O_NONBLOCK);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd waiting{handle, POLLOUT, 0};
        int failure = 0;
        socklen_t size = sizeof failure;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, static_cast<int>(timeout)) != 1 || ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &failure, &size) != 0
            || failure != 0) {
            ::close(handle);
            return nullptr;
        }
    }
    ::fcntl(handle, F_SETFL, ::fcntl(handle, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Channel>(handle);
}

std::string headerOf(const std::string &head, std::string_view name)
{
    const std::string wanted = lower("\r\n" + std::string(name) + ":");
    const size_t found = lower(head).find(wanted);
    if (found == std::string::npos) {
        return "";
    }
    size_t start = found + wanted.size();
    while (start < head.size() && head[start] == ' ') {
        ++start;
    }
    return head.substr(start, head.find("\r\n", start) - start);
}

std::string methodOf(const std::string &head)
{
    return head.substr(0, head.find(' '));
}

std::string targetOf(const std::string &head)
{
    const size_t start = head.find(' ') + 1;
    return head.substr(start, head.find(' ', start) - start);
}

int statusOf(const std::string &head)
{
    return std::atoi(targetOf(head).c_str());
}

uint16_t freePort(const std::string &host)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(host, 0);
    socklen_t size = sizeof address;
    (void)::bind(handle, reinterpret_cast<const sockaddr *>(&address), size);
    ::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(handle);
    return ntohs(address.sin_port);
}

Server::Server(const std::string &host, uint16_t port, Handler handler)
    : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , handler(std::move(handler))
{
    const int enabled = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in address = addressOf(host, port);
    constexpr int backlog = 512;
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(this->listener, backlog) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    this->acceptor = std::thread([this] { this->accept(); });
}

Server::~Server()
{
    this->stop();
}

void Server::accept()
{
    while (!this->stopped) {
        const int handle = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
            if (this->stopped) {
                return;
            }
            continue;
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        auto channel = std::make_shared<Channel>(handle);
        this->channels.push_back(channel);
        this->threads.emplace_back([this, channel = std::move(channel)] {
            this->handler(*channel);
            const std::lock_guard<std::mutex> inner(this->mutex);
            std::erase(this->channels, channel);
        });
    }
}

void Server::stop()
{
    if (this->stopped.exchange(true)) {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    ::close(this->listener);
    this->acceptor.join();
    std::vector<std::thread> ending;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const auto &channel : this->channels) {
            channel->shutDown();
        }
        ending.swap(this->threads);
    }
    for (std::thread &thread : ending) {
        thread.join();
    }
}

Store::Store(const std::string &host, uint16_t port)
    : server(host, port, [this](Channel &channel) { this->serve(channel); })
{
}

void Store::stop()
{
    this->stopping = true;
    this->changed.notify_all();
    this->server.stop();
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Object &object = this->objects[kind][name];
    if (object.spec == spec) {
        return;
    }
    object = {spec, ++this->revision};
    this->history.push_back({kind, name, spec, this->revision, false});
    this->changed.notify_all();
}

void Store::erase(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end()) {
        return;
    }
    this->history.push_back({kind, name, found->second.spec, ++this->revision, true});
    this->objects[kind].erase(found);
    this->changed.notify_all();
}

std::vector<std::string> Store::names(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> result;
    for (const auto &[name, object] : this->objects[kind]) {
        result.push_back(name);
    }
    return result;
}

std::string Store::list(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::string items;
    for (const auto &[name, object] : this->objects[kind]) {
        items += (items.empty() ? "" : ",") + objectText(name, object.spec, object.revision);
    }
    return R"({"items":[)" + items + R"(],"truncated":false,"currentRev":)" + std::to_string(this->revision) + "}";
}

std::string Store::watch(const std::string &kind, int64_t since, int64_t wait)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    const int64_t until = nowMs() + wait;
    while (true) {
        std::string events;
        for (const Event &event : this->history) {
            if (event.kind == kind && event.revision > since) {
                events += (events.empty() ? "" : ",") + (R"({"deleted":)" + std::string(event.deleted ? "true" : "false")) + R"(,"object":)"
                    + objectText(event.name, event.spec, event.revision) + "}";
            }
        }
        const int64_t left = until - nowMs();
        if (!events.empty() || left <= 0 || this->stopping) {
            return R"({"events":[)" + events + R"(],"currentRev":)" + std::to_string(this->revision) + "}";
        }
        this->changed.wait_for(lock, std::chrono::milliseconds(left));
    }
}

std::string Store::answer(const std::string &method, const std::string &target, const std::string &body, int &status)
{
    static const std::string prefix = "/v1/objects/";
    const std::string path = target.substr(0, target.find('?'));
    if (path.substr(0, prefix.size()) != prefix) {
        status = 404;
        return "{}";
    }
    const std::string rest = path.substr(prefix.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
    status = 200;
    if (method == "GET" && !queryOf(target, "watch").empty()) {
        return this->watch(kind, std::atoll(queryOf(target, "watch").c_str()), std::atoll(queryOf(target, "waitMs").c_str()));
    }
    if (method == "GET") {
        return this->list(kind);
    }
    if (method == "DELETE") {
        this->erase(kind, name);
        return "{}";
    }
    const std::string objectName = name.empty() ? fieldOf(fieldOf(body, "metadata"), "name") : name;
    if (method == "POST") {
        const std::vector<std::string> existing = this->names(kind);
        if (std::find(existing.begin(), existing.end(), objectName) != existing.end()) {
            status = 409;
            return "{}";
        }
        status = 201;
    }
    this->put(kind, objectName, fieldOf(body, "spec"));
    return "{}";
}

void Store::serve(Channel &channel)
{
    while (!this->stopping) {
        std::string head;
        std::string body;
        if (channel.readHead(head, nowMs() + longTime) != Channel::Read::Data) {
            return;
        }
        const std::string length = headerOf(head, "Content-Length");
        if (!length.empty() && channel.readBytes(body, static_cast<size_t>(std::atoll(length.c_str())), nowMs() + longTime) != Channel::Read::Data) {
            return;
        }
        int status = 200;
        const std::string text = this->answer(methodOf(head), targetOf(head), body, status);
        if (!channel.send("HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size())
                          + "\r\n\r\n" + text)) {
            return;
        }
    }
}

Worker::Worker(const std::string &instance, const std::string &host, uint16_t port, Script script)
    : instance(instance)
    , script(std::move(script))
    , server(host, port, [this](Channel &channel) { this->serve(channel); })
{
}

void Worker::stop()
{
    this->server.stop();
}

void Worker::serve(Channel &channel)
{
    while (true) {
        WorkerRequest request;
        if (channel.readHead(request.head, nowMs() + longTime) != Channel::Read::Data) {
            return;
        }
        const std::string length = headerOf(request.head, "Content-Length");
        if (!length.empty() && channel.readBytes(request.body, static_cast<size_t>(std::atoll(length.c_str())), nowMs() + longTime) != Channel::Read::Data) {
            return;
        }
        request.id = headerOf(request.head, "X-Attempt-Id");
        const std::string expected = headerOf(request.head, "X-Expect-Instance");
        if (!expected.empty() && expected != this->instance) {
            channel.send("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + request.id + "\r\nX-Worker-Id: " + this->instance
                         + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (!this->script(channel, request)) {
            return;
        }
    }
}

std::string answerHead(const WorkerRequest &request, int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nX-Attempt-Id: " + request.id + "\r\nX-Server-Seal: seal-of-" + request.id + "\r\n";
}

std::string chunk(std::string_view data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

Outcome call(Channel &channel, const std::string &request, int64_t until)
{
    Outcome outcome;
    const int64_t start = nowMs();
    const auto finish = [&] {
        outcome.took = nowMs() - start;
        return outcome;
    };
    if (!channel.send(request) || channel.readHead(outcome.head, until) != Channel::Read::Data) {
        return finish();
    }
    outcome.status = statusOf(outcome.head);
    const std::string length = headerOf(outcome.head, "Content-Length");
    if (!length.empty()) {
        outcome.complete = channel.readBytes(outcome.body, static_cast<size_t>(std::atoll(length.c_str())), until) == Channel::Read::Data;
        return finish();
    }
    if (lower(headerOf(outcome.head, "Transfer-Encoding")) == "chunked") {
        while (true) {
            std::string line;
            std::string data;
            if (channel.readLine(line, until) != Channel::Read::Data) {
                return finish();
            }
            const size_t size = std::strtoull(line.c_str(), nullptr, 16);
            if (channel.readBytes(data, size + 2, until) != Channel::Read::Data) {
                return finish();
            }
            if (size == 0) {
                outcome.complete = true;
                return finish();
            }
            outcome.body.append(data, 0, size);
        }
    }
    return finish();
}

Process::Process(const std::string &name, const std::vector<std::string> &command, const std::string &settingsFile, const std::string &logFile)
    : name(name)
{
    std::vector<char *> arguments;
    std::vector<std::string> words = command;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    this->id = ::fork();
    if (this->id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("CATKINLINK_NODE_FILE", settingsFile.c_str(), 1);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
}

Process::~Process()
{
    if (this->id > 0) {
        ::kill(this->id, SIGCONT);
        ::kill(this->id, SIGKILL);
        ::waitpid(this->id, nullptr, 0);
    }
}

void Process::signal(int number) const
{
    if (this->id > 0) {
        ::kill(this->id, number);
    }
}

bool Process::runs()
{
    if (this->id > 0 && ::waitpid(this->id, nullptr, WNOHANG) == this->id) {
        this->id = -1;
    }
    return this->id > 0;
}

int64_t Process::memoryKb() const
{
    std::ifstream status("/proc/" + std::to_string(this->id) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.substr(0, 6) == "VmRSS:") {
            return std::atoll(line.c_str() + 6);
        }
    }
    return 0;
}

int64_t Process::processorMs() const
{
    std::ifstream file("/proc/" + std::to_string(this->id) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string field;
    int64_t ticks = 0;
    for (int i = 0; i < 13 && fields >> field; ++i) {
        // The twelfth and thirteenth fields after the name are user and system time.
        ticks += i >= 11 ? std::atoll(field.c_str()) : 0;
    }
    return ticks * 1000 / ::sysconf(_SC_CLK_TCK);
}

void writeEntrySettings(const std::string &path, const std::string &name, const EntryAddresses &addresses, const std::string &store,
                        const std::vector<std::string> &seeds)
{
    std::ofstream file(path);
    file << "nodeName: \"" << name << "\"\nrole: \"entry\"\nmachineClass: \"front\"\nserves:\n  - \"front\"\n  - \"directory\"\n  - \"control\"\nip: \""
         << addresses.host << "\"\nzone: \"lima-miraflores\"\nregion: \"lima\"\nzones:\n  lima-miraflores: \"lima\"\nlisten:\n  front: \"" << addresses.host
         << ":" << addresses.clients << "\"\n  ready: \"" << addresses.host << ":" << addresses.ready << "\"\n  control: \"" << addresses.host << ":"
         << addresses.control << "\"\n  directory: \"" << addresses.host << ":" << addresses.directory << "\"\ninnerPorts:\n  - 7700\n  - 7715\nseeds:\n";
    for (const std::string &seed : seeds) {
        file << "  - \"" << seed << "\"\n";
    }
    file
        << "bootstrap: true\ncountsAsLoss: false\nlimits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  maxFds: 4200\n  linkMbps: 1000.0\n  diskMb: 0\n"
           "dataDir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nheartbeatMs: 1200\ncontracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n"
           "  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n  - \"places\"\n  - \"platform\"\n  - \"chunks\"\n"
           "faultTolerance:\n  machines: 2\n  zones: 1\n  regions: 0\nbounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  stableWindowMs: 3000\n  ackMs: 4000\n"
           "  catchUpS: 4\n  drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n  maxStretchMs: 5000\n"
           "  failClosed: false\n  revokeMs: 5000\n  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n  budgetExtra: 100\n  coldOverage: 1.5\n  coldSlack: 5\n"
           "  evacuateMs: 5000\n  recoverS: 12\n  passMs: 120\n  retryAfterS: 0\n  version_ms: 8000\n  version_all_ms: 0\n  ttl_max_s: 5\nplatform:\n  addr: \""
        << store << "\"\n  form: \"objects\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000\n";
}

bool isReady(const EntryAddresses &addresses, int64_t timeout)
{
    const int64_t until = nowMs() + timeout;
    const std::unique_ptr<Channel> channel = connectTo(addresses.host, addresses.ready, timeout);
    if (channel == nullptr) {
        return false;
    }
    const Outcome outcome = call(*channel, "GET /v1/readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n", until);
    return outcome.complete && outcome.status == 200;
}

Record::Record(const std::string &path)
    : file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
    , start(nowMs())
{
}

Record::~Record()
{
    ::close(this->file);
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::string whole = std::to_string(nowMs() - this->start) + " ms " + text + "\n";
    (void)!::write(this->file, whole.data(), whole.size());
}

} // namespace Standins
