#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Result.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Knapweedquay::Cli {

/// One HTTP exchange with an address. Errors: ConnectionFailed when nothing can have reached the server, else TimedOut.
using Exchange = std::function<Result<HttpResponse>(const std::string& address, const HttpRequest&)>;

/// An answer of the system: its JSON body, or the refusal's numbered code and detail.
struct Answer {
    ResultCode code = ResultCode::Ok;
    std::string detail;
    nlohmann::json body;

    bool isOk() const { return code == ResultCode::Ok; }
};

/// Reads a body that is JSON, or problem details.
Answer readAnswer(const HttpResponse&);

/// Asks the control replicas one after the other until one can answer.
class ControlClient {
public:
    ControlClient(std::vector<std::string> controls, Exchange);

    /// The answer of the first replica that has one. NoQuorum and lost answers are tried elsewhere too, since an edit
    /// keeps its change id; when one of them is all there is, the code is NoQuorum, TimedOut or ConnectionFailed.
    Answer ask(const HttpRequest&) const;
    /// The answers of all replicas, in the order of their addresses.
    std::vector<Answer> askAll(const HttpRequest&) const;

    const std::vector<std::string>& controls() const { return m_controls; }

private:
    Answer askOne(const std::string& address, const HttpRequest&) const;

    const std::vector<std::string> m_controls;
    const Exchange m_exchange;
};

} // namespace Knapweedquay::Cli
