#pragma once

#include <string>
#include <vector>

namespace Knapweedquay {

/// Addresses of the control replicas that a node connects to in turn.
///
/// Configured addresses are always kept, since the discovered ones may all be out of date. Discovered addresses are
/// kept until a replica sends a different list. A replica that does not belong to a store yet sends an empty list,
/// which is ignored.
class ReplicaDirectory {
public:
    explicit ReplicaDirectory(std::vector<std::string> configured);

    /// Replaces the addresses from the settings.
    void setConfigured(std::vector<std::string>);
    /// Replaces the addresses reported by a control replica; an empty list is ignored.
    void setDiscovered(const std::vector<std::string>&);

    bool isEmpty() const { return m_addresses.empty(); }
    /// Sets the position of the next address. Each process starts at a different one, so that nodes spread over the
    /// replicas.
    void startAt(std::size_t index) { m_nextIndex = index; }
    /// Returns the next address in turn. The directory must not be empty.
    const std::string& next();
    /// The configured addresses, followed by the discovered ones that are not configured.
    const std::vector<std::string>& all() const { return m_addresses; }

private:
    void merge();

    std::vector<std::string> m_configured;
    std::vector<std::string> m_discovered;
    std::vector<std::string> m_addresses;
    std::size_t m_nextIndex = 0;
};

} // namespace Knapweedquay
