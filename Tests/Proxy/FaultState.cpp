#include "FaultState.h"

#include <AK/Text.h>
#include <chrono>
#include <nlohmann/json.hpp>

namespace
{

constexpr int64_t maxDelayMs = 600'000;
constexpr int64_t maxAfterBytes = int64_t{1} << 40;

absl::StatusOr<int64_t> parseCount(const nlohmann::json &json, const char *key, int64_t limit)
{
    const auto found = json.find(key);
    if (found == json.end()) {
        return 0;
    }
    if (!found->is_number_integer() || found->get<int64_t>() < 0 || found->get<int64_t>() > limit) {
        return absl::InvalidArgumentError(AK::concat("/", key, ": ", found->dump(), " is no integer in 0..", limit));
    }
    return found->get<int64_t>();
}

} // namespace

absl::StatusOr<Fault> parseFault(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("mode") || !json["mode"].is_string()) {
        return absl::InvalidArgumentError("/mode: must be a string");
    }
    const auto mode = AK::valueOf(faultModeNames, json["mode"].get<std::string>());
    if (!mode) {
        return absl::InvalidArgumentError(AK::concat("/mode: ", json["mode"].dump(), " is no mode"));
    }
    const auto delay = parseCount(json, "delay_ms", maxDelayMs);
    const auto bytes = parseCount(json, "after_bytes", maxAfterBytes);
    if (!delay.ok() || !bytes.ok()) {
        return delay.ok() ? bytes.status() : delay.status();
    }
    return Fault{*mode, *delay, static_cast<size_t>(*bytes), 0};
}

Fault FaultState::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->fault;
}

void FaultState::set(Fault fault)
{
    const std::lock_guard lock(this->mutex);
    fault.generation = this->fault.generation + 1;
    this->fault = fault;
    this->changed.notify_all();
}

void FaultState::waitForChange(uint64_t generation, AK::Milliseconds limit) const
{
    std::unique_lock lock(this->mutex);
    const auto changedOrEnded = [&] {
        return this->ended || this->fault.generation != generation;
    };
    if (limit < 0) {
        this->changed.wait(lock, changedOrEnded);
    } else {
        this->changed.wait_for(lock, std::chrono::milliseconds(limit), changedOrEnded);
    }
}

void FaultState::end()
{
    const std::lock_guard lock(this->mutex);
    this->ended = true;
    this->changed.notify_all();
}
