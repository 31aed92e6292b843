#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <AK/EnumNames.h>
#include <LibSettings/JsonSchema.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace LibSettings
{

enum class ProcessRole { Entry, Agent };

inline constexpr std::array processRoleNames{
    AK::EnumName{ProcessRole::Entry, "entry"},
    AK::EnumName{ProcessRole::Agent, "agent"},
};

enum class UpstreamKind { Engine, Plain };

inline constexpr std::array upstreamKindNames{
    AK::EnumName{UpstreamKind::Engine, "engine"},
    AK::EnumName{UpstreamKind::Plain, "plain"},
};

struct KeySetting {
    std::string id;
    std::string secret;
};

/// An operator who may change the configuration.
struct OperatorSetting {
    std::string name;
    /// SHA-256 of the operator's bearer key, in hex.
    std::string keySha256;
};

/// Intervals and timeouts, all in milliseconds.
struct TimingSettings {
    AK::Milliseconds gossipIntervalMs = 1'000;
    AK::Milliseconds suspectTimeoutMs = 5'000;
    AK::Milliseconds rpcTimeoutMs = 1'000;
    AK::Milliseconds storeTimeoutMs = 1'000;
    AK::Milliseconds watchWaitMs = 20'000;
    AK::Milliseconds hostListIntervalMs = 2'000;
    AK::Milliseconds statusPollMs = 500;
    AK::Milliseconds statusMaxAgeMs = 2'000;
};

struct EntrySettings {
    /// Threads that serve callers; each call occupies one thread.
    int callThreads = 192;
    /// Largest number of concurrent calls. Calls above it are refused at once; the remaining threads stay free for refusals, address requests and operators.
    int callLimit = 176;
    AK::Milliseconds addressTtlMs = 5'000;
    /// Time that the leaving status of a process needs to reach every entry.
    AK::Milliseconds propagationMs = 3'000;
    AK::Milliseconds defaultDeadlineMs = 60'000;
    /// Claims per second that this entry may write.
    int claimsPerSecond = 50;
    AK::Milliseconds claimDispatchWindowMs = 2'000;
    /// Size limit of the body of one request from a caller or an operator.
    size_t bodyLimitBytes = 1 << 20;
};

struct AgentSettings {
    AK::Endpoint upstreamAddress;
    UpstreamKind upstreamKind = UpstreamKind::Engine;
    std::string service;
    /// Address of the weight store. Unused for plain services.
    AK::Endpoint weightStore;
    /// Region of the weight store; agents in this region read the chunks designated to them from it.
    std::string originRegion;
    size_t weightBufferBytes = size_t{64} << 20;
    /// Rate limit for weight transfers, per direction.
    int64_t weightsBytesPerSecond = 8 << 20;
    /// Percentage of that rate that is allowed while live calls are in flight.
    int weightsPercentUnderLoad = 80;
    /// Calls that a warm upstream can run concurrently. A lower limit reported by the engine takes precedence.
    int capacity = 16;
    int coldSlots = 1;
    AK::Milliseconds rampStepMs = 1'000;
    int queueLimit = 32;
    AK::Milliseconds designatedTimeoutMs = 1'500;
    AK::Milliseconds chunkMapIntervalMs = 200;
};

/// The contents of the settings file of one process.
struct ProcessSettings {
    ProcessRole role = ProcessRole::Entry;
    std::string name;
    std::string site;
    std::string region;
    std::string failureDomain;
    AK::Endpoint httpAddress;
    AK::Endpoint rpcAddress;
    AK::Endpoint objectApi;
    /// RPC addresses of the processes that are first asked for the members and the revision in force.
    std::vector<AK::Endpoint> seeds;
    std::vector<KeySetting> keys;
    std::vector<OperatorSetting> operators;
    std::string logLevel = "info";
    TimingSettings timing;
    EntrySettings entry;
    AgentSettings agent;
};

/// Validates and parses the settings of a process. Errors: kInvalidArgument with the path of the invalid field.
absl::StatusOr<ProcessSettings> parseProcessSettings(const nlohmann::json &json);

/// The same into default settings. Returns every violation found; the settings may be used only when there is none.
std::vector<Violation> parseProcessSettings(const nlohmann::json &json, ProcessSettings &settings);

/// JSON Schema of the settings file of a process.
std::string_view processSettingsSchema();

} // namespace LibSettings
