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
    m_all = m_configured;
    for (const std::string& address : m_discovered) {
        if (std::find(m_all.begin(), m_all.end(), address) == m_all.end())
            m_all.push_back(address);
    }
}

const std::string& ReplicaDirectory::next()
{
    m_next %= m_all.size();
    return m_all[m_next++];
}

} // namespace Knapweedquay
