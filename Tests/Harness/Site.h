#pragma once

#include <Harness/ChildProcess.h>
#include <Harness/JsonCalls.h>
#include <Harness/SiteHosts.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <memory>

namespace Harness
{

/// A site of real processes on its own loopback network.
class Site : public SiteHosts
{
public:
    explicit Site(SitePlan plan);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Starts the fakes, the entries and the agents. Errors: kDeadlineExceeded naming the process that does not respond.
    absl::Status start();

    /// Applies initialDocument(), which has all services at version "1". Waits until it is in force on every daemon and every daemon knows all members.
    absl::Status applyInitial();

    /// The document that applyInitial() applies.
    nlohmann::json initialDocument() const;

    /// Applies a document through the first entry that accepts it. Returns the revision.
    absl::StatusOr<uint64_t> apply(const nlohmann::json &document, const std::string &reason);

    /// Applies `edit` to the document in force and applies the result. Returns the revision.
    absl::StatusOr<uint64_t> change(const std::function<void(nlohmann::json &document)> &edit, const std::string &reason);

    /// Waits until every running daemon reports at least the revision. Errors: kDeadlineExceeded naming one that does not.
    absl::Status waitForRevision(uint64_t revision, AK::Milliseconds limit);

    /// Waits until every running daemon sees all daemons as alive. Errors: kDeadlineExceeded naming one that does not.
    absl::Status waitForMembers(AK::Milliseconds limit);

    /// Waits until entry-1 reports that all running agents of a service serve the weights of a version. Errors: kDeadlineExceeded naming one that does not.
    absl::Status waitServing(const std::string &service, const std::string &version, AK::Milliseconds limit);

    /// Requests one completion from a service, streamed or in one response.
    absl::StatusOr<LibHttp::HttpResponse> complete(const AK::Endpoint &entry, const std::string &service, const std::string &prompt, bool stream,
                                                   int tokens = 8, int account = 1);

    /// The site as one entry sees it, from `GET /operator/v1/status`.
    absl::StatusOr<nlohmann::json> status(const AK::Endpoint &entry);

    std::string accountKey(int account) const;
    std::string operatorKey() const;
    /// A file that holds operatorKey().
    std::string operatorKeyFile() const;
    std::string weightsRoot(const std::string &service, const std::string &version) const;
    const std::string &folder() const;

    /// Starts a daemon again after it has ended, with the same settings.
    void startDaemon(const std::string &name);
    ChildProcess &process(const std::string &name);

private:
    nlohmann::json processSettings(const std::string &name) const;
    void writeSettings(const std::string &name, const nlohmann::json &settings) const;
    void spawn(const std::string &name, const std::string &program, std::vector<std::string> arguments);
    void startFakes();
    void startUpstreams();
    std::string logFile(const std::string &name) const;
    /// The last bytes that a process has written to its log.
    std::string endOfLog(const std::string &name) const;
    absl::Status waitHttp(const std::string &name, const AK::Endpoint &address, const std::string &path, AK::Milliseconds limit);
    absl::Status readRoots();
    /// Waits until the gauge has at least the value on every running daemon.
    absl::Status waitForGauge(const std::string &name, uint64_t value, AK::Milliseconds limit);

    std::string temporaryFolder;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
    std::map<std::string, std::string> roots;
};

} // namespace Harness
