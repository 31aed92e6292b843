#pragma once

#include "OperatorApiDouble.h"

#include <AK/Clock.h>
#include <AK/Random.h>
#include <Utilities/catkinlink/ExitCode.h>
#include <gtest/gtest.h>
#include <sstream>

namespace CatkinlinkTest
{

/// A clock that only sleep() advances, so that retries and waits take no time.
class SteppedClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return this->time;
    }
    AK::Milliseconds wallTime() const override
    {
        return this->time;
    }
    void sleep(AK::Milliseconds duration) const override
    {
        this->time += duration;
    }

private:
    mutable AK::Milliseconds time = 0;
};

/// Runs command lines against two test doubles of an entry.
class CommandTest : public testing::Test
{
protected:
    CommandTest();

    std::string write(const std::string &name, const std::string &text);

    /// Runs a command line, split at spaces; the arguments in `more` are not split.
    Catkinlink::ExitCode run(const std::string &line, std::vector<std::string> more = {}, bool connected = true);

    /// Standard output, then the errors.
    std::string text() const;

    nlohmann::json example;
    OperatorApiDouble &first;
    OperatorApiDouble &second;
    std::string keyFile;
    SteppedClock clock;
    AK::Random random{1};
    std::ostringstream out;
    std::ostringstream error;
    bool terminal = false;
};

} // namespace CatkinlinkTest
