#include "cli/Commands.h"
#include "cli/DocumentDifference.h"
#include "state/DocumentParser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <sstream>

using namespace Knapweedquay;
using namespace Knapweedquay::Cli;
using Json = nlohmann::json;

namespace {

constexpr const char* documentText = "service = \"dispatch\"\nteam = \"couriers\"\n[[priorities]]\nname = \"booking\"\n";

HttpResponse okResponse(const Json& body) { return { 200, {}, body.dump() }; }
HttpResponse problemResponse(ResultCode code)
{
    return { httpStatus(code), {}, Json { { "code", static_cast<int>(code) }, { "detail", "said so" } }.dump() };
}

/// Runs commands against fake replicas, whose answers a test sets by "address METHOD path".
class CommandsTest : public ::testing::Test {
protected:
    ExitCode run(std::vector<std::string> arguments)
    {
        for (const char* control : { "10.0.0.1:1", "10.0.0.2:1" })
            arguments.insert(arguments.end(), { "--control", control });
        const auto line = parseCommandLine(arguments, { {}, "secret", "rania" });
        if (line.has_error()) {
            errors << line.error().detail;
            return ExitCode::WrongUsage;
        }
        Report report(output, errors, line.value().output, false);
        CommandHooks hooks;
        hooks.exchange = [this](const std::string& address, const HttpRequest& request) { return exchange(address, request); };
        hooks.readFile = [this](const std::string& path) -> Result<std::string> {
            if (path == "file.toml")
                return fileText;
            return Error { ResultCode::FileUnreadable, path };
        };
        hooks.generateChangeId = [] { return std::string("drawn"); };
        hooks.sleep = [this](Duration time) { totalSleep += time; };
        return Commands(line.value(), hooks, report).run();
    }

    Result<HttpResponse> exchange(const std::string& address, const HttpRequest& request)
    {
        const std::string key = address + " " + request.method + " " + request.target;
        requests.push_back(request);
        requestKeys.push_back(key);
        const auto found = answers.find(key);
        if (found == answers.end())
            return Error { ResultCode::ConnectionFailed, address };
        return found->second;
    }

    bool wasRequested(const std::string& key) const { return std::find(requestKeys.begin(), requestKeys.end(), key) != requestKeys.end(); }

