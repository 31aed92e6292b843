#include "CommandTest.h"

#include <AK/Text.h>

namespace
{

using Catkinlink::ExitCode;
using CatkinlinkTest::CommandTest;

struct UnreadableCase {
    std::string file;
    const char *printed;
};

// Guards against a file that cannot be read and passes the check, or that a script takes for one with findings.
TEST_F(CommandTest, ConfigCheckRefusesUnreadableFiles)
{
    const std::string good = this->write("good", this->example.dump());
    const std::vector<UnreadableCase> cases{
        {"/nonexistent.json", "No such file or directory"},
        {testing::TempDir(), "is a directory"},
        {this->write("empty", ""), "parse error"},
        {this->write("truncated", this->example.dump().substr(0, 500)), "parse error"},
        {this->write("twice", R"({"site":"a","site":"b"})"), "stands twice"},
        {this->write("deep", std::string(100, '[') + std::string(100, ']')), "deep"},
    };
    for (const UnreadableCase &row : cases) {
        for (const std::string &arguments : {row.file, AK::concat(good, " --overlay ", row.file), AK::concat(good, " --against ", row.file)}) {
            EXPECT_EQ(this->run("config check " + arguments, {}, false), ExitCode::Usage) << arguments;
            EXPECT_NE(this->error.str().find(row.file), std::string::npos) << this->text();
            EXPECT_NE(this->error.str().find(row.printed), std::string::npos) << this->text();
        }
    }
    const std::string process = this->write("process", R"({"role":"entry"})");
    EXPECT_EQ(this->run(AK::concat("config check ", good, " --against ", process), {}, false), ExitCode::Usage) << this->text();
}

// Guards against an exit status that hides findings, differences that count as findings, and output that a script cannot read.
TEST_F(CommandTest, ConfigCheckPrintsFindingsAndDifferences)
{
    const std::string good = this->write("good", this->example.dump());
    EXPECT_EQ(this->run("config check " + good, {}, false), ExitCode::Done);
    EXPECT_EQ(this->text(), AK::concat("0 findings in ", good, "\n"));
    nlohmann::json changed = this->example;
    changed["accounts"]["tests"]["weight"] = 2;
    const std::string weight = this->write("weight", changed.dump());
    EXPECT_EQ(this->run(AK::concat("config check ", weight, " --against ", good), {}, false), ExitCode::Done);
    EXPECT_EQ(this->text(), AK::concat("0 findings in ", weight, "\n1 field differs from ", good, "\n/accounts/tests/weight: 1 -> 2\n"));
    EXPECT_EQ(this->run(AK::concat("config check ", EXAMPLE_FOLDER, "/base.json --overlay ", EXAMPLE_FOLDER, "/mechelen.json"), {}, false), ExitCode::Done);
    const std::string unknown = this->write("unknown", R"({"upstreams":{"bench-99":null}})");
    EXPECT_EQ(this->run(AK::concat("config check ", good, " --overlay ", unknown), {}, false), ExitCode::Failed);
    EXPECT_NE(this->text().find("/upstreams/bench-99"), std::string::npos) << this->text();
    changed["upstreams"]["ledger-1"]["in_service"] = false;
    const std::string out = this->write("out", changed.dump());
    EXPECT_EQ(this->run("config check " + out, {}, false), ExitCode::Failed);
    EXPECT_EQ(this->text(),
              AK::concat("warning: /services/ledger-room: all of its upstreams (1) are out of service [service_out_of_service]\n1 finding in ", out, "\n"));
    EXPECT_EQ(this->run(AK::concat("config check --json ", out, " --against ", weight), {}, false), ExitCode::Failed);
    EXPECT_EQ(nlohmann::json::parse(this->text()),
              (nlohmann::json{{"file", out},
                              {"findings",
                               {{{"kind", "service_out_of_service"},
                                 {"severity", "warning"},
                                 {"path", "/services/ledger-room"},
                                 {"message", "all of its upstreams (1) are out of service"}}}},
                              {"against", weight},
                              {"differences", {{{"path", "/upstreams/ledger-1/in_service"}, {"before", nullptr}, {"after", false}}}}}));
}

} // namespace
