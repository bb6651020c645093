#include "Load/Forwarder.h"
#include "Load/HttpClient.h"
#include "Load/HttpServer.h"

#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace {

namespace po = boost::program_options;

using Knapweedquay::Load::Forwarder;
using Knapweedquay::Load::HttpMessage;

/// Values of the command-line options.
struct Arguments {
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    std::string target;
};

HttpMessage runCommand(Forwarder& forwarder, const std::string& command)
{
    if (command == "/silence")
        forwarder.silenceOpenConnections();
    else if (command == "/cut")
        forwarder.setCut(true);
    else if (command == "/heal")
        forwarder.setCut(false);
    else if (command != "/open")
        return Knapweedquay::Load::textAnswer(404, "unknown command; use /silence, /cut, /heal or /open\n");
    return Knapweedquay::Load::textAnswer(200, std::to_string(forwarder.openConnectionCount()) + "\n");
}

void run(const Arguments& arguments)
{
    asio::io_context context;
    Forwarder forwarder(context, arguments.port, Knapweedquay::Load::parseEndpoint(arguments.target));
    Knapweedquay::Load::HttpServer control(context, arguments.controlPort, [&](const HttpMessage& request, const auto& connection) {
        connection->send(serializeAnswer(runCommand(forwarder, request.path())));
    });
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const asio::error_code&, int) { context.stop(); });
    std::cout << "forwarder port " << forwarder.port() << " control port " << control.port() << std::endl;
    context.run();
}

} // namespace

int main(int argumentCount, char** argumentValues)
{
    Arguments arguments;
    po::options_description description("knapweedquay-forwarder: forwards TCP connections, and drops their bytes on command");
    description.add_options()("help", "print this text");
    description.add_options()("port", po::value(&arguments.port), "port to listen on; 0 takes a free one");
    description.add_options()("control-port", po::value(&arguments.controlPort), "port for POST /silence, /cut, /heal and /open");
    description.add_options()("target", po::value(&arguments.target)->required(), "address to connect to, IP:port");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argumentCount, argumentValues, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        run(arguments);
    } catch (const std::exception& error) {
        std::cerr << "knapweedquay-forwarder: " << error.what() << "\n";
        return 2;
    }
    return 0;
}
