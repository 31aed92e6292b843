#include "Measurement.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <sstream>

MeasureFlags MeasureFlags::parse(int argc, char **argv, int first)
{
    MeasureFlags flags;
    for (int i = first; i < argc; i += 2) {
        const std::string name = argv[i];
        if (!name.starts_with("--") || i + 1 >= argc) {
            std::cerr << "measure: expected --flag value, found " << name << "\n";
            std::exit(2);
        }
        flags.values[name.substr(2)] = argv[i + 1];
    }
    return flags;
}

int MeasureFlags::number(const std::string &name, int fallback) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? fallback : std::atoi(found->second.c_str());
}

std::string MeasureFlags::text(const std::string &name, const std::string &fallback) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? fallback : found->second;
}

std::vector<int> MeasureFlags::numbers(const std::string &name, const std::vector<int> &fallback) const
{
    const auto found = this->values.find(name);
    if (found == this->values.end()) {
        return fallback;
    }
    std::vector<int> parsed;
    std::istringstream stream(found->second);
    std::string item;
    while (std::getline(stream, item, ',')) {
        parsed.push_back(std::atoi(item.c_str()));
    }
    return parsed;
}

void requireOk(const absl::Status &status, const std::string &what)
{
    if (!status.ok()) {
        std::cerr << "measure: " << what << ": " << std::string(status.message()) << "\n";
        std::exit(1);
    }
}

double percentile(std::vector<double> samples, double percent)
{
    if (samples.empty()) {
        return 0;
    }
    std::ranges::sort(samples);
    const double rank = percent / 100 * static_cast<double>(samples.size() - 1);
    return samples[static_cast<size_t>(std::lround(rank))];
}

Line fitLine(const std::vector<std::pair<double, double>> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
        sumXX += x * x;
        sumXY += x * y;
    }
    const auto count = static_cast<double>(points.size());
    const double denominator = count * sumXX - sumX * sumX;
    Line line;
    line.slope = denominator == 0 ? 0 : (count * sumXY - sumX * sumY) / denominator;
    line.intercept = count == 0 ? 0 : (sumY - line.slope * sumX) / count;
    return line;
}

double metricSum(const std::string &text, const std::string &name)
{
    double sum = 0;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const bool matches = line.starts_with(name) && line.size() > name.size() && (line[name.size()] == ' ' || line[name.size()] == '{');
        if (matches) {
            sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
        }
    }
    return sum;
}

std::string metricsOf(Harness::Site &site, const std::string &process)
{
    const auto response = LibHttp::httpCall(site.httpAddress(process), {.path = "/metrics"}, 2'000);
    return response.ok() ? response->body : "";
}
