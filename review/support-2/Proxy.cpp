#include "Proxy.h"

namespace Knapweedquay::Review {

namespace {

constexpr Milliseconds connectTimeout { 1000 };
constexpr Milliseconds checkInterval { 10 };

} // namespace

Proxy::Proxy(const Address& listens, const Address& target)
    : m_target(target)
    , m_server(std::make_unique<Server>(listens, [this](Stream& caller) { handle(caller); }))
{
}

Proxy::~Proxy()
{
    m_isStopping = true;
    m_server.reset();
}

void Proxy::fallSilent()
{
    m_isSilent = true;
}

void Proxy::serve(const Address& target)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_target = target;
    ++m_generation;
    m_isSilent = false;
}

void Proxy::handle(Stream& caller)
{
    const int generation = m_generation;
    const auto isCurrent = [&] { return !m_isStopping && m_generation == generation; };
    while (m_isSilent && isCurrent())
        std::this_thread::sleep_for(checkInterval);
    if (!isCurrent())
        return;
    Address target;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        target = m_target;
    }
    const auto endpoint = Stream::connect(target, connectTimeout);
    while (endpoint && isCurrent()) {
        if (m_isSilent) {
            std::this_thread::sleep_for(checkInterval);
            continue;
        }
        std::string bytes;
        if (!caller.readAvailable(bytes, checkInterval / 5) || (!bytes.empty() && !endpoint->write(bytes)))
            return;
        bytes.clear();
        if (!endpoint->readAvailable(bytes, checkInterval / 5))
            return;
        if (!bytes.empty() && !m_isSilent && !caller.write(bytes))
            return;
    }
}

} // namespace Knapweedquay::Review
