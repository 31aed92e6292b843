#include <LibGateway/StoredCrashes.h>

#include <AK/StatusMacros.h>
#include <LibGateway/CrashingParts.h>
#include <LibJson/BoundedJson.h>
#include <LibJson/ObjectReader.h>
#include <algorithm>
#include <charconv>

namespace LibGateway
{

namespace
{

using nlohmann::json;

constexpr LibJson::JsonLimits crashReportLimits{maxCrashReportBytes, 8, 32'768};
constexpr int hexadecimal = 16;
// Of a crash; the text of all of them has a limit too.
constexpr size_t maxReportedParts = 64;
constexpr size_t maxReportedSuspects = 8;

std::string promptText(uint64_t prompt)
{
    std::array<char, hexadecimal> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), prompt, hexadecimal);
    return {digits.data(), end};
}

json encodeCrash(const Crash &crash, const ClockReading &now)
{
    const AK::Milliseconds toWall = now.wall - now.monotonic;
    json suspects = json::array();
    for (const CrashSuspect &suspect : crash.suspects) {
        suspects.push_back({{"prompt", promptText(suspect.prompt)}, {"sent_at_ms", suspect.sentAt + toWall}, {"parts", suspect.parts}});
    }
    return {{"upstream", crash.upstream}, {"crashed_at_ms", crash.crashedAt + toWall}, {"suspects", std::move(suspects)}};
}

CrashSuspect decodeSuspect(LibJson::ObjectReader &reader, AK::Milliseconds toMonotonic)
{
    CrashSuspect suspect;
    const std::string prompt = reader.text("prompt");
    const auto [end, error] = std::from_chars(prompt.data(), prompt.data() + prompt.size(), suspect.prompt, hexadecimal);
    if (error != std::errc() || end != prompt.data() + prompt.size()) {
        reader.fail("prompt", "must be a hexadecimal number");
    }
    suspect.sentAt = reader.integer<int64_t>("sent_at_ms", 0, LibJson::maxExactInteger) + toMonotonic;
    for (const json &part : reader.array("parts")) {
        if (!part.is_string()) {
            reader.fail("parts", "must be a list of texts");
            break;
        }
        suspect.parts.push_back(part.get<std::string>());
    }
    return suspect;
}

Crash decodeCrash(LibJson::ObjectReader &reader, const ClockReading &now)
{
    Crash crash;
    crash.upstream = reader.text("upstream");
    const auto crashedAt = reader.integer<int64_t>("crashed_at_ms", 0, LibJson::maxExactInteger);
    const AK::Milliseconds toMonotonic = now.monotonic - std::max(now.wall, crashedAt);
    crash.crashedAt = crashedAt + toMonotonic;
    size_t index = 0;
    for (const json &item : reader.array("suspects")) {
        LibJson::ObjectReader suspect(item, reader.pathOf("suspects", index++));
        crash.suspects.push_back(decodeSuspect(suspect, toMonotonic));
        reader.adopt(suspect.status());
    }
    return crash;
}

// Whether the crashes include this one.
bool includesCrash(const std::vector<Crash> &crashes, const Crash &crash)
{
    return std::any_of(crashes.begin(), crashes.end(), [&](const Crash &known) {
        return known.upstream == crash.upstream && std::all_of(crash.suspects.begin(), crash.suspects.end(), [&](const CrashSuspect &suspect) {
                   return std::any_of(known.suspects.begin(), known.suspects.end(), [&](const CrashSuspect &other) { return other.prompt == suspect.prompt; });
               });
    });
}

} // namespace

std::vector<Crash> recurringCrashes(const CrashEvidence &evidence, AK::Milliseconds now, AK::Milliseconds minAge, size_t maxCrashes)
{
    std::vector<Crash> recurring;
    for (const Crash &crash : evidence.crashes) {
        if (now - crash.learnedAt < minAge) {
            continue;
        }
        Crash kept = crash;
        for (CrashSuspect &suspect : kept.suspects) {
            std::erase_if(suspect.parts, [&](const std::string &part) {
                const auto found = evidence.byPart.find(part);
                return found == evidence.byPart.end() || countRounds(found->second) < 2;
            });
            suspect.parts.resize(std::min(suspect.parts.size(), maxReportedParts));
        }
        std::erase_if(kept.suspects, [](const CrashSuspect &suspect) { return suspect.parts.empty(); });
        kept.suspects.resize(std::min(kept.suspects.size(), maxReportedSuspects));
        if (!kept.suspects.empty()) {
            recurring.push_back(std::move(kept));
        }
    }
    recurring.erase(recurring.begin(), recurring.end() - static_cast<std::ptrdiff_t>(std::min(recurring.size(), maxCrashes)));
    return recurring;
}

bool mergeCrashes(std::vector<Crash> &stored, const std::vector<Crash> &known, const std::set<std::string> &released)
{
    bool changed = false;
    for (Crash &crash : stored) {
        for (CrashSuspect &suspect : crash.suspects) {
            changed = std::erase_if(suspect.parts, [&](const std::string &part) { return released.contains(part); }) > 0 || changed;
        }
        std::erase_if(crash.suspects, [](const CrashSuspect &suspect) { return suspect.parts.empty(); });
    }
    std::erase_if(stored, [](const Crash &crash) { return crash.suspects.empty(); });
    for (const Crash &crash : known) {
        if (!includesCrash(stored, crash)) {
            stored.push_back(crash);
            changed = true;
        }
    }
    std::stable_sort(stored.begin(), stored.end(), [](const Crash &left, const Crash &right) { return left.crashedAt < right.crashedAt; });
    return changed;
}

std::string encodeCrashes(const std::vector<Crash> &crashes, const ClockReading &now)
{
    std::vector<std::string> texts;
    constexpr std::string_view start = R"({"crashes":[)";
    constexpr std::string_view end = "]}";
    size_t bytes = start.size() + end.size();
    for (auto crash = crashes.rbegin(); crash != crashes.rend(); ++crash) {
        texts.push_back(encodeCrash(*crash, now).dump());
        bytes += texts.back().size() + 1;
        if (bytes > maxCrashReportBytes) {
            texts.pop_back();
            break;
        }
    }
    std::string text(start);
    for (auto crash = texts.rbegin(); crash != texts.rend(); ++crash) {
        text += (crash == texts.rbegin() ? "" : ",") + *crash;
    }
    return text.append(end);
}

absl::StatusOr<std::vector<Crash>> decodeCrashes(const std::string &text, const ClockReading &now)
{
    CATKINLINK_ASSIGN(const json document, LibJson::parseObject(text, crashReportLimits));
    LibJson::ObjectReader reader(document, "");
    std::vector<Crash> crashes;
    size_t index = 0;
    for (const json &item : reader.array("crashes")) {
        LibJson::ObjectReader crash(item, reader.pathOf("crashes", index++));
        crashes.push_back(decodeCrash(crash, now));
        reader.adopt(crash.status());
    }
    CATKINLINK_TRY(reader.status());
    return crashes;
}

} // namespace LibGateway
