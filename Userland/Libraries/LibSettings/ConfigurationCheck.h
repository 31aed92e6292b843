#pragma once

#include <AK/EnumNames.h>
#include <LibSettings/ProcessSettings.h>
#include <LibSettings/SiteDocument.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace LibSettings
{

enum class FindingSeverity {
    /// The daemon refuses the settings.
    Error,
    /// The daemon accepts the settings, but a part of them cannot have the effect that it states.
    Warning,
};

inline constexpr std::array findingSeverityNames{
    AK::EnumName{FindingSeverity::Error, "error"},
    AK::EnumName{FindingSeverity::Warning, "warning"},
};

enum class FindingKind {
    /// Violates the schema or a rule with which the daemon accepts settings.
    Invalid,
    /// No process can have this name, or no call can name it.
    NameNeverMatches,
    /// No call has this method and path, or another route with both decides.
    RouteNeverMatches,
    /// A wider route decides the same.
    RouteWithoutEffect,
    /// Ignored for this kind of service, upstream or process.
    FieldUnused,
    /// The key of an account or operator is the key of another, which is found first.
    KeyShared,
    /// The key of an account or operator is empty.
    KeyEmpty,
    /// Two shared secrets have the same id.
    KeyIdRepeated,
    ServiceWithoutUpstream,
    ServiceOutOfService,
    DomainWithoutUpstream,
    RegionWithoutUpstream,
    /// The previous weights are the target.
    PreviousIsTarget,
    /// The same version of the same weights has two roots, although a weight store holds one.
    VersionWithTwoRoots,
    /// A limit that can never be reached.
    LimitWithoutEffect,
    /// Two limits, or a limit and the number of upstreams, contradict each other.
    LimitsContradict,
};

inline constexpr std::array findingKindNames{
    AK::EnumName{FindingKind::Invalid, "invalid"},
    AK::EnumName{FindingKind::NameNeverMatches, "name_never_matches"},
    AK::EnumName{FindingKind::RouteNeverMatches, "route_never_matches"},
    AK::EnumName{FindingKind::RouteWithoutEffect, "route_without_effect"},
    AK::EnumName{FindingKind::FieldUnused, "field_unused"},
    AK::EnumName{FindingKind::KeyShared, "key_shared"},
    AK::EnumName{FindingKind::KeyEmpty, "key_empty"},
    AK::EnumName{FindingKind::KeyIdRepeated, "key_id_repeated"},
    AK::EnumName{FindingKind::ServiceWithoutUpstream, "service_without_upstream"},
    AK::EnumName{FindingKind::ServiceOutOfService, "service_out_of_service"},
    AK::EnumName{FindingKind::DomainWithoutUpstream, "domain_without_upstream"},
    AK::EnumName{FindingKind::RegionWithoutUpstream, "region_without_upstream"},
    AK::EnumName{FindingKind::PreviousIsTarget, "previous_is_target"},
    AK::EnumName{FindingKind::VersionWithTwoRoots, "version_with_two_roots"},
    AK::EnumName{FindingKind::LimitWithoutEffect, "limit_without_effect"},
    AK::EnumName{FindingKind::LimitsContradict, "limits_contradict"},
};

/// A fault of settings that an operator should correct.
struct Finding {
    FindingKind kind = FindingKind::Invalid;
    FindingSeverity severity = FindingSeverity::Error;
    /// JSON Pointer.
    std::string path;
    std::string message;
};

/// Whether a file holds the settings of a process rather than a site document.
bool isProcessSettings(const nlohmann::json &json);

/// Findings of a site document or, if isProcessSettings(), of the settings of a process. When there are errors, only they are returned, because the rest of the
/// document can't be interpreted.
std::vector<Finding> checkConfiguration(const nlohmann::json &json);

/// Findings of a valid site document. `json` is the form from which it was parsed.
std::vector<Finding> checkSiteDocument(const SiteDocument &document, const nlohmann::json &json);

/// Findings of valid settings of a process. `json` is the form from which they were parsed.
std::vector<Finding> checkProcessSettings(const ProcessSettings &settings, const nlohmann::json &json);

} // namespace LibSettings
