#pragma once

#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <LibObjectStore/ObjectStore.h>
#include <atomic>

namespace LibObjectStore
{

/// Client of the object API and the host list over HTTP with JSON. Thread-safe: each call opens its own connection.
class HttpObjectStore final : public ObjectStore, public HostList
{
public:
    explicit HttpObjectStore(AK::Endpoint endpoint);

    absl::StatusOr<StoredObject> get(const std::string &kind, const std::string &name, AK::Milliseconds timeout) override;
    absl::StatusOr<StoredObject> watch(const std::string &kind, const std::string &name, uint64_t version, AK::Milliseconds wait) override;
    absl::StatusOr<std::vector<StoredObject>> list(const std::string &kind, const std::string &prefix, AK::Milliseconds timeout) override;
    absl::StatusOr<uint64_t> create(const std::string &kind, const std::string &name, const std::string &value, AK::Milliseconds timeout) override;
    absl::StatusOr<uint64_t> replace(const std::string &kind, const std::string &name, uint64_t version, const std::string &value,
                                     AK::Milliseconds timeout) override;
    absl::Status remove(const std::string &kind, const std::string &name, uint64_t version, AK::Milliseconds timeout) override;
    absl::StatusOr<std::vector<HostEntry>> hosts(AK::Milliseconds timeout) override;

    /// Number of calls sent to the store since the start; a watch counts as one.
    uint64_t callCount() const;

private:
    absl::StatusOr<std::string> request(const LibHttp::HttpRequest &message, AK::Milliseconds timeout);
    absl::StatusOr<uint64_t> put(const std::string &kind, const std::string &name, const std::string &value, const std::string &conditionHeader,
                                 const std::string &conditionValue, AK::Milliseconds timeout);

    AK::Endpoint endpoint;
    std::atomic<uint64_t> calls{0};
};

} // namespace LibObjectStore
