#include "cli/ControlClient.h"

#include <utility>

namespace Knapweedquay::Cli {

namespace {

/// HTTP statuses from this one on report errors.
constexpr std::uint16_t firstErrorStatus = 400;

bool mayTryNextReplica(ResultCode code)
{
    return code == ResultCode::NotLeader || code == ResultCode::NoQuorum || code == ResultCode::ConnectionFailed || code == ResultCode::TimedOut || code == ResultCode::StaleConfiguration || code == ResultCode::Draining;
}

// True when the edit may have been accepted. Such a failure must not be replaced by a later refusal of another replica.
bool isOutcomeUnknown(ResultCode code)
{
    return code == ResultCode::NoQuorum || code == ResultCode::TimedOut;
}

} // namespace

Answer readAnswer(const HttpResponse& response)
{
    Answer answer;
    answer.body = nlohmann::json::parse(response.body.bytes(), nullptr, false);
    if (response.status < firstErrorStatus && !answer.body.is_discarded())
        return answer;
    answer.code = ResultCode::MalformedMessage;
    answer.detail = "HTTP status " + std::to_string(response.status) + " without problem details";
    if (answer.body.is_object() && answer.body.contains("code") && answer.body["code"].is_number_unsigned()) {
        answer.code = static_cast<ResultCode>(answer.body["code"].get<std::uint16_t>());
        answer.detail = answer.body.value("detail", std::string());
    }
    return answer;
}

ControlClient::ControlClient(std::vector<std::string> controls, Exchange exchange)
    : m_controls(std::move(controls))
    , m_exchange(std::move(exchange))
{
}

Answer ControlClient::askOne(const std::string& address, const HttpRequest& request) const
{
    const auto response = m_exchange(address, request);
    if (response.has_error())
        return { response.error().code, response.error().detail, {} };
    return readAnswer(response.value());
}

Answer ControlClient::ask(const HttpRequest& request) const
{
    Answer lastFailure;
    for (const std::string& address : m_controls) {
        Answer answer = askOne(address, request);
        if (!mayTryNextReplica(answer.code))
            return answer;
        if (lastFailure.isOk() || !isOutcomeUnknown(lastFailure.code))
            lastFailure = std::move(answer);
    }
    return lastFailure;
}

std::vector<Answer> ControlClient::askAll(const HttpRequest& request) const
{
    std::vector<Answer> answers;
    answers.reserve(m_controls.size());
    for (const std::string& address : m_controls)
        answers.push_back(askOne(address, request));
    return answers;
}

} // namespace Knapweedquay::Cli
