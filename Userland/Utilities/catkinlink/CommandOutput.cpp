#include "CommandOutput.h"

#include "EntryClient.h"
#include <AK/Text.h>
#include <algorithm>
#include <array>
#include <ctime>

namespace Catkinlink
{

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string progressBar(uint64_t held, uint64_t total)
{
    constexpr uint64_t cells = 20;
    if (total == 0) {
        return {};
    }
    const uint64_t share = std::min(held, total);
    const uint64_t filled = share * cells / total;
    return AK::concat("[", std::string(filled, '#'), std::string(cells - filled, '.'), "] ", share * 100 / total, "%");
}

std::string shortRoot(const nlohmann::json &json, const char *key)
{
    const std::string root = textIn(json, key).substr(0, 12);
    return root.empty() ? "-" : root;
}

std::string formatTime(AK::Milliseconds wallTime)
{
    const std::time_t seconds = wallTime / 1'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buffer{};
    const size_t size = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%d %H:%M:%S", &parts);
    return {buffer.data(), size};
}

} // namespace Catkinlink
