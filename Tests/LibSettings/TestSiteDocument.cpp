#include <LibSettings/JsonFile.h>
#include <LibSettings/Revision.h>
#include <gtest/gtest.h>

namespace
{

nlohmann::json baseDocument()
{
    const std::string digest(64, 'a');
    return {
        {"site", "costilla-luz"},
        {"failure_domains", {{"lima", {{"region", "coast"}}}, {"cusco", {{"region", "andes"}}}}},
        {"accounts", {{"bench", {{"key_sha256", digest}, {"weight", 3}}}}},
        {"services",
         {{"bench-assistant", {{"kind", "engine"}, {"target", {{"model", "glue-line"}, {"adapter", "base"}, {"version", "1"}, {"root", digest}}}}},
          {"order-desk", {{"kind", "plain"}, {"routes", {{{"method", "POST"}, {"path", "/shipments"}, {"repeatable", false}}}}}}}},
        {"upstreams", {{"bench-1", {{"service", "bench-assistant"}, {"failure_domain", "lima"}}}}},
    };
}

struct OverlayCase {
    const char *name;
    nlohmann::json overlay;
    /// The path of the field that the error must contain; empty when the overlay is accepted.
    const char *path;
};

class OverlayTest : public testing::TestWithParam<OverlayCase>
{
};

// Guards against an invalid overlay being accepted and causing an outage later, and against an error that does not name the invalid field.
TEST_P(OverlayTest, IsAcceptedOrRefusedWithThePath)
{
    const auto merged = LibSettings::mergeOverlay(baseDocument(), GetParam().overlay);
    const std::string expected = GetParam().path;
    if (expected.empty()) {
        EXPECT_TRUE(merged.ok()) << merged.status();
        return;
    }
    ASSERT_FALSE(merged.ok());
    EXPECT_NE(std::string(merged.status().message()).find(expected), std::string::npos) << merged.status();
}

INSTANTIATE_TEST_SUITE_P(
    Table, OverlayTest,
    testing::Values(OverlayCase{"empty", nlohmann::json::object(), ""},
                    OverlayCase{"domain_out", {{"failure_domains", {{"lima", {{"in_service", false}}}}}}, ""},
                    OverlayCase{"new_host", {{"upstreams", {{"bench-2", {{"service", "bench-assistant"}, {"failure_domain", "cusco"}}}}}}, ""},
                    OverlayCase{"unknown_host", {{"upstreams", {{"bench-9", {{"in_service", false}}}}}}, "/upstreams/bench-9"},
                    OverlayCase{"unknown_domain", {{"failure_domains", {{"quito", {{"in_service", false}}}}}}, "/failure_domains/quito"},
                    OverlayCase{"unknown_field", {{"upstreams", {{"bench-1", {{"wieght", 2}}}}}}, "/upstreams/bench-1"},
                    OverlayCase{"wrong_type", {{"accounts", {{"bench", {{"weight", "three"}}}}}}, "/accounts/bench/weight"},
                    OverlayCase{"unknown_service", {{"upstreams", {{"bench-1", {{"service", "bench"}}}}}}, "/upstreams/bench-1/service"},
                    OverlayCase{"short_root", {{"services", {{"bench-assistant", {{"target", {{"root", "aa"}}}}}}}}, "/services/bench-assistant/target/root"},
                    OverlayCase{"removed_target", {{"services", {{"bench-assistant", {{"target", nullptr}}}}}}, "/services/bench-assistant/target"},
                    OverlayCase{"not_an_object", nlohmann::json::array(), "/"}),
    [](const auto &info) { return info.param.name; });

// Guards against a truncated or modified response of a peer or the store taking effect.
TEST(Revision, RefusesAChangedDocument)
{
    LibSettings::Revision revision{3, "change", LibSettings::documentDigest(baseDocument()), baseDocument()};
    const std::string text = LibSettings::serializeRevision(revision);
    ASSERT_TRUE(LibSettings::parseRevision(text).ok()) << LibSettings::parseRevision(text).status();
    std::string changed = text;
    changed.replace(changed.find("cusco"), 5, "quito");
    EXPECT_FALSE(LibSettings::parseRevision(changed).ok());
    EXPECT_FALSE(LibSettings::parseRevision(text.substr(0, text.size() / 2)).ok());
    EXPECT_FALSE(LibSettings::parseRevision("{}").ok());
}

// Guards against the second value of a duplicate key silently replacing the first, and against unbounded nesting.
TEST(JsonFile, RefusesDuplicateKeysAndDeepNesting)
{
    EXPECT_FALSE(LibSettings::parseJson(R"({"a":1,"a":2})", "text").ok());
    EXPECT_TRUE(LibSettings::parseJson(R"({"a":{"a":1}})", "text").ok());
    EXPECT_FALSE(LibSettings::parseJson(std::string(100, '[') + std::string(100, ']'), "text").ok());
    EXPECT_EQ(LibSettings::readJsonFile("/nonexistent/settings.json").status().code(), absl::StatusCode::kNotFound);
}

} // namespace
