#include "coordination/membership/ReplicaDirectory.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

ReplicaDirectory::ReplicaDirectory(std::vector<std::string> ofSettings)
    : m_ofSettings(std::move(ofSettings))
{
    merge();
}

void ReplicaDirectory::setOfSettings(std::vector<std::string> addresses)
{
    m_ofSettings = std::move(addresses);
    merge();
}

void ReplicaDirectory::setNamed(const std::vector<std::string>& addresses)
{
    if (addresses.empty())
        return;
    m_named = addresses;
    merge();
}

void ReplicaDirectory::merge()
{
    m_all = m_ofSettings;
    for (const std::string& address : m_named) {
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
