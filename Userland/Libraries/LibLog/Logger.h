#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace LibLog
{

enum class Level { Debug, Info, Warning, Error };

enum class Output { StandardError, StandardOutput };

/// Writes the log events of this process from the given level up to `output`, one JSON object per line.
/// `level` is "debug", "info", "warning" or "error"; anything else means "info". Every event contains `process`.
/// Writing to Output::StandardOutput never blocks: when the reader is too slow, lines are dropped and counted.
void initializeLogging(std::string_view process, std::string_view level, Output output = Output::StandardError);

/// Writes structured events of one component. Cheap to copy; safe to use from several threads.
class Logger
{
public:
    explicit Logger(std::string_view component);

    void debug(std::string_view event, const nlohmann::json &fields = nlohmann::json::object()) const;
    void info(std::string_view event, const nlohmann::json &fields = nlohmann::json::object()) const;
    void warning(std::string_view event, const nlohmann::json &fields = nlohmann::json::object()) const;
    void error(std::string_view event, const nlohmann::json &fields = nlohmann::json::object()) const;

    /// True when events of the level are written; lets callers skip building expensive fields.
    bool enabled(Level level) const;

private:
    void write(Level level, std::string_view event, const nlohmann::json &fields) const;

    struct Backend;
    std::shared_ptr<Backend> backend;
};

} // namespace LibLog
