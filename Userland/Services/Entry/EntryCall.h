#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibHttp/HttpMessage.h>
#include <LibOnce/OnceRunner.h>
#include <LibRouting/Admission.h>
#include <memory>
#include <string>

namespace Entry
{

/// A caller's request that was checked against the configuration.
struct EntryCall {
    std::string requestId;
    std::string account;
    uint32_t accountWeight = 1;
    uint32_t priority = 0;
    std::string service;
    bool engine = false;
    bool stream = false;
    /// May be executed again when an attempt failed.
    bool repeatable = true;
    std::string idempotencyKey;
    std::string claimNonce;
    /// Path and query of the request to the upstream.
    std::string path;
    /// First part of the prompt, for affinity.
    std::string prefix;
    LibHttp::HttpRequest request;
    std::shared_ptr<const LibConfiguration::Configuration> configuration;
    AK::Milliseconds startedAt = 0;
    /// Monotonic time in ms.
    AK::Milliseconds deadline = 0;
    /// No attempt starts after this monotonic time.
    AK::Milliseconds startBefore = 0;
};

/// Result of routing a call.
struct RouteResult {
    LibOnce::Outcome outcome = LibOnce::Outcome::NotRun;
    LibRouting::Refusal refusal = LibRouting::Refusal::None;
    /// Machine-readable reason of an outcome other than Done.
    std::string reason;
    std::string message;
    AK::Milliseconds retryAfterMs = 0;
    /// Version of the weights that answered, where known.
    std::string version;
    std::string upstream;
};

} // namespace Entry
