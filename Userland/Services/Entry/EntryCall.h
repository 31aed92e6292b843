#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibHttp/HttpMessage.h>
#include <LibOnce/OnceRunner.h>
#include <LibRouting/Admission.h>
#include <memory>
#include <string>

namespace Entry
{

/// A caller's request after it was checked against the configuration.
struct EntryCall {
    std::string requestId;
    std::string account;
    uint32_t accountWeight = 1;
    uint32_t priority = 0;
    std::string service;
    bool engine = false;
    bool stream = false;
    /// May be run again when an attempt broke.
    bool repeatable = true;
    std::string idempotencyKey;
    std::string claimNonce;
    /// Path at the upstream, with its query.
    std::string path;
    /// Beginning of the prompt, for affinity.
    std::string prefix;
    LibHttp::HttpRequest request;
    std::shared_ptr<const LibConfiguration::Configuration> configuration;
    AK::Milliseconds startedAt = 0;
    /// Monotonic time in ms.
    AK::Milliseconds deadline = 0;
    /// No attempt starts after this monotonic time.
    AK::Milliseconds startBefore = 0;
};

/// What became of a call.
struct RouteResult {
    LibOnce::Outcome outcome = LibOnce::Outcome::NotRun;
    LibRouting::Refusal refusal = LibRouting::Refusal::None;
    /// Machine-readable reason of an outcome other than Done.
    std::string reason;
    std::string message;
    AK::Milliseconds retryAfterMs = 0;
    /// Version that answered, where known.
    std::string version;
    std::string upstream;
};

} // namespace Entry
