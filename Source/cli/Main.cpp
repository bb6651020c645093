#include "cli/CommandLine.h"
#include "cli/Commands.h"
#include "cli/CurlExchange.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace Knapweedquay;
using namespace Knapweedquay::Cli;

namespace {

/// Longest time for one request to a control replica or node.
constexpr Duration requestTimeout = std::chrono::seconds(10);

std::string environmentValue(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return Error { ResultCode::FileUnreadable, path + ": cannot be read" };
    return text.str();
}

std::string generateChangeId()
{
    std::random_device random;
    std::ostringstream text;
    constexpr int words = 4;
    for (int word = 0; word < words; ++word)
        text << std::hex << random();
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    const Environment environment { environmentValue("KNAPWEEDQUAY_CONTROL"), environmentValue("KNAPWEEDQUAY_CREDENTIAL"), environmentValue("USER") };
    const auto commandLine = parseCommandLine({ argv + 1, argv + argc }, environment);
    if (commandLine.has_error()) {
        std::cerr << commandLine.error().detail << '\n';
        return static_cast<int>(ExitCode::WrongUsage);
    }
    if (!commandLine.value().information.empty()) {
        std::cout << commandLine.value().information;
        return static_cast<int>(ExitCode::Done);
    }
    const bool hasColours = isatty(STDOUT_FILENO) && isatty(STDERR_FILENO);
    Report report(std::cout, std::cerr, commandLine.value().output, hasColours);
    CommandHooks hooks;
    hooks.exchange = [](const std::string& address, const HttpRequest& request) { return exchangeWithCurl(address, request, requestTimeout); };
    hooks.readFile = readFile;
    hooks.generateChangeId = generateChangeId;
    hooks.sleep = [](Duration time) { std::this_thread::sleep_for(time); };
    return static_cast<int>(Commands(commandLine.value(), hooks, report).run());
}
