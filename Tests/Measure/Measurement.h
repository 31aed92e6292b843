#pragma once

#include <Harness/Site.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Flags of a measurement: `--name value`.
class MeasureFlags
{
public:
    /// Errors end the program with status 2.
    static MeasureFlags parse(int argc, char **argv, int first);

    int number(const std::string &name, int fallback) const;
    std::string text(const std::string &name, const std::string &fallback) const;

    /// "1,2,3" as numbers.
    std::vector<int> numbers(const std::string &name, const std::vector<int> &fallback) const;

private:
    std::map<std::string, std::string> values;
};

struct MeasureContext {
    std::string binFolder;
    MeasureFlags flags;
    uint64_t seed = 1;
};

/// One measurement; returns the object that is printed as the last line. Progress goes to stderr.
using Measurement = nlohmann::json (*)(const MeasureContext &context);

nlohmann::json measureControl(const MeasureContext &context);
nlohmann::json measureGossip(const MeasureContext &context);
nlohmann::json measureConfig(const MeasureContext &context);
nlohmann::json measureOverload(const MeasureContext &context);
nlohmann::json measureDomain(const MeasureContext &context);
nlohmann::json measureOnce(const MeasureContext &context);
nlohmann::json measureRollout(const MeasureContext &context);
nlohmann::json measureRolloutScaling(const MeasureContext &context);

/// Ends the program with status 1 and the message when the status is not OK.
void requireOk(const absl::Status &status, const std::string &what);

/// The value at a percentile from 0 to 100 of unsorted samples; 0 without samples.
double percentile(std::vector<double> samples, double percent);

/// Least-squares line through points: intercept and slope.
struct Line {
    double intercept = 0;
    double slope = 0;
    double at(double x) const
    {
        return this->intercept + this->slope * x;
    }
};
Line fitLine(const std::vector<std::pair<double, double>> &points);

/// The value of a series in a Prometheus text, summed over all label sets; 0 when absent.
double metricSum(const std::string &text, const std::string &name);

/// The metrics text of a daemon; empty when it does not answer.
std::string metricsOf(Harness::Site &site, const std::string &process);
