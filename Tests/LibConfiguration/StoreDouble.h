#pragma once

#include <AK/Text.h>
#include <LibObjectStore/ObjectStore.h>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace Tests
{

/// An in-memory object store with faults that are set by the test.
class StoreDouble final : public LibObjectStore::ObjectStore
{
public:
    struct Faults {
        bool down = false;
        /// Reads return the version before the newest one.
        bool stale = false;
        /// Number of changes that take effect but whose response is lost.
        int loseResponses = 0;
        /// The store goes down when the first response is lost.
        bool downAfterLostResponse = false;
        /// Number of changes whose request is lost, so that they do not take effect.
        int loseRequests = 0;
    };

    void set(const Faults &faults)
    {
        const std::lock_guard lock(this->mutex);
        this->faults = faults;
        this->changed.notify_all();
    }

    /// Runs `action` once, after the store has served the next read and before the reader receives the response.
    void afterNextRead(std::function<void()> action)
    {
        const std::lock_guard lock(this->mutex);
        this->readAction = std::move(action);
    }

    absl::StatusOr<LibObjectStore::StoredObject> get(const std::string &kind, const std::string &name, AK::Milliseconds) override
    {
        std::function<void()> action;
        absl::StatusOr<LibObjectStore::StoredObject> response = absl::UnknownError("not read");
        {
            const std::lock_guard lock(this->mutex);
            response = this->readLocked(kind + "/" + name);
            action.swap(this->readAction);
        }
        if (action) {
            action();
        }
        return response;
    }

    absl::StatusOr<LibObjectStore::StoredObject> watch(const std::string &kind, const std::string &name, uint64_t version, AK::Milliseconds wait) override
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
            const auto object = this->readLocked(kind + "/" + name);
            return this->faults.down || this->faults.stale || (object.ok() && object->version > version);
        });
        return this->readLocked(kind + "/" + name);
    }

    absl::StatusOr<std::vector<LibObjectStore::StoredObject>> list(const std::string &kind, const std::string &prefix, AK::Milliseconds) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->faults.down) {
            return absl::UnavailableError("the store is down");
        }
        std::vector<LibObjectStore::StoredObject> found;
        const std::string start = AK::concat(kind, "/", prefix);
        for (const auto &[key, versions] : this->objects) {
            if (key.starts_with(start)) {
                found.push_back(versions.back());
            }
        }
        return found;
    }

    absl::StatusOr<uint64_t> create(const std::string &kind, const std::string &name, const std::string &value, AK::Milliseconds) override
    {
        return this->change(kind + "/" + name, name, 0, value);
    }

    absl::StatusOr<uint64_t> replace(const std::string &kind, const std::string &name, uint64_t version, const std::string &value, AK::Milliseconds) override
    {
        return this->change(kind + "/" + name, name, version, value);
    }

    absl::Status remove(const std::string &, const std::string &, uint64_t, AK::Milliseconds) override
    {
        return absl::UnimplementedError("not used by these tests");
    }

private:
    absl::StatusOr<LibObjectStore::StoredObject> readLocked(const std::string &key) const
    {
        if (this->faults.down) {
            return absl::UnavailableError("the store is down");
        }
        const auto found = this->objects.find(key);
        if (found == this->objects.end()) {
            return absl::NotFoundError(key);
        }
        const auto &versions = found->second;
        return this->faults.stale && versions.size() > 1 ? versions[versions.size() - 2] : versions.back();
    }

    absl::StatusOr<uint64_t> change(const std::string &key, const std::string &name, uint64_t version, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        if (this->faults.down) {
            return absl::UnavailableError("the store is down");
        }
        if (this->faults.loseRequests > 0) {
            --this->faults.loseRequests;
            return absl::DeadlineExceededError("the request was lost");
        }
        auto &versions = this->objects[key];
        if ((versions.empty() ? 0 : versions.back().version) != version) {
            return absl::FailedPreconditionError(key);
        }
        versions.push_back({name, version + 1, value});
        this->changed.notify_all();
        if (this->faults.loseResponses > 0) {
            --this->faults.loseResponses;
            this->faults.down = this->faults.down || this->faults.downAfterLostResponse;
            return absl::DeadlineExceededError("the response was lost");
        }
        return version + 1;
    }

    mutable std::mutex mutex;
    std::function<void()> readAction;
    std::condition_variable changed;
    std::map<std::string, std::vector<LibObjectStore::StoredObject>> objects;
    Faults faults;
};

} // namespace Tests
