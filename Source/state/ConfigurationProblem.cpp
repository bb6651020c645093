#include "state/ConfigurationProblem.h"

namespace Knapweedquay {

namespace {

std::string positionText(const ConfigurationProblem& problem, const std::string& source)
{
    if (problem.line == 0)
        return "command line";
    const std::string line = std::to_string(problem.line);
    const std::string column = std::to_string(problem.column);
    return source.empty() ? "line " + line + ", column " + column : source + ":" + line + ":" + column;
}

} // namespace

std::string toText(const ConfigurationProblem& problem, const std::string& source)
{
    const std::string key = problem.key.empty() ? "" : problem.key + ": ";
    return positionText(problem, source) + ": " + key + problem.expected;
}

std::string toText(const std::vector<ConfigurationProblem>& problems, const std::string& source)
{
    std::string text;
    for (const ConfigurationProblem& problem : problems)
        text += (text.empty() ? "" : "\n") + toText(problem, source);
    return text;
}

} // namespace Knapweedquay
