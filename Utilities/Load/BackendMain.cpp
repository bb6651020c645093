#include "Load/StandInBackend.h"

#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace {

namespace po = boost::program_options;

po::options_description describeOptions(Knapweedquay::Load::BackendOptions& options)
{
    po::options_description description("knapweedquay-backend: a stand-in backend server");
    description.add_options()("help", "print this text");
    description.add_options()("port", po::value(&options.port), "port for requests; 0 takes a free one");
    description.add_options()("control-port", po::value(&options.controlPort), "port for /modes, /executed, /stats and /arrivals");
    description.add_options()("node", po::value(&options.node), "admin address of the node to announce to, IP:port");
    description.add_options()("service", po::value(&options.service), "service to announce");
    description.add_options()("announce", po::value(&options.announcedAddress), "address to announce; default: its own");
    description.add_options()("slots", po::value(&options.slots), "requests that run at the same time");
    description.add_options()("queue", po::value(&options.maximumQueue), "maximum number of requests that wait for a slot");
    description.add_options()("seed", po::value(&options.seed), "seed of the service times");
    description.add_options()("service-time", po::value(&options.serviceTimes), "prefix=distribution:mean in ms; exponential, lognormal or constant; repeatable");
    description.add_options()("instance", po::value(&options.instance), "name of the instance to announce; the start time is added to it");
    description.add_options()("crash-path", po::value(&options.crashPath), "path of requests that end this process while they run");
    description.add_options()("crash-caller", po::value(&options.crashCaller), "only with this caller service");
    description.add_options()("crash-body", po::value(&options.crashBody), "only with this body");
    description.add_options()("crash-delay", po::value(&options.crashDelayMs), "time from the start of such a request to the end, in ms");
    description.add_options()("record", po::value(&options.recordFile), "file to which the id of every started request is appended");
    return description;
}

void run(const Knapweedquay::Load::BackendOptions& options)
{
    asio::io_context context;
    Knapweedquay::Load::StandInBackend backend(context, options);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const asio::error_code&, int) {
        backend.leave([&] { context.stop(); });
    });
    std::cout << "backend port " << backend.port() << " control port " << backend.controlPort() << std::endl;
    context.run();
}

} // namespace

int main(int argumentCount, char** arguments)
{
    Knapweedquay::Load::BackendOptions options;
    const po::options_description description = describeOptions(options);
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argumentCount, arguments, description), values);
        po::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        run(options);
    } catch (const std::exception& error) {
        std::cerr << "knapweedquay-backend: " << error.what() << "\n";
        return 2;
    }
    return 0;
}
