#pragma once

#include <Harness/ChildProcess.h>
#include <Harness/JsonCalls.h>
#include <Harness/SiteHosts.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <memory>

namespace Harness
{

/// A site of real processes on a loopback network of its own.
class Site : public SiteHosts
{
public:
    explicit Site(SitePlan plan);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Starts the fakes, the entries and the agents. Errors: kDeadlineExceeded naming the process that does not answer.
    absl::Status start();

    /// Applies the site's document with all services at version "1"; waits until it is in force on every process and every process knows all.
    absl::Status applyInitial();

    /// The document that applyInitial() applies.
    nlohmann::json initialDocument() const;

    /// Applies a document through the first entry that accepts it. Returns the revision.
    absl::StatusOr<uint64_t> apply(const nlohmann::json &document, const std::string &reason);

    /// Applies the document in force after a change. Returns the revision.
    absl::StatusOr<uint64_t> change(const std::function<void(nlohmann::json &document)> &edit, const std::string &reason);

    /// Waits until every running process reports at least the revision. Errors: kDeadlineExceeded naming one that does not.
    absl::Status waitForRevision(uint64_t revision, AK::Milliseconds limit);

    /// Waits until every daemon knows all daemons as alive. Errors: kDeadlineExceeded naming one that does not.
    absl::Status waitForMembers(AK::Milliseconds limit);

    /// Waits until all running agents of a service serve a version and are verified.
    absl::Status waitServing(const std::string &service, const std::string &version, AK::Milliseconds limit);

    /// One completion of a service; stream or whole.
    absl::StatusOr<LibHttp::HttpResponse> complete(const AK::Endpoint &entry, const std::string &service, const std::string &prompt, bool stream,
                                                   int tokens = 8, int account = 1);

    /// Status of one entry's view of the site, parsed.
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
    absl::Status waitHttp(const std::string &name, const AK::Endpoint &address, const std::string &path, AK::Milliseconds limit);
    absl::Status readRoots();
    /// Waits until a gauge of every running daemon has at least the value.
    absl::Status waitForGauge(const std::string &name, uint64_t value, AK::Milliseconds limit);

    std::string temporaryFolder;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
    std::map<std::string, std::string> roots;
};

} // namespace Harness