    std::string fileText = documentText;
    std::map<std::string, Result<HttpResponse>> answers;
    std::vector<std::string> requestKeys;
    std::vector<HttpRequest> requests;
    Duration totalSleep { 0 };
    std::ostringstream output;
    std::ostringstream errors;
};

TEST_F(CommandsTest, Apply_FirstReplicaIsFollower_SendsVersionAndCredentialToLeader)
{
    answers.emplace("10.0.0.1:1 GET /v1/documents/dispatch", okResponse({ { "version", 4 }, { "text", documentText } }));
    answers.emplace("10.0.0.1:1 PUT /v1/documents/dispatch", problemResponse(ResultCode::NotLeader));
    answers.emplace("10.0.0.2:1 PUT /v1/documents/dispatch", okResponse({ { "version", 5 } }));
    EXPECT_EQ(ExitCode::Done, run({ "apply", "file.toml" })) << errors.str();
    const HttpHeaders& headers = requests.back().headers;
    EXPECT_EQ("4", *findHeader(headers, "Knapweedquay-Expected-Version"));
    EXPECT_EQ("drawn", *findHeader(headers, "Knapweedquay-Change-Id"));
    EXPECT_EQ("rania", *findHeader(headers, "Knapweedquay-Author"));
    EXPECT_EQ("Bearer secret", *findHeader(headers, "Authorization"));
    EXPECT_EQ(documentText, requests.back().body);
    EXPECT_NE(std::string::npos, output.str().find("dispatch: version 5 accepted"));
}

TEST_F(CommandsTest, Apply_FirstReplicaStops_SendsToTheNext)
{
    answers.emplace("10.0.0.1:1 PUT /v1/documents/dispatch", problemResponse(ResultCode::Draining));
    answers.emplace("10.0.0.2:1 PUT /v1/documents/dispatch", okResponse({ { "version", 5 } }));
    EXPECT_EQ(ExitCode::Done, run({ "apply", "file.toml", "--expected-version", "4" })) << errors.str();
}

TEST_F(CommandsTest, Apply_Refused_ReturnsExitCodeOfTheReason)
{
    const std::pair<ResultCode, ExitCode> cases[] = { { ResultCode::VersionConflict, ExitCode::VersionConflict }, { ResultCode::NotAuthorized, ExitCode::NotAuthorized }, { ResultCode::InvalidDocument, ExitCode::InvalidDocument }, { ResultCode::StorageFailed, ExitCode::Failed } };
    for (const auto& [code, exitCode] : cases) {
        answers.clear();
        answers.emplace("10.0.0.1:1 PUT /v1/documents/dispatch", problemResponse(code));
        EXPECT_EQ(exitCode, run({ "apply", "file.toml", "--expected-version", "1" }));
    }
    fileText = "service = 1";
    requestKeys.clear();
    EXPECT_EQ(ExitCode::InvalidDocument, run({ "apply", "file.toml" }));
    EXPECT_NE(std::string::npos, errors.str().find("file.toml:1:11: service: expected a name"));
    EXPECT_TRUE(requestKeys.empty());
}

TEST_F(CommandsTest, Apply_AnswerLostThenRefusedByNextReplica_ReportsUnknownOutcomeAndChangeId)
{
    answers.emplace("10.0.0.1:1 PUT /v1/documents/dispatch", Error { ResultCode::TimedOut, "lost" });
    answers.emplace("10.0.0.2:1 PUT /v1/documents/dispatch", problemResponse(ResultCode::NotLeader));
    EXPECT_EQ(ExitCode::OutcomeUnknown, run({ "apply", "file.toml", "--expected-version", "7", "--change-id", "mine" }));
    EXPECT_NE(std::string::npos, errors.str().find("resend with --change-id mine --expected-version 7"));
}

TEST_F(CommandsTest, ApplyWithWait_OneNodeHasOldVersion_ReportsTheNode)
{
    answers.emplace("10.0.0.1:1 PUT /v1/documents/dispatch", okResponse({ { "version", 5 } }));
    answers.emplace("10.0.0.1:1 GET /v1/nodes", okResponse(Json::array({ { { "node", "a" }, { "in_force", { { "dispatch", 5 } } } } })));
    answers.emplace("10.0.0.2:1 GET /v1/nodes", okResponse(Json::array({ { { "node", "b" }, { "in_force", { { "dispatch", 4 } } } } })));
    EXPECT_EQ(ExitCode::NotInForce, run({ "apply", "file.toml", "--expected-version", "4", "--wait", "2" }));
    EXPECT_NE(std::string::npos, errors.str().find("not in force at: b")) << errors.str();
    EXPECT_GE(totalSleep, std::chrono::seconds(2));
    answers.at("10.0.0.2:1 GET /v1/nodes") = okResponse(Json::array());
    EXPECT_EQ(ExitCode::Done, run({ "apply", "file.toml", "--expected-version", "4", "--wait", "2" }));
}

TEST_F(CommandsTest, Diff_InsertedPriority_ReportsOnlyThatPriority)
{
    answers.emplace("10.0.0.1:1 GET /v1/documents/dispatch", okResponse({ { "version", 1 }, { "text", documentText } }));
    EXPECT_EQ(ExitCode::Done, run({ "diff", "file.toml" }));
    fileText = std::string("service = \"dispatch\"\nteam = \"couriers\"\n[[priorities]]\nname = \"stock\"\n") + "[[priorities]]\nname = \"booking\"\ntarget_ms = 7\n";
    output.str({});
    EXPECT_EQ(ExitCode::Different, run({ "diff", "file.toml", "--output", "json" }));
    const Json rows = Json::parse(output.str());
    const auto row = std::find_if(rows.begin(), rows.end(), [](const Json& candidate) { return candidate["key"] == "priorities/booking/target_ms"; });
    ASSERT_NE(rows.end(), row);
    EXPECT_EQ("100", (*row)["in place"]);
    EXPECT_EQ("7", (*row)["in file"]);
    for (const Json& entry : rows)
        EXPECT_EQ(0u, entry["key"].get<std::string>().find("priorities/")) << entry;
}

TEST_F(CommandsTest, StatusShowHistory_WithControlCharactersInAnswers_PrintTablesWithoutThem)
{
    answers.emplace("10.0.0.1:1 GET /v1/status", okResponse({ { "replica", 7 }, { "leading", true } }));
    answers.emplace("10.0.0.1:1 GET /v1/documents", okResponse(Json::array({ { { "service", "dispatch" }, { "version", 3 }, { "team", "t" } } })));
    answers.emplace("10.0.0.1:1 GET /v1/history/dispatch", okResponse(Json::array({ { { "sequence", 1 }, { "author", "x\x1b[31m" } } })));
    EXPECT_EQ(ExitCode::Done, run({ "status" }));
    EXPECT_NE(std::string::npos, output.str().find("10.0.0.1:1  7        true"));
    EXPECT_EQ(ExitCode::Done, run({ "show" }));
    EXPECT_EQ(ExitCode::Done, run({ "history", "dispatch" }));
    EXPECT_EQ(std::string::npos, output.str().find('\x1b'));
    answers.erase("10.0.0.1:1 GET /v1/status");
    EXPECT_EQ(ExitCode::Failed, run({ "status" }));
}

TEST_F(CommandsTest, DrainUndrainReplace_Run_RequestTheirResources)
{
    answers.emplace("10.0.0.9:1 POST /leave", okResponse({ { "node", "n" } }));
    answers.emplace("10.0.0.9:1 POST /return", okResponse({ { "node", "n" } }));
    answers.emplace("10.0.0.8:1 POST /return", okResponse({ { "node", "n" }, { "draining", true } }));
    const Json endpoints { { "dispatch", Json::array({ { { "node", "n" }, { "requests_per_second", 10.7 } } }) } };
    answers.emplace("10.0.0.9:1 GET /status", okResponse({ { "traffic", { { "endpoints", endpoints }, { "sent_bytes", Json::array({ { { "kind", "membership" }, { "other_data_centres", 4711 } } }) } } } }));
    answers.emplace("10.0.0.1:1 DELETE /v1/replicas/12", problemResponse(ResultCode::NotLeader));
    answers.emplace("10.0.0.2:1 DELETE /v1/replicas/12", okResponse({ { "code", 0 } }));
    EXPECT_EQ(ExitCode::Done, run({ "drain", "--node", "10.0.0.9:1" }));
    EXPECT_EQ(ExitCode::Done, run({ "undrain", "--node", "10.0.0.9:1" }));
    EXPECT_EQ(ExitCode::Failed, run({ "undrain", "--node", "10.0.0.8:1" })) << "its backend server leaves";
    EXPECT_EQ(ExitCode::Done, run({ "endpoints", "--node", "10.0.0.9:1" }));
    EXPECT_NE(std::string::npos, output.str().find("10.7"));
    EXPECT_EQ(ExitCode::Done, run({ "bytes", "--node", "10.0.0.9:1" }));
    EXPECT_NE(std::string::npos, output.str().find("4711"));
    EXPECT_EQ(ExitCode::Done, run({ "replace", "12" }));
    EXPECT_TRUE(wasRequested("10.0.0.2:1 DELETE /v1/replicas/12"));
}

TEST_F(CommandsTest, EvacuateAndRestore_FirstReplicaIsFollower_SendTheOrderToTheLeader)
{
    for (const char* method : { "PUT", "DELETE" }) {
        answers.emplace(std::string("10.0.0.1:1 ") + method + " /v1/evacuations/north", problemResponse(ResultCode::NotLeader));
        answers.emplace(std::string("10.0.0.2:1 ") + method + " /v1/evacuations/north", okResponse({ { "code", 0 }, { "version", 3 } }));
    }
    answers.emplace("10.0.0.1:1 PUT /v1/evacuations/nowhere", problemResponse(ResultCode::UnknownResource));
    answers.emplace("10.0.0.1:1 GET /v1/nodes", okResponse(Json::array({ { { "node", "a" }, { "in_force", { { "@evacuations", 2 } } } } })));
    answers.emplace("10.0.0.1:1 GET /v1/evacuations", okResponse(Json::array({ { { "data_centre", "north" } } })));
    EXPECT_EQ(ExitCode::Done, run({ "evacuate", "north" })) << errors.str();
    EXPECT_EQ("Bearer secret", *findHeader(requests.back().headers, "Authorization"));
    EXPECT_EQ("rania", *findHeader(requests.back().headers, "Knapweedquay-Author"));
    EXPECT_EQ(ExitCode::NotInForce, run({ "evacuate", "north", "--wait", "1" }));
    EXPECT_EQ(ExitCode::Done, run({ "restore", "north" }));
    EXPECT_TRUE(wasRequested("10.0.0.2:1 DELETE /v1/evacuations/north"));
    EXPECT_EQ(ExitCode::Failed, run({ "evacuate", "nowhere" }));
    EXPECT_EQ(ExitCode::Done, run({ "evacuations" }));
    EXPECT_NE(std::string::npos, output.str().find("north: emptied, version 3"));
}

TEST_F(CommandsTest, WrongUsage_OfEachKind_IsRefusedAndHelpExistsForEachCommand)
{
    for (const std::vector<std::string>& arguments : { std::vector<std::string> {}, { "fly" }, { "apply" }, { "apply", "a", "b" }, { "status", "x" }, { "drain" }, { "status", "--output", "xml" }, { "status", "--colour" }, { "apply", "f", "--expected-version", "-x" }, { "drain", "--node", "localhost:1" } })
        EXPECT_EQ(ExitCode::WrongUsage, run(arguments));
    const auto general = parseCommandLine({ "--help" }, {});
    const auto ofApply = parseCommandLine({ "apply", "--help" }, {});
    EXPECT_NE(std::string::npos, general.value().information.find("undrain"));
    EXPECT_NE(std::string::npos, ofApply.value().information.find("knapweedquay apply FILE"));
    EXPECT_EQ(0u, parseCommandLine({ "--version" }, {}).value().information.find("knapweedquay "));
}

} // namespace
