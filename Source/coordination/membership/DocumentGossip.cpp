#include "coordination/membership/DocumentGossip.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>

namespace Knapweedquay {

namespace {

// A repeated hint of the same version is reported again only after this time.
constexpr Duration hintRepeatInterval = std::chrono::seconds(1);
// Bounds the memory for service names that peers send, which may be invalid.
constexpr std::size_t maximumHints = 1024;

std::uint32_t hashOf(const ServiceName& service, DocumentVersion version)
{
    const auto seed = XXH32(service.value().data(), service.value().size(), 0);
    const std::uint64_t number = version.value();
    return XXH32(&number, sizeof number, seed);
}

} // namespace

void DocumentGossip::update(const std::vector<DocumentHint>& inForce)
{
    std::map<ServiceName, DocumentVersion> versions;
    m_hash = 0;
    for (const DocumentHint& hint : inForce) {
        const auto previous = m_inForce.find(hint.service);
        if (previous == m_inForce.end() || previous->second < hint.version)
            m_rumors.add(hint.service);
        versions[hint.service] = hint.version;
        m_hash ^= hashOf(hint.service, hint.version);
    }
    m_inForce = std::move(versions);
}

bool DocumentGossip::isNewHint(const DocumentHint& hint, TimePoint now)
{
    const auto own = m_inForce.find(hint.service);
    if (own != m_inForce.end() && own->second >= hint.version)
        return false;
    const auto last = m_lastHints.find(hint.service);
    if (last != m_lastHints.end() && last->second.version >= hint.version && now - last->second.receivedAt < hintRepeatInterval)
        return false;
    if (last == m_lastHints.end() && m_lastHints.size() >= maximumHints)
        m_lastHints.clear();
    m_lastHints[hint.service] = { hint.version, now };
    return true;
}

bool DocumentGossip::isPeerBehind(const std::vector<DocumentHint>& peerVersions) const
{
    return std::any_of(m_inForce.begin(), m_inForce.end(), [&peerVersions](const auto& own) {
        const auto found = std::find_if(peerVersions.begin(), peerVersions.end(), [&own](const DocumentHint& hint) { return hint.service == own.first; });
        return found == peerVersions.end() || found->version < own.second;
    });
}

std::vector<DocumentHint> DocumentGossip::inForce() const
{
    std::vector<DocumentHint> hints;
    hints.reserve(m_inForce.size());
    for (const auto& [service, version] : m_inForce)
        hints.push_back({ service, version });
    return hints;
}

DocumentHint DocumentGossip::hint(const ServiceName& service) const
{
    const auto found = m_inForce.find(service);
    return { service, found == m_inForce.end() ? DocumentVersion() : found->second };
}

} // namespace Knapweedquay
