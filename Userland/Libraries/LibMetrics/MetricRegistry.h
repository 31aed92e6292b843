#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace LibMetrics
{

/// Label names and values of one series.
using Labels = std::map<std::string, std::string>;

/// Counters, gauges and distributions of a process, served in the Prometheus text format. Names carry their unit, for example `_bytes_total` or `_ms`.
/// Thread-safe. At most 10,000 series are kept; more are dropped and counted in `catkinlink_series_dropped_total`.
class MetricRegistry
{
public:
    MetricRegistry();
    ~MetricRegistry();
    MetricRegistry(const MetricRegistry &) = delete;
    MetricRegistry &operator=(const MetricRegistry &) = delete;

    /// Adds to a counter.
    void add(const std::string &name, const Labels &labels = {}, double amount = 1);
    /// Sets a gauge.
    void set(const std::string &name, const Labels &labels, double value);

    /// Adds a sample to a distribution; served as count, sum, maximum and estimated 50th, 95th and 99th percentiles.
    void observe(const std::string &name, const Labels &labels, double value);

    /// All series in the Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    struct Series;
    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Series>> series;
    double droppedSeries = 0;
};

} // namespace LibMetrics
