#pragma once

#include <AK/Hash.h>
#include <AK/Text.h>
#include <Services/Agent/CallService.h>
#include <Services/Entry/EntryService.h>
#include <Tests/Fakes/Plain/PlainService.h>
#include <atomic>
#include <gtest/gtest.h>
#include <unistd.h>

namespace TestSite
{

inline const std::string root = AK::sha256Hex("weights");
inline const std::string fingerprint = "engine-1-" + root.substr(0, 16);

/// A loopback address that is used only by this test process.
inline AK::Endpoint endpoint(int host, uint16_t port)
{
    return {AK::concat("127.", 100 + getpid() % 100, ".", getpid() / 100 % 250 + 1, ".", host), port};
}

class FakeConfigurationView final : public LibConfiguration::ConfigurationView
{
public:
    std::shared_ptr<const LibConfiguration::Configuration> current() const override
    {
        const std::lock_guard lock(this->mutex);
        return this->value;
    }
    std::shared_ptr<const LibConfiguration::Configuration> waitForChange(const std::shared_ptr<const LibConfiguration::Configuration> &,
                                                                         AK::Milliseconds) const override
    {
        return this->current();
    }
    void set(const LibConfiguration::Configuration &next)
    {
        const std::lock_guard lock(this->mutex);
        this->value = std::make_shared<const LibConfiguration::Configuration>(next);
    }

private:
    mutable std::mutex mutex;
    std::shared_ptr<const LibConfiguration::Configuration> value;
};

class FakeMembership final : public LibMembership::MembershipView
{
public:
    std::vector<LibMembership::Member> members() const override
    {
        const std::lock_guard lock(this->mutex);
        return this->list;
    }
    std::optional<LibMembership::Member> find(const std::string &) const override
    {
        return std::nullopt;
    }
    uint64_t changeCount() const override
    {
        return 0;
    }
    void updateSelf(const std::function<void(LibMembership::Member &)> &change) override
    {
        const std::lock_guard lock(this->mutex);
        change(this->list.at(0));
    }
    void reportUnreachable(const std::string &) override
    {
        ++this->unreachableReports;
    }

    mutable std::mutex mutex;
    std::vector<LibMembership::Member> list;
    std::atomic<int> unreachableReports{0};
};

/// Dispatches each call immediately, without a stored claim. The idempotency key serves as nonce.
class DirectRunner final : public LibOnce::OnceRunner
{
public:
    LibOnce::OnceResult run(const LibOnce::OnceRequest &request, const LibOnce::Dispatch &dispatch) override
    {
        const LibOnce::DispatchResult result = dispatch(request.idempotencyKey, AK::SystemClock().now() + 2'000);
        return {result.outcome, result.response, false, result.reason};
    }
};

/// Entries, one agent and a fake upstream whose handler the test supplies, all on loopback in this process.
class Site
{
public:
    Site(LibSettings::UpstreamKind kind, LibHttp::HttpServer::Handler upstreamHandler, int slots, int entries = 1);
    ~Site();

    /// Sends a caller's request to the entry with the index `entry`.
    absl::StatusOr<LibHttp::HttpResponse> post(const std::string &path, const std::string &body, LibHttp::HttpHeaders headers = {}, int entry = 0);
    /// Sends a completion request to the first entry and returns the stream of its response.
    std::unique_ptr<LibHttp::HttpStream> openStream(const std::string &body);
    /// Marks the engine as verified to serve `root`.
    void confirmEngine();

    AK::SystemClock clock;
    LibConfiguration::Configuration configuration;
    FakeConfigurationView configurationView;
    FakeMembership membership;
    LibEngine::EngineState engine;
    LibMetrics::MetricRegistry metrics;
    DirectRunner onceRunner;
    LibSettings::ProcessSettings agentSettings;
    LibSettings::ProcessSettings entrySettings;
    std::unique_ptr<Agent::CallService> callService;

private:
    LibHttp::HttpServer upstream;
    std::shared_ptr<LibWire::KeyRing> keys;
    std::unique_ptr<LibWire::RpcServer> rpcServer;
    std::vector<std::unique_ptr<Entry::EntryService>> entries;
    std::vector<std::unique_ptr<LibHttp::HttpServer>> entryServers;
};

} // namespace TestSite
