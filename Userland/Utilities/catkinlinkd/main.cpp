#include "Composition.h"
#include "PlatformDaemon.h"

#include <AK/StatusMacros.h>
#include <Kernel/Daemon.h>
#include <LibLog/Logger.h>
#include <LibSettings/JsonFile.h>
#include <iostream>
#include <malloc.h>
#include <tclap/CmdLine.h>

namespace
{

constexpr const char *version = "0.1.0";

enum ExitCode { Success = 0, RunFailed = 1, InvalidSettings = 3 };

// One arena per thread would cost several MB with the threads of an entry. The daemons allocate little concurrently, so few arenas suffice.
constexpr int mallocArenas = 4;

absl::StatusOr<LibSettings::ProcessSettings> readSettings(const std::string &path)
{
    CATKINLINK_ASSIGN(const nlohmann::json json, LibSettings::readJsonFile(path));
    return LibSettings::parseProcessSettings(json);
}

int run(const LibSettings::ProcessSettings &settings)
{
    LibLog::initializeLogging(settings.name, settings.logLevel);
    const LibLog::Logger logger("daemon");
    const AK::SystemClock clock;
    Composition composition(settings, clock);
    absl::Status status = composition.build();
    if (status.ok()) {
        Kernel::Daemon daemon(composition.services());
        status = daemon.run(
            [&] {
                logger.info("started",
                            {{"role", AK::nameOf(LibSettings::processRoleNames, settings.role)},
                             {"http_address", settings.httpAddress.text()},
                             {"rpc_address", settings.rpcAddress.text()},
                             {"version", version}});
            },
            [&] {
                logger.info("leaving");
                composition.announceLeaving();
            });
    }
    if (!status.ok()) {
        logger.error("failed", {{"reason", std::string(status.message())}});
        return RunFailed;
    }
    logger.info("stopped");
    return Success;
}

} // namespace

int main(int argc, char **argv)
{
    Kernel::blockSignals();
    mallopt(M_ARENA_MAX, mallocArenas);
    try {
        TCLAP::CmdLine command("Daemon of catkinlink. Its role, entry or agent, comes from its settings. SIGTERM starts a graceful shutdown.", ' ', version);
        TCLAP::ValueArg<std::string> config("c", "config", "settings file of this process (JSON)", true, "", "FILE");
        TCLAP::ValueArg<std::string> platform("", "platform", "run on the users' platform, with the settings file that it writes, as entry or agent", true, "",
                                              "ROLE");
        command.xorAdd(config, platform);
        const TCLAP::SwitchArg check("", "check", "check the settings file and exit", command);
        command.parse(argc, argv);
        if (platform.isSet()) {
            return runOnPlatform(platform.getValue());
        }
        const absl::StatusOr<LibSettings::ProcessSettings> settings = readSettings(config.getValue());
        if (!settings.ok()) {
            std::cerr << "catkinlinkd: " << std::string(settings.status().message()) << "\n";
            return InvalidSettings;
        }
        return check.getValue() ? Success : run(*settings);
    } catch (const TCLAP::ArgException &exception) {
        std::cerr << "catkinlinkd: " << exception.error() << " for " << exception.argId() << "\n";
        return 2;
    }
}
