#pragma once

#include <Harness/Site.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Command line flags of a measurement, given as `--name value`.
class MeasureFlags
{
public:
    /// Parses the arguments from index `first` on. Exits with status 2 when a name has no leading `--` or no value.
    static MeasureFlags parse(int argc, char **argv, int first);

    /// Value of the flag, or `fallback` when it was not given.
    int number(const std::string &name, int fallback) const;
    std::string text(const std::string &name, const std::string &fallback) const;

    /// Value of the form "1,2,3" as numbers.
    std::vector<int> numbers(const std::string &name, const std::vector<int> &fallback) const;

private:
    std::map<std::string, std::string> values;
};

struct MeasureContext {
    std::string binFolder;
    MeasureFlags flags;
    uint64_t seed = 1;
};

/// Runs one measurement and returns the result, which is printed as the last line on stdout. Progress goes to stderr.
using Measurement = nlohmann::json (*)(const MeasureContext &context);

nlohmann::json measureControl(const MeasureContext &context);
nlohmann::json measureGossip(const MeasureContext &context);
nlohmann::json measureConfig(const MeasureContext &context);
nlohmann::json measureOverload(const MeasureContext &context);
nlohmann::json measurePauses(const MeasureContext &context);
nlohmann::json measureDomain(const MeasureContext &context);
nlohmann::json measureOnce(const MeasureContext &context);
nlohmann::json measureRollout(const MeasureContext &context);
nlohmann::json measureRolloutScaling(const MeasureContext &context);

/// Prints `what` and the message and exits with status 1 when the status is not OK.
void requireOk(const absl::Status &status, const std::string &what);

/// The value at a percentile from 0 to 100 of unsorted samples; 0 without samples.
double percentile(std::vector<double> samples, double percent);

/// Line fitted to points by least squares.
struct Line {
    double intercept = 0;
    double slope = 0;
    double valueAt(double x) const
    {
        return this->intercept + this->slope * x;
    }
};
Line fitLine(const std::vector<std::pair<double, double>> &points);

/// Value of a metric in the Prometheus text format, summed over all label sets; 0 when absent.
double metricSum(const std::string &text, const std::string &name);

/// Metrics of a daemon in the Prometheus text format; empty when it does not respond.
std::string metricsOf(Harness::Site &site, const std::string &process);
