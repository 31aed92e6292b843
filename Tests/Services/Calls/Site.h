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

/// A loopback address of this test process.
inline AK::Endpoint endpoint(int host, uint16_t port)
{
    return {AK::concat("127.", 100 + getpid() % 100, ".", getpid() / 100 % 250 + 1, ".", host), port};
}

class Configurations final : public LibConfiguration::ConfigurationView
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

class Members final : public LibMembership::MembershipView
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
        ++this->unreachable;
    }

    mutable std::mutex mutex;
    std::vector<LibMembership::Member> list;
    std::atomic<int> unreachable{0};
};

/// Dispatches at once, without claims; the nonce is the key.
class DirectRunner final : public LibOnce::OnceRunner
{
public:
    LibOnce::OnceResult run(const LibOnce::OnceRequest &request, const LibOnce::Dispatch &dispatch) override
    {
        const LibOnce::DispatchResult result = dispatch(request.idempotencyKey, AK::SystemClock().now() + 2'000);
        return {result.outcome, result.response, false, result.reason};
    }
};

/// An entry, one agent and an upstream double of the test's choice, all on loopback in this process.
class Site
{
public:
    Site(LibSettings::UpstreamKind kind, LibHttp::HttpServer::Handler upstreamHandler, int slots, int entries = 1);
    ~Site();

    /// A caller's request to an entry.
    absl::StatusOr<LibHttp::HttpResponse> post(const std::string &path, const std::string &body, LibHttp::HttpHeaders headers = {}, int entry = 0);
    std::unique_ptr<LibHttp::HttpStream> open(const std::string &body);
    void confirmEngine();

    AK::SystemClock clock;
    LibConfiguration::Configuration document;
    Configurations configurations;
    Members members;
    LibEngine::EngineState engine;
    LibMetrics::MetricRegistry metrics;
    DirectRunner once;
    LibSettings::ProcessSettings agentSettings;
    LibSettings::ProcessSettings entrySettings;
    std::unique_ptr<Agent::CallService> calls;

private:
    LibHttp::HttpServer upstream;
    std::shared_ptr<LibWire::KeyRing> keys;
    std::unique_ptr<LibWire::RpcServer> rpc;
    std::vector<std::unique_ptr<Entry::EntryService>> entries;
    std::vector<std::unique_ptr<LibHttp::HttpServer>> fronts;
};

} // namespace TestSite
