#pragma once

#include "protocol/Ids.h"
#include "protocol/KeyDigest.h"
#include "state/RoutingDocument.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Knapweedquay {

/// The keys of all workspaces of one routing document.
///
/// A lookup takes constant time, so that thousands of keys cost a call no more than one.
class KeyTable {
public:
    /// The workspace that holds a key.
    struct Holder {
        WorkspaceName workspace;
        /// Priority of the workspace's calls; not set where the route decides.
        std::optional<PriorityIndex> priority;
    };

    /// The document must have passed checkRouting().
    explicit KeyTable(const RoutingDocument&);

    /// True if the deployment has workspaces, so that calls need keys.
    bool isNeeded() const { return m_isNeeded; }
    /// Version of the routing document.
    std::uint64_t version() const { return m_version; }
    /// Null if no workspace holds the key.
    const Holder* find(const KeyDigest&) const;

private:
    bool m_isNeeded;
    std::uint64_t m_version;
    std::unordered_map<KeyDigest, Holder> m_holders;
};

} // namespace Knapweedquay
