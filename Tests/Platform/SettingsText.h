#pragma once

/// A valid settings file with an unknown field.
inline constexpr const char *validSettings = R"(
nodeName: "front-1"
ip: "10.1.0.40"
zone: "lima-1"
region: "lima"
zones:
  lima-1: "lima"
listen:
  front: "10.1.0.40:8005"
  control: "10.1.0.40:8000"
innerPorts:
  - 7700
  - 7715
seeds:
  - "10.2.0.37:8000"
limits:
  linkMbps: 100
bounds:
  graceS: 8
  retryBudgetRatio: 0.25
  version_ms: 9000
platform:
  addr: "10.200.1.7:8007"
app: "10.1.0.41:8080"
service: "bench"
unknownField: 7
)";
