#include "coordination/membership/ReplicaDirectory.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

ReplicaDirectory::ReplicaDirectory(std::vector<std::string> configured)
    : m_configured(std::move(configured))
{
    merge();
}

void ReplicaDirectory::setConfigured(std::vector<std::string> addresses)
{
    m_configured = std::move(addresses);
    merge();
}

void ReplicaDirectory::setDiscovered(const std::vector<std::string>& addresses)
{
    if (addresses.empty())
        return;
    m_discovered = addresses;
    merge();
}

void ReplicaDirectory::merge()
{
    m_addresses = m_configured;
    for (const std::string& address : m_discovered) {
        if (std::find(m_addresses.begin(), m_addresses.end(), address) == m_addresses.end())
            m_addresses.push_back(address);
    }
}

const std::string& ReplicaDirectory::next()
{
    m_nextIndex %= m_addresses.size();
    return m_addresses[m_nextIndex++];
}

} // namespace Knapweedquay
