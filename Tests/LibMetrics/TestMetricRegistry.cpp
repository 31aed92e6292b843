#include <LibMetrics/MetricRegistry.h>
#include <gtest/gtest.h>

namespace
{

using LibMetrics::MetricRegistry;

size_t countOf(const std::string &text, const std::string &part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

// The value of a series, or -1 when the text does not contain it.
double valueOf(const std::string &text, const std::string &series)
{
    const size_t at = text.find(series + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + series.size() + 1));
}

struct EscapeCase {
    const char *value;
    const char *escaped;
};

class LabelEscaping : public testing::TestWithParam<EscapeCase>
{
};

// Guards against a label value that ends its line or its quotes early, which makes the whole response unreadable for a scraper.
TEST_P(LabelEscaping, FollowsTheTextFormat)
{
    MetricRegistry metrics;
    metrics.add("calls_total", {{"account", GetParam().value}});
    EXPECT_NE(metrics.text().find(std::string("calls_total{account=\"") + GetParam().escaped + "\"} 1\n"), std::string::npos) << metrics.text();
}

INSTANTIATE_TEST_SUITE_P(Table, LabelEscaping,
                         testing::Values(EscapeCase{"plain", "plain"}, EscapeCase{"a\"b", "a\\\"b"}, EscapeCase{"a\\b", "a\\\\b"},
                                         EscapeCase{"a\nb", "a\\nb"}));

// Guards against a counter that seems constant between scrapes because its last digits are not printed.
TEST(MetricRegistry, LargeCountersKeepTheirDigits)
{
    MetricRegistry metrics;
    metrics.add("bytes_total", {}, 123'456'789'012.0);
    EXPECT_NE(metrics.text().find("bytes_total 123456789012\n"), std::string::npos) << metrics.text();
}

// Guards against two type lines for one name, which scrapers reject: in plain text order "a_b" sorts between "a" and "a{...}".
TEST(MetricRegistry, SeriesOfANameStayTogether)
{
    MetricRegistry metrics;
    metrics.add("a");
    metrics.add("a_b");
    metrics.add("a", {{"x", "1"}});
    EXPECT_EQ(countOf(metrics.text(), "# TYPE a counter"), 1U) << metrics.text();
}

// Guards against percentiles that are far off the samples.
TEST(MetricRegistry, PercentilesAreNearTheSamples)
{
    MetricRegistry metrics;
    for (int sample = 0; sample < 10'000; ++sample) {
        metrics.observe("wait_ms", {}, sample * 7'919 % 10'000);
    }
    const std::string text = metrics.text();
    EXPECT_NEAR(valueOf(text, "wait_ms{quantile=\"0.5\"}"), 5'000, 300);
    EXPECT_NEAR(valueOf(text, "wait_ms{quantile=\"0.95\"}"), 9'500, 300);
    EXPECT_NEAR(valueOf(text, "wait_ms{quantile=\"0.99\"}"), 9'900, 300);
    EXPECT_EQ(valueOf(text, "wait_ms_count"), 10'000);
}

// Guards against percentiles outside the range of the samples while there are few of them.
TEST(MetricRegistry, PercentilesOfFewSamplesAreInTheirRange)
{
    MetricRegistry metrics;
    for (int count = 1; count <= 200; ++count) {
        metrics.observe("wait_ms", {}, 40 + count);
        for (const char *series : {"wait_ms{quantile=\"0.5\"}", "wait_ms{quantile=\"0.95\"}", "wait_ms{quantile=\"0.99\"}"}) {
            const double value = valueOf(metrics.text(), series);
            EXPECT_GE(value, 41) << series << " of " << count;
            EXPECT_LE(value, 40 + count) << series << " of " << count;
        }
    }
}

// Guards against unbounded memory use by label values that callers choose.
TEST(MetricRegistry, SeriesAreBounded)
{
    MetricRegistry metrics;
    for (int series = 0; series < 10'002; ++series) {
        metrics.add("calls_total", {{"account", std::to_string(series)}});
    }
    EXPECT_EQ(countOf(metrics.text(), "calls_total{"), 10'000U);
    EXPECT_EQ(valueOf(metrics.text(), "\ncatkinlink_series_dropped_total"), 2);
}

} // namespace
