#include "RunCommand.h"

#include <iostream>
#include <unistd.h>

int main(int argc, char **argv)
{
    const AK::SystemClock clock;
    AK::Random random = AK::seededFromSystem();
    const Catkinlink::CommandEnvironment environment{clock, random, std::cout, std::cerr, isatty(STDOUT_FILENO) == 1};
    return static_cast<int>(Catkinlink::runCommand(std::vector<std::string>(argv + 1, argv + argc), environment));
}
