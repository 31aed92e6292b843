#include <LibMetrics/MetricRegistry.h>

// Boost 1.74 uses std::ostringstream in a header that does not include it.
#include <sstream>

#include <AK/Text.h>
#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <optional>

namespace LibMetrics
{

namespace
{

namespace Accumulators = boost::accumulators;

constexpr size_t seriesLimit = 10'000;
constexpr std::array quantiles{0.5, 0.95, 0.99};
constexpr size_t exactSamples = 64;
// Enough for byte counters. With the default of 6 digits the increments of large counters would not show.
constexpr int printedDigits = 15;

using Distribution = Accumulators::accumulator_set<
    double, Accumulators::stats<Accumulators::tag::count, Accumulators::tag::sum, Accumulators::tag::max, Accumulators::tag::extended_p_square_quantile>>;

std::string escapeLabel(const std::string &value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\\' || character == '"' || character == '\n') {
            escaped += '\\';
        }
        escaped += character == '\n' ? 'n' : character;
    }
    return escaped;
}

std::string labelText(const Labels &labels, const std::string &extra = "")
{
    std::string text = extra;
    for (const auto &[name, value] : labels) {
        text += (text.empty() ? "" : ",") + name + "=\"" + escapeLabel(value) + "\"";
    }
    return text.empty() ? text : "{" + text + "}";
}

} // namespace

struct MetricRegistry::Series {
    std::string name;
    Labels labels;
    double value = 0;
    std::string type = "counter";
    std::optional<Distribution> distribution;
    /// The first samples, sorted. Used instead of the estimator while it holds no others, because the estimator reports zeros until it has a few samples.
    std::vector<double> firstSamples;
};

MetricRegistry::MetricRegistry() = default;
MetricRegistry::~MetricRegistry() = default;

namespace
{

// Finds or adds a series; nullptr when the registry is full.
template <typename Series>
Series *findSeries(std::map<std::string, std::unique_ptr<Series>> &all, const std::string &name, const Labels &labels, double &dropped)
{
    // The separator sorts before all characters of names, which keeps the series of a name together.
    const std::string key = name + '\x01' + labelText(labels);
    if (const auto found = all.find(key); found != all.end()) {
        return found->second.get();
    }
    if (all.size() >= seriesLimit) {
        ++dropped;
        return nullptr;
    }
    auto &entry = all[key];
    entry = std::make_unique<Series>();
    entry->name = name;
    entry->labels = labels;
    return entry.get();
}

} // namespace

void MetricRegistry::add(const std::string &name, const Labels &labels, double amount)
{
    const std::lock_guard lock(this->mutex);
    if (Series *entry = findSeries(this->series, name, labels, this->droppedSeries)) {
        entry->value += amount;
    }
}

void MetricRegistry::set(const std::string &name, const Labels &labels, double value)
{
    const std::lock_guard lock(this->mutex);
    if (Series *entry = findSeries(this->series, name, labels, this->droppedSeries)) {
        entry->type = "gauge";
        entry->value = value;
    }
}

void MetricRegistry::observe(const std::string &name, const Labels &labels, double value)
{
    const std::lock_guard lock(this->mutex);
    Series *entry = findSeries(this->series, name, labels, this->droppedSeries);
    if (entry == nullptr) {
        return;
    }
    if (!entry->distribution) {
        entry->type = "summary";
        entry->distribution.emplace(Accumulators::extended_p_square_probabilities = quantiles);
    }
    (*entry->distribution)(value);
    if (entry->firstSamples.size() < exactSamples) {
        entry->firstSamples.insert(std::upper_bound(entry->firstSamples.begin(), entry->firstSamples.end(), value), value);
    }
}

namespace
{

// Nearest rank, which is exact, while `firstSamples` holds all samples; the estimate afterwards.
double quantileOf(const Distribution &distribution, const std::vector<double> &firstSamples, double quantile)
{
    if (Accumulators::count(distribution) > firstSamples.size()) {
        return Accumulators::quantile(distribution, Accumulators::quantile_probability = quantile);
    }
    const auto rank = static_cast<size_t>(std::ceil(quantile * static_cast<double>(firstSamples.size())));
    return firstSamples[std::max<size_t>(rank, 1) - 1];
}

} // namespace

std::string MetricRegistry::text() const
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream out;
    out.precision(printedDigits);
    std::string lastName;
    for (const auto &[key, entry] : this->series) {
        if (entry->name != lastName) {
            out << "# TYPE " << entry->name << " " << entry->type << "\n";
            lastName = entry->name;
        }
        if (!entry->distribution) {
            out << entry->name << labelText(entry->labels) << " " << entry->value << "\n";
            continue;
        }
        for (const double quantile : quantiles) {
            std::ostringstream label;
            label << "quantile=\"" << quantile << "\"";
            out << entry->name << labelText(entry->labels, label.str()) << " " << quantileOf(*entry->distribution, entry->firstSamples, quantile) << "\n";
        }
        out << entry->name << "_sum" << labelText(entry->labels) << " " << Accumulators::sum(*entry->distribution) << "\n";
        out << entry->name << "_count" << labelText(entry->labels) << " " << Accumulators::count(*entry->distribution) << "\n";
        out << entry->name << "_max" << labelText(entry->labels) << " " << Accumulators::max(*entry->distribution) << "\n";
    }
    out << "# TYPE catkinlink_series_dropped_total counter\ncatkinlink_series_dropped_total " << this->droppedSeries << "\n";
    return out.str();
}

} // namespace LibMetrics
