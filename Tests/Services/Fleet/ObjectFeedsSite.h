#pragma once

#include <AK/Text.h>
#include <Fleet/ObjectFeeds.h>
#include <functional>
#include <gtest/gtest.h>
#include <thread>
#include <utility>

/// A fake store with upstreams only, whose calls can fail. Watches wait until something changes.
class FakeSource final : public Fleet::ObjectSource
{
public:
    explicit FakeSource(LibFiber::Loop &loop)
        : loop(loop)
    {
    }

    absl::StatusOr<LibFleet::ObjectPage> list(kj::WaitScope &scope, LibFleet::ObjectKind kind) override
    {
        this->loop.sleep(scope, this->answerTime);
        std::this_thread::sleep_for(std::chrono::milliseconds(this->listDuration));
        ++this->lists;
        if (this->down) {
            return absl::UnavailableError("down");
        }
        return kind == LibFleet::ObjectKind::Upstreams ? this->all : LibFleet::ObjectPage{this->all.position, {}};
    }

    absl::StatusOr<LibFleet::ObjectPage> watch(kj::WaitScope &scope, LibFleet::ObjectKind kind, int64_t since, AK::Milliseconds) override
    {
        while (this->loop.clock().now() > 0) {
            this->loop.sleep(scope, 1);
            if (this->down) {
                return absl::UnavailableError("down");
            }
            if (!this->watchEnd.ok() && kind == LibFleet::ObjectKind::Upstreams) {
                return std::exchange(this->watchEnd, absl::OkStatus());
            }
            if (this->historyGone && kind == LibFleet::ObjectKind::Upstreams) {
                this->historyGone = false;
                return absl::OutOfRangeError("gone");
            }
            if (kind == LibFleet::ObjectKind::Upstreams && this->change.position.revision > since) {
                ++this->changesReturned;
                return this->change;
            }
        }
        return absl::InternalError("the clock does not advance");
    }

    absl::Status put(kj::WaitScope &, LibFleet::ObjectKind, const std::string &, const std::string &) override
    {
        return absl::OkStatus();
    }

    absl::Status erase(kj::WaitScope &, LibFleet::ObjectKind, const std::string &) override
    {
        return absl::OkStatus();
    }

    LibFiber::Loop &loop;
    bool down = false;
    bool historyGone = false;
    /// How the next watch of upstreams ends, unless that is kOk.
    absl::Status watchEnd;
    /// Time until a list is answered, in ms.
    AK::Milliseconds answerTime = 1;
    /// Time for which each list blocks the thread, in ms.
    AK::Milliseconds listDuration = 0;
    int lists = 0;
    int changesReturned = 0;
    LibFleet::ObjectPage all;
    LibFleet::ObjectPage change;
};

class NameDecoder final : public Fleet::ObjectDecoder
{
public:
    void decode(LibFleet::ObjectKind kind, const std::map<std::string, std::string> &specs, AK::Milliseconds unnoticed, LibFleet::FleetState &) override
    {
        if (kind == LibFleet::ObjectKind::Upstreams) {
            this->unnoticed = unnoticed;
            this->names.clear();
            this->specs.clear();
            for (const auto &[name, spec] : specs) {
                this->names.push_back(name);
                this->specs.push_back(AK::concat(name, " ", spec));
            }
        }
    }
    std::string agentPart(LibFleet::ObjectKind, const std::string &spec) const override
    {
        return "part of " + spec;
    }
    std::string encodeEntry(const LibFleet::EntryRecord &) const override
    {
        return "{}";
    }
    /// Time in ms for which the newest change may have gone unnoticed.
    AK::Milliseconds unnoticed = 0;
    std::vector<std::string> names;
    /// Names and specs.
    std::vector<std::string> specs;
};

// A short interval of the leases, so that they lapse in short outages.
inline const LibFleet::StoreTimes times{.leaseRenewal = 50};

class ObjectFeedsTest : public testing::Test
{
protected:
    ObjectFeedsTest()
        : source(loop)
        , fleet(loop.clock())
        , feeds(loop, source, decoder, fleet, times)
    {
        this->source.all = {10, {{"a", "1", false}, {"b", "1", false}}};
    }

    ~ObjectFeedsTest() noexcept override = default;

    bool waitFor(const std::function<bool()> &condition)
    {
        const AK::Milliseconds deadline = this->loop.clock().now() + 10'000;
        while (!condition() && this->loop.clock().now() < deadline) {
            this->loop.sleep(this->loop.rootScope(), 1);
        }
        return condition();
    }

    bool waitForNames(const std::vector<std::string> &names)
    {
        return this->waitFor([&] { return this->decoder.names == names; });
    }

    /// Makes the store unreachable until the feeds have noticed and leases may have lapsed.
    bool loseStore()
    {
        this->source.down = true;
        const int before = this->source.lists;
        this->loop.sleep(this->loop.rootScope(), LibFleet::shortestLapse(times.leaseRenewal));
        return this->waitFor([&] { return this->source.lists > before; });
    }

    LibFiber::Loop loop;
    FakeSource source;
    NameDecoder decoder;
    LibFleet::FleetState fleet;
    Fleet::ObjectFeeds feeds;
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};
