#include <LibLog/Logger.h>

#include <AK/EnumNames.h>
#include <LibLog/NonBlockingAppender.h>
#include <chrono>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace LibLog
{

namespace
{

constexpr std::array levelNames{
    AK::EnumName{Level::Debug, "debug"},
    AK::EnumName{Level::Info, "info"},
    AK::EnumName{Level::Warning, "warning"},
    AK::EnumName{Level::Error, "error"},
};

log4cxx::LevelPtr toBackendLevel(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warning:
        return log4cxx::Level::getWarn();
    case Level::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

std::string &processName()
{
    static std::string name = "catkinlink";
    return name;
}

int64_t wallTimeMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

void initializeLogging(std::string_view process, std::string_view level, Output output)
{
    processName() = process;
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(LOG4CXX_STR("%m%n")));
    log4cxx::AppenderPtr appender;
    if (output == Output::StandardOutput) {
        appender.reset(new NonBlockingAppender());
    } else {
        appender.reset(new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemErr()));
    }
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(toBackendLevel(AK::valueOf(levelNames, level).value_or(Level::Info)));
}

struct Logger::Backend {
    std::string component;
    log4cxx::LoggerPtr logger;
};

Logger::Logger(std::string_view component)
    : backend(std::make_shared<Backend>(Backend{std::string(component), log4cxx::Logger::getLogger(std::string(component))}))
{
}

void Logger::debug(std::string_view event, const nlohmann::json &fields) const
{
    this->write(Level::Debug, event, fields);
}

void Logger::info(std::string_view event, const nlohmann::json &fields) const
{
    this->write(Level::Info, event, fields);
}

void Logger::warning(std::string_view event, const nlohmann::json &fields) const
{
    this->write(Level::Warning, event, fields);
}

void Logger::error(std::string_view event, const nlohmann::json &fields) const
{
    this->write(Level::Error, event, fields);
}

bool Logger::enabled(Level level) const
{
    return this->backend->logger->isEnabledFor(toBackendLevel(level));
}

void Logger::write(Level level, std::string_view event, const nlohmann::json &fields) const
{
    if (!this->enabled(level)) {
        return;
    }
    nlohmann::ordered_json line{
        {"time_ms", wallTimeMs()}, {"level", AK::nameOf(levelNames, level)}, {"process", processName()}, {"component", this->backend->component},
        {"event", event},
    };
    for (const auto &[key, value] : fields.items()) {
        line[key] = value;
    }
    // Callers and peers may send invalid UTF-8, which must not make logging throw.
    this->backend->logger->forcedLog(toBackendLevel(level), line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace LibLog
