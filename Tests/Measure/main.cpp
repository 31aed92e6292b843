#include "Measurement.h"

#include <array>
#include <iostream>
#include <string_view>

namespace
{

struct NamedMeasurement {
    std::string_view name;
    std::string_view help;
    Measurement run;
};

constexpr std::array measurements{
    NamedMeasurement{"control", "processor time, memory and network traffic of the control plane at several fleet sizes [--sizes 12,24,48,96 --seconds 20]",
                     &measureControl},
    NamedMeasurement{"gossip", "cost of one membership exchange and of sending the whole table at full fleet size [--members 1270 --exchanges 500]",
                     &measureGossip},
    NamedMeasurement{"config", "time until a change is in force everywhere, reversions and store calls [--sizes 12,24,48,96 --changes 10]", &measureConfig},
    NamedMeasurement{"overload", "goodput at 1, 2 and 4 times the capacity [--seconds 8]", &measureOverload},
    NamedMeasurement{"pauses", "goodput and requests inside pauses while half of the upstreams pause, at 0.9 and 2 times the capacity [--seconds 20]",
                     &measurePauses},
    NamedMeasurement{"domain", "completed calls while a failure domain is taken out of service and put back [--seconds 12 --rate 40]", &measureDomain},
    NamedMeasurement{"once", "outcomes of calls that may not be repeated, under faults [--seconds 20 --rate 20]", &measureOnce},
    NamedMeasurement{"rollout",
                     "time to N replicas, origin and cross-region copies [--hosts 12 --kib 4096 --chunk-kib 32 --window 20 --svg FILE "
                     "--kill-percent P --corrupt-percent P --stall N]",
                     &measureRollout},
    NamedMeasurement{"rollout-scaling", "time to N replicas against N [--sizes 12,60,120,240 --svg-folder DIR and the flags of rollout]",
                     &measureRolloutScaling},
};

int usage()
{
    std::cerr << "usage: measure --bin DIR NAME [--seed N] [--flag value ...]\n";
    for (const NamedMeasurement &measurement : measurements) {
        std::cout << measurement.name << "  " << measurement.help << "\n";
    }
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4 || std::string_view(argv[1]) != "--bin") {
        return usage();
    }
    const std::string_view name = argv[3];
    if (name == "list") {
        usage();
        return 0;
    }
    for (const NamedMeasurement &measurement : measurements) {
        if (measurement.name == name) {
            MeasureContext context{argv[2], MeasureFlags::parse(argc, argv, 4)};
            context.seed = static_cast<uint64_t>(context.flags.number("seed", 1));
            nlohmann::json result = measurement.run(context);
            result["measurement"] = name;
            result["seed"] = context.seed;
            std::cout << result.dump() << std::endl;
            return 0;
        }
    }
    return usage();
}
