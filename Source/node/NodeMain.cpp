#include "node/NodeDaemon.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

namespace {

constexpr int exitWrongUsage = 2;
constexpr int exitFailed = 1;

int fail(const Knapweedquay::Error& error, int exitCode)
{
    std::cerr << "knapweedquay-node: " << static_cast<int>(error.code) << " " << error.detail << '\n';
    return exitCode;
}

} // namespace

int main(int argc, char** argv)
{
    namespace Options = boost::program_options;
    Options::options_description description("knapweedquay-node");
    std::string config;
    description.add_options()("help", "print this text")("config", Options::value(&config)->required(), "settings file (TOML)")("check-config", "check the settings and end");
    Options::variables_map values;
    try {
        Options::store(Options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return EXIT_SUCCESS;
        }
        Options::notify(values);
    } catch (const Options::error& error) {
        std::cerr << "knapweedquay-node: " << error.what() << '\n'
                  << description;
        return exitWrongUsage;
    }
    const auto settings = Knapweedquay::loadNodeSettings(config);
    if (settings.has_error())
        return fail(settings.error(), exitWrongUsage);
    if (values.count("check-config") > 0)
        return EXIT_SUCCESS;
    Knapweedquay::NodeDaemon daemon(settings.value());
    const auto ended = daemon.run();
    return ended.has_error() ? fail(ended.error(), exitFailed) : EXIT_SUCCESS;
}
