#include "CommandTest.h"

#include <AK/Text.h>
#include <LibSettings/JsonFile.h>
#include <Utilities/catkinlink/RunCommand.h>
#include <fstream>
#include <map>
#include <memory>
#include <unistd.h>

namespace CatkinlinkTest
{

namespace
{

// All cases share one server per port, because stopping CivetWeb takes about a second.
OperatorApiDouble &sharedDouble(uint16_t port)
{
    static std::map<uint16_t, std::unique_ptr<OperatorApiDouble>> doubles;
    std::unique_ptr<OperatorApiDouble> &entry = doubles[port];
    if (!entry) {
        entry = std::make_unique<OperatorApiDouble>(port);
        const absl::Status started = entry->start();
        EXPECT_TRUE(started.ok()) << started;
    }
    return *entry;
}

} // namespace

CommandTest::CommandTest()
    : example(*LibSettings::readJsonFile(EXAMPLE_FOLDER "/base.json"))
    , first(sharedDouble(7100))
    , second(sharedDouble(7101))
    , keyFile(this->write("key", "secret\n"))
{
    this->first.reset(this->example);
    this->second.reset(this->example);
}

std::string CommandTest::write(const std::string &name, const std::string &text)
{
    std::string path = AK::concat(testing::TempDir(), "catkinlink-", getpid(), "-", name);
    std::ofstream(path) << text;
    return path;
}

Catkinlink::ExitCode CommandTest::run(const std::string &line, std::vector<std::string> more, bool connected)
{
    std::istringstream stream(line);
    std::vector<std::string> arguments;
    for (std::string word; stream >> word;) {
        arguments.push_back(word);
    }
    arguments.insert(arguments.end(), more.begin(), more.end());
    if (connected) {
        arguments.insert(arguments.end(), {"--entry", this->first.endpoint().text(), "--key-file", this->keyFile});
    }
    this->out.str("");
    this->error.str("");
    return Catkinlink::runCommand(arguments, {this->clock, this->random, this->out, this->error, this->terminal});
}

std::string CommandTest::text() const
{
    return this->out.str() + this->error.str();
}

} // namespace CatkinlinkTest
