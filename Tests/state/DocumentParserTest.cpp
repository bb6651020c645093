#include "state/DocumentParser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>

using namespace Knapweedquay;

namespace {

constexpr const char* validText = R"(service = "dispatch"
team = "couriers"

[limits]
default_slots = 12
default_deadline_ms = 500

[[priorities]]
name = "booking"
target_ms = 50
minimum_share = 0.3
worth = 10

[[priorities]]
name = "catalogue"
minimum_share = 0.1

[[routes]]
method = "POST"
path = "/bookings"
priority = "booking"

[[routes]]
priority = "catalogue"
idempotent = true
)";

std::string replaceInValidText(const std::string& from, const std::string& to)
{
    std::string text = validText;
    const auto position = text.find(from);
    EXPECT_NE(std::string::npos, position) << from;
    return text.replace(position, from.size(), to);
}

/// Returns "line:column key" for each problem.
std::vector<std::string> problemPositions(const std::string& text)
{
    std::vector<std::string> positions;
    for (const ConfigurationProblem& problem : checkDocument(text).problems)
        positions.push_back(std::to_string(problem.line) + ":" + std::to_string(problem.column) + " " + problem.key);
    return positions;
}

using Positions = std::vector<std::string>;

TEST(DocumentParserTest, ValidText_Parsed_GivesDocumentWithDefaults)
{
    const auto document = parseDocument(validText);
    ASSERT_TRUE(document.has_value()) << document.error().detail;
    EXPECT_EQ(ServiceName("dispatch"), document.value().service);
    EXPECT_EQ(Duration(500000), document.value().defaultDeadline);
    EXPECT_EQ(Duration(30000000), document.value().maximumDeadline);
    ASSERT_EQ(2u, document.value().routes.size());
    EXPECT_EQ(PriorityIndex(1), document.value().routes[1].priority);
    EXPECT_TRUE(document.value().routes[1].idempotent);
}

TEST(DocumentParserTest, InvalidValue_Parsed_IsReportedWithPosition)
{
    EXPECT_EQ(Positions { "5:17 limits.default_slots" }, problemPositions(replaceInValidText("default_slots = 12", "default_slots = 0")));
    EXPECT_EQ(Positions { "5:17 limits.default_slots" }, problemPositions(replaceInValidText("default_slots = 12", "default_slots = 12.0")));
    EXPECT_EQ(Positions { "5:17 limits.default_slots" }, problemPositions(replaceInValidText("default_slots = 12", "default_slots = \"12\"")));
    EXPECT_EQ(Positions { "5:1 limits.defualt_slots" }, problemPositions(replaceInValidText("default_slots", "defualt_slots")));
    EXPECT_EQ(Positions { "1:11 service" }, problemPositions(replaceInValidText("\"dispatch\"", "\"dis patch\"")));
    EXPECT_EQ(Positions { "1:1 service" }, problemPositions(replaceInValidText("service = \"dispatch\"", "")));
    EXPECT_EQ(Positions { "11:17 priorities[0].minimum_share" }, problemPositions(replaceInValidText("0.3", "nan")));
    EXPECT_EQ(Positions { "16:17 priorities[1].minimum_share" }, problemPositions(replaceInValidText("0.1", "0.71")));
    // A route to the renamed priority is reported as well, because its priority no longer exists.
    EXPECT_EQ((Positions { "15:8 priorities[1].name", "24:12 routes[1].priority" }), problemPositions(replaceInValidText("name = \"catalogue\"", "name = \"booking\"")));
    EXPECT_EQ(Positions { "21:12 routes[0].priority" }, problemPositions(replaceInValidText("priority = \"booking\"", "priority = \"bookings\"")));
    EXPECT_EQ(Positions { "20:8 routes[0].path" }, problemPositions(replaceInValidText("\"/bookings\"", "\"bookings\"")));
    EXPECT_EQ(Positions { "19:10 routes[0].method" }, problemPositions(replaceInValidText("\"POST\"", "\"post\"")));
    EXPECT_EQ(Positions { "25:14 routes[1].idempotent" }, problemPositions(replaceInValidText("idempotent = true", "idempotent = 1")));
    EXPECT_EQ(Positions { "4:1 limits.maximum_deadline_ms" }, problemPositions(replaceInValidText("default_deadline_ms = 500", "default_deadline_ms = 31000")));
    EXPECT_EQ(Positions { "5:17 " }, problemPositions(replaceInValidText("default_slots = 12", "default_slots = = ")));
}

