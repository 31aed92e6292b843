#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <AK/EnumNames.h>
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

/// Intervals and limits of time; all in milliseconds.
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
    /// Threads that serve callers; one call holds one thread.
    int callThreads = 192;
    /// Calls above this are refused at once; the rest of the threads stays free for refusals, addresses and operators.
    int callLimit = 176;
    AK::Milliseconds addressTtlMs = 5'000;
    /// Time for the leaving status to reach every entry.
    AK::Milliseconds propagationMs = 3'000;
    AK::Milliseconds defaultDeadlineMs = 60'000;
    /// Claims per second that this entry may write.
    int claimsPerSecond = 50;
    AK::Milliseconds claimDispatchWindowMs = 2'000;
    /// Requests per second and bytes that an operator or caller may send in one body.
    size_t bodyLimitBytes = 1 << 20;
};

struct AgentSettings {
    AK::Endpoint upstreamAddress;
    UpstreamKind upstreamKind = UpstreamKind::Engine;
    std::string service;
    /// Where weights come from. Unused for plain services.
    AK::Endpoint weightStore;
    /// Region of the weight store: agents there read the designated chunks from it.
    std::string originRegion;
    size_t weightBufferBytes = size_t{64} << 20;
    /// Link share for weights, each way.
    int64_t weightsBytesPerSecond = 8 << 20;
    /// Share of that rate while live calls are in flight, in percent.
    int weightsPercentUnderLoad = 80;
    /// Calls that the upstream bears when warm. The engine's own report lowers it.
    int capacity = 16;
    int coldSlots = 1;
    AK::Milliseconds rampStepMs = 1'000;
    int queueLimit = 32;
    AK::Milliseconds designatedTimeoutMs = 1'500;
    AK::Milliseconds chunkMapIntervalMs = 200;
};

/// The settings file of one process.
struct ProcessSettings {
    ProcessRole role = ProcessRole::Entry;
    std::string name;
    std::string site;
    std::string region;
    std::string failureDomain;
    AK::Endpoint httpAddress;
    AK::Endpoint rpcAddress;
    AK::Endpoint objectApi;
    /// RPC addresses to ask first for members and the revision in force.
    std::vector<AK::Endpoint> seeds;
    std::vector<KeySetting> keys;
    std::vector<OperatorSetting> operators;
    std::string logLevel = "info";
    TimingSettings timing;
    EntrySettings entry;
    AgentSettings agent;
};

/// Checks and reads the settings of a process. Errors: kInvalidArgument with the path of the field.
absl::StatusOr<ProcessSettings> parseProcessSettings(const nlohmann::json &json);

/// JSON Schema of the settings file of a process.
std::string_view processSettingsSchema();

} // namespace LibSettings
