#pragma once

#include <string>
#include <vector>

namespace Knapweedquay {

/// Addresses of the control replicas that a node may turn to, one after the other.
///
/// Those of the settings are always kept, for they may be all that is true; those that the store named are kept until it
/// names others. A replica that belongs to no store yet names none, which says nothing.
class ReplicaDirectory {
public:
    explicit ReplicaDirectory(std::vector<std::string> configured);

    void setConfigured(std::vector<std::string>);
    void setDiscovered(const std::vector<std::string>&);

    bool isEmpty() const { return m_addresses.empty(); }
    /// Begins at another place of the list in each process, so that nodes spread over the replicas.
    void startAt(std::size_t place) { m_nextIndex = place; }
    /// The replica to try next; there must be one.
    const std::string& next();
    const std::vector<std::string>& all() const { return m_addresses; }

private:
    void merge();

    std::vector<std::string> m_configured;
    std::vector<std::string> m_discovered;
    std::vector<std::string> m_addresses;
    std::size_t m_nextIndex = 0;
};

} // namespace Knapweedquay