TEST(DocumentParserTest, SeveralProblems_Parsed_AreAllReportedInOrder)
{
    std::string text = replaceInValidText("default_slots = 12", "default_slots = 0\nslots = 1");
    text.replace(text.find("worth = 10"), 10, "worth = -1");
    text += "colour = \"red\"\n[retry]\n";
    EXPECT_EQ((Positions { "5:17 limits.default_slots", "6:1 limits.slots", "13:9 priorities[0].worth", "27:1 routes[1].colour", "28:2 retry" }), problemPositions(text));
    const auto document = parseDocument(text);
    ASSERT_TRUE(document.has_error());
    EXPECT_EQ(ResultCode::InvalidDocument, document.error().code);
    EXPECT_NE(std::string::npos, document.error().detail.find("line 5, column 17: limits.default_slots: expected a whole number from 1 to 10000, found 0"));
}

TEST(DocumentParserTest, OversizedOrNestedText_Parsed_IsRejected)
{
    EXPECT_EQ(Positions { "1:1 " }, problemPositions(std::string(maximumRoutes * 1000, '#')));
    std::string deepKey = "a";
    for (int level = 0; level < 10000; ++level)
        deepKey += ".a";
    EXPECT_EQ(Positions { "1:1 " }, problemPositions(deepKey + " = 1"));
    EXPECT_EQ(1u, problemPositions("a = " + std::string(900, '[')).size());
    std::string many = validText;
    for (std::size_t priority = 0; priority < maximumPriorities; ++priority)
        many += "[[priorities]]\nname = \"p" + std::to_string(priority) + "\"\n";
    EXPECT_EQ("priorities", checkDocument(many).problems.front().key);
}

ServiceDocument arbitraryDocument()
{
    const auto share = [] { return *rc::gen::inRange(0, 101) / 100.0; };
    const auto time = [] { return Duration(std::chrono::milliseconds(*rc::gen::inRange(1, 600000))); };
    const auto name = [] { return "n" + std::to_string(*rc::gen::inRange(0, 1000)); };
    ServiceDocument document;
    document.service = ServiceName(name());
    document.team = name();
    document.defaultSlots = *rc::gen::inRange(1, 10001);
    document.defaultDeadline = time();
    document.maximumDeadline = std::max(time(), document.defaultDeadline);
    document.measurement = { share(), *rc::gen::inRange(0, 22001) * 1.0 };
    document.retries = { static_cast<std::uint32_t>(*rc::gen::inRange(1, 11)), share(), share() };
    document.ejection = { share() / 2, time() };
    document.rampTime = time();
    document.drainTime = time();
    const auto priorities = *rc::gen::inRange<std::size_t>(1, maximumPriorities + 1);
    for (std::size_t index = 0; index < priorities; ++index)
        document.priorities.push_back({ "priority-" + std::to_string(index), time(), *rc::gen::inRange(1, 1000) / 7.0, share() / static_cast<double>(priorities), time() });
    const auto routes = *rc::gen::inRange<std::size_t>(0, 20);
    for (std::size_t index = 0; index < routes; ++index)
        document.routes.push_back({ *rc::gen::element<std::string>("*", "GET", "POST"), "/\"'\\" + std::to_string(index), PriorityIndex(*rc::gen::inRange<std::uint32_t>(0, static_cast<std::uint32_t>(priorities))), *rc::gen::arbitrary<bool>() });
    return document;
}

RC_GTEST_PROP(DocumentParserTest, AnyDocument_RenderedAndParsed_IsEqual, ())
{
    const ServiceDocument document = arbitraryDocument();
    const auto parsed = parseDocument(renderDocument(document));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(toJson(parsed.value()) == toJson(document));
}

RC_GTEST_PROP(DocumentParserTest, CorruptedText_Parsed_IsRejectedOrSatisfiesConstraints, ())
{
    std::string text = renderDocument(arbitraryDocument());
    const auto corruptions = *rc::gen::inRange(1, 4);
    for (int corruption = 0; corruption < corruptions; ++corruption)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::element('0', '9', '.', '=', '[', ']', '"', '\n', '-', 'e', '\0', '\xff');
    const ParsedDocument parsed = checkDocument(text);
    RC_ASSERT(parsed.document.has_value() == parsed.problems.empty());
    for (const ConfigurationProblem& problem : parsed.problems)
        RC_ASSERT(problem.line > 0 && !problem.expected.empty());
    if (!parsed.document)
        return;
    double sum = 0;
    for (const Priority& priority : parsed.document->priorities)
        sum += priority.minimumShare;
    RC_ASSERT(sum <= 1.000001);
    for (const Route& route : parsed.document->routes)
        RC_ASSERT(route.priority.value() < parsed.document->priorities.size());
}

} // namespace
