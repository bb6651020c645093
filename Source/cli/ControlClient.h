#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Result.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Knapweedquay::Cli {

/// Sends an HTTP request to an address and returns the response. Errors: ConnectionFailed when nothing can have reached
/// the server, otherwise TimedOut.
using Exchange = std::function<Result<HttpResponse>(const std::string& address, const HttpRequest&)>;

/// Answer of a control replica or node.
struct Answer {
    /// Ok, or the result code of the refusal or failure.
    ResultCode code = ResultCode::Ok;
    /// Explanation of a refusal or failure; otherwise empty.
    std::string detail;
    /// The JSON body, if there was one.
    nlohmann::json body;

    bool isOk() const { return code == ResultCode::Ok; }
};

/// Converts a response, whose body is JSON or a problem document, into an answer.
Answer readAnswer(const HttpResponse&);

/// Sends requests to the control replicas, one replica after the other until one can answer.
class ControlClient {
public:
    ControlClient(std::vector<std::string> controls, Exchange);

    /// Returns the answer of the first replica that can give one. After NoQuorum or a lost answer the next replica is
    /// tried too, which is safe because an edit keeps its change id. If no replica can answer, the result is the last
    /// failure, except that NoQuorum and TimedOut, which leave the outcome open, take precedence.
    Answer ask(const HttpRequest&) const;
    /// Returns the answers of all replicas, in the order of their addresses.
    std::vector<Answer> askAll(const HttpRequest&) const;

    const std::vector<std::string>& controls() const { return m_controls; }

private:
    Answer askOne(const std::string& address, const HttpRequest&) const;

    const std::vector<std::string> m_controls;
    const Exchange m_exchange;
};

} // namespace Knapweedquay::Cli
