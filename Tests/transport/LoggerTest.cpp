#include "transport/Logger.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace Knapweedquay;

namespace {

/// Logs to a temporary file.
class LoggerTest : public ::testing::Test {
protected:
    ~LoggerTest() override { std::remove(path.c_str()); }

    void start(LogLayout layout, LogLevel level)
    {
        std::remove(path.c_str());
        LogSettings settings;
        settings.layout = layout;
        settings.level = level;
        settings.file = path;
        startLog(settings, "test-process");
    }

    std::vector<std::string> lines() const
    {
        std::vector<std::string> lines;
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
        return lines;
    }

    const std::string path = ::testing::TempDir() + "knapweedquay-logger-test-" + std::to_string(getpid()) + ".log";
};

TEST_F(LoggerTest, JsonLayout_FieldWithSpecialCharacters_IsOneObjectPerLine)
{
    start(LogLayout::Json, LogLevel::Info);
    log(LogEvent::MemberDied, { { "node", "no\"de\n%m{}\xff" } });
    log(LogEvent::Stopped);
    ASSERT_EQ(2u, lines().size());
    const auto first = nlohmann::json::parse(lines()[0]);
    EXPECT_EQ(202, first["event"]);
    EXPECT_EQ("warning", first["level"]);
    EXPECT_EQ("test-process", first["process"]);
    EXPECT_EQ(std::string("no\"de\n%m{}\xEF\xBF\xBD"), first["fields"]["node"].get<std::string>());
    EXPECT_EQ('T', first["time"].get<std::string>().at(10));
    EXPECT_EQ(24u, first["time"].get<std::string>().size());
}

TEST_F(LoggerTest, PlainLayout_EventsBelowLevel_AreNotLogged)
{
    start(LogLayout::Plain, LogLevel::Warning);
    log(LogEvent::Started);
    log(LogEvent::EditRefused, { { "service", "dispatch" } });
    ASSERT_EQ(1u, lines().size());
    EXPECT_NE(std::string::npos, lines()[0].find("WARN  test-process 503 edit refused service=\"dispatch\"")) << lines()[0];
}

} // namespace
