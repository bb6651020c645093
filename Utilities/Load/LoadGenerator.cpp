#include "Load/LoadGenerator.h"

#include "Load/EchoAnswer.h"
#include "Load/ExecutionRecord.h"

#include <optional>
#include <utility>

namespace Knapweedquay::Load {

namespace {

/// Time after the deadline at which an exchange times out, so that an answer sent at the deadline still arrives.
constexpr std::chrono::milliseconds answerGrace { 2000 };
constexpr unsigned firstServerError = 500;
/// Interval at which the end of the run is checked, since no event may occur after the last answer.
constexpr std::chrono::milliseconds finishCheckInterval { 50 };

std::string codeOf(const HttpMessage& answer)
{
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    if (!problem.is_object() || !problem.contains("code"))
        return "status " + std::to_string(answer.status);
    return problem["code"].dump();
}

} // namespace

/// The arrival process of one class, its counters, and the request ids by their outcome.
struct LoadGenerator::Stream {
    Stream(asio::io_context& context, const CallClass& calls, std::uint64_t seed)
        : random(seed)
        , timer(context)
    {
        result.calls = calls;
    }

    std::mt19937_64 random;
    asio::steady_timer timer;
    /// When the next call is due.
    Clock::time_point nextSend;
    CallClassResult result;
    std::vector<std::string> idsReportedNotRun;
    std::vector<std::string> idsAnswered;
    std::vector<std::string> idsSent;
};

/// A call, which is sent once or, when it is resent, twice; it counts once, and an answer prevails over other outcomes.
struct LoadGenerator::SentCall {
    std::string id;
    /// When the call was due, from which its latency is measured.
    Clock::time_point scheduledTime;
    /// Exchanges that have not ended.
    std::size_t openExchanges = 0;
    /// True once an answer of the call was counted.
    bool isCounted = false;
    /// The result of an ended exchange without the outcome "answered".
    std::optional<std::pair<ExchangeFailure, HttpMessage>> unanswered;
};

LoadGenerator::LoadGenerator(asio::io_context& context, LoadOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_client(context)
{
    std::uint64_t seed = m_options.seed;
    for (const CallClass& calls : m_options.classes)
        m_streams.push_back(std::make_unique<Stream>(m_context, calls, ++seed));
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::run()
{
    m_start = Clock::now();
    for (const auto& stream : m_streams) {
        stream->nextSend = m_start;
        scheduleNext(*stream);
    }
    while (!isFinished())
        m_context.run_one_for(finishCheckInterval);
}

void LoadGenerator::scheduleNext(Stream& stream)
{
    const double gapSeconds = std::exponential_distribution<>(stream.result.calls.rate)(stream.random);
    stream.nextSend += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gapSeconds));
    if (stream.nextSend > m_start + m_options.duration)
        return;
    stream.timer.expires_at(stream.nextSend);
    stream.timer.async_wait([this, &stream](const asio::error_code& error) {
        if (error)
            return;
        sendCall(stream);
        scheduleNext(stream);
    });
}

void LoadGenerator::sendCall(Stream& stream)
{
    const CallClass& calls = stream.result.calls;
    auto call = std::make_shared<SentCall>();
    call->id = m_options.runName + "-" + calls.name + "-" + std::to_string(stream.idsSent.size());
    call->scheduledTime = stream.nextSend;
    stream.idsSent.push_back(call->id);
    ++stream.result.sent;
    const std::size_t first = drawAddress(stream);
    const bool isResent = calls.isKeyed && std::uniform_real_distribution<>()(stream.random) < calls.resendShare;
    call->openExchanges = isResent ? 2 : 1;
    startExchange(stream, call, first);
    if (isResent)
        startExchange(stream, call, (first + 1) % m_options.addresses.size());
}

std::size_t LoadGenerator::drawAddress(Stream& stream)
{
    return std::uniform_int_distribution<std::size_t>(0, m_options.addresses.size() - 1)(stream.random);
}

void LoadGenerator::startExchange(Stream& stream, const std::shared_ptr<SentCall>& call, std::size_t addressIndex)
{
    ++m_openExchanges;
    const auto timeout = std::chrono::milliseconds(stream.result.calls.deadlineMs) + answerGrace;
    m_client.send(m_options.addresses[addressIndex], requestOf(stream, *call), timeout, [this, &stream, call](ExchangeFailure failure, const HttpMessage& answer) {
        finishExchange(stream, *call, failure, answer);
    });
}

HttpMessage LoadGenerator::requestOf(const Stream& stream, const SentCall& call) const
{
    const CallClass& calls = stream.result.calls;
    HttpMessage request;
    request.method = calls.method;
    request.target = calls.path + "?id=" + call.id + "&size=" + std::to_string(calls.answerBytes);
    request.headers["knapweedquay-deadline-ms"] = std::to_string(calls.deadlineMs);
    if (!calls.priority.empty())
        request.headers["knapweedquay-priority"] = calls.priority;
    if (calls.isKeyed)
        request.headers["idempotency-key"] = call.id;
    request.body = requestBody(call.id, calls.requestBytes);
    return request;
}

std::string LoadGenerator::outcomeOf(const HttpMessage& answer) const
{
    return m_options.isDirect ? "answered" : answer.header("knapweedquay-outcome");
}

void LoadGenerator::finishExchange(Stream& stream, SentCall& call, ExchangeFailure failure, const HttpMessage& answer)
{
    --m_openExchanges;
    --call.openExchanges;
    if (failure == ExchangeFailure::None && outcomeOf(answer) == "answered")
        return countAnswer(stream, call, answer);
    // The outcome "not-run" of one exchange doesn't apply to the other one, so it does not replace another outcome.
    if (!call.unanswered || outcomeOf(answer) != "not-run")
        call.unanswered = { failure, answer };
    if (call.openExchanges == 0 && !call.isCounted)
        countUnanswered(stream, call);
}

void LoadGenerator::countUnanswered(Stream& stream, const SentCall& call)
{
    CallClassResult& result = stream.result;
    const auto& [failure, answer] = *call.unanswered;
    if (failure != ExchangeFailure::None) {
        ++result.errors;
        return;
    }
    ++result.codes[codeOf(answer)];
    if (outcomeOf(answer) == "not-run") {
        ++result.notRun;
        stream.idsReportedNotRun.push_back(call.id);
        return;
    }
    ++result.unknown;
}

void LoadGenerator::countAnswer(Stream& stream, SentCall& call, const HttpMessage& answer)
{
    CallClassResult& result = stream.result;
    const bool isFirst = !std::exchange(call.isCounted, true);
    if (answer.status >= firstServerError) {
        result.failed += isFirst ? 1 : 0;
        return;
    }
    const std::string expected = echoAnswer(call.id, requestBody(call.id, result.calls.requestBytes), result.calls.answerBytes);
    if (answer.body != expected) {
        ++result.wrong;
        return;
    }
    if (!isFirst)
        return;
    stream.idsAnswered.push_back(call.id);
    ++result.answered;
    const double milliseconds = std::chrono::duration<double, std::milli>(Clock::now() - call.scheduledTime).count();
    result.latency.add(milliseconds);
    if (milliseconds <= static_cast<double>(result.calls.targetMs))
        ++result.withinTarget;
}

bool LoadGenerator::isFinished() const
{
    return m_openExchanges == 0 && Clock::now() > m_start + m_options.duration;
}

void LoadGenerator::checkRecords()
{
    const auto runs = readExecutionRecords(m_options.recordFiles);
    const auto runsOf = [&runs](const std::string& id) {
        const auto found = runs.find(id);
        return found == runs.end() ? 0 : found->second;
    };
    for (const auto& stream : m_streams) {
        CallClassResult& result = stream->result;
        for (const std::string& id : stream->idsSent)
            result.doubleRuns += result.calls.mustRunOnce() && runsOf(id) > 1 ? 1 : 0;
        for (const std::string& id : stream->idsReportedNotRun)
            result.falseNotRun += runsOf(id) > 0 ? 1 : 0;
        for (const std::string& id : stream->idsAnswered)
            result.answeredWithoutRun += runsOf(id) == 0 ? 1 : 0;
    }
}

std::vector<CallClassResult> LoadGenerator::results() const
{
    std::vector<CallClassResult> results;
    for (const auto& stream : m_streams)
        results.push_back(stream->result);
    return results;
}

} // namespace Knapweedquay::Load
