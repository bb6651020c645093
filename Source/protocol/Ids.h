#pragma once

#include "protocol/StrongType.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace Knapweedquay {

/// Name of a service, as given in its service document.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/// Name of a data centre, as given in the settings of its processes.
using DataCentre = StrongType<struct DataCentreTag, std::string>;
/// Name of a node process; unique in the deployment and kept across restarts.
using NodeId = StrongType<struct NodeIdTag, std::string>;
/// Number of one run of a node process. A later run has a greater value.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Identity of one replica of the control store. A replica that lost its disk gets a new identity.
using ReplicaId = StrongType<struct ReplicaIdTag, std::uint64_t>;
/// Version of a service document; the first accepted document has version 1.
using DocumentVersion = StrongType<struct DocumentVersionTag, std::uint64_t>;
/// Identity of one edit, chosen by the operator's tool. A resent edit keeps its identity.
using ChangeId = StrongType<struct ChangeIdTag, std::string>;
/// Value of a caller's Idempotency-Key header.
using IdempotencyKey = StrongType<struct IdempotencyKeyTag, std::string>;
/// Index of a priority in its service document; 0 is the most urgent.
using PriorityIndex = StrongType<struct PriorityIndexTag, std::uint32_t>;

/// Number of a slice of the quotas of one group of workspaces; below quotaSlices.
using QuotaSlice = StrongType<struct QuotaSliceTag, std::uint32_t>;
/// Number of a body that passes through a link in parts.
using TransferId = StrongType<struct TransferIdTag, std::uint64_t>;
/// Name of a workspace; empty where a request belongs to none.
using WorkspaceName = StrongType<struct WorkspaceNameTag, std::string>;

/// Identity of one attempt of a call, unique across all nodes and their restarts.
struct AttemptId {
    /// Node that made the attempt.
    NodeId node;
    /// Run of that node.
    Incarnation incarnation;
    /// Number of the attempt within this run of the node.
    std::uint64_t sequence = 0;

    friend bool operator==(const AttemptId& a, const AttemptId& b)
    {
        return a.sequence == b.sequence && a.incarnation == b.incarnation && a.node == b.node;
    }
    friend bool operator!=(const AttemptId& a, const AttemptId& b) { return !(a == b); }
    friend bool operator<(const AttemptId& a, const AttemptId& b)
    {
        return std::tie(a.node, a.incarnation, a.sequence) < std::tie(b.node, b.incarnation, b.sequence);
    }
};

} // namespace Knapweedquay

template <>
struct std::hash<Knapweedquay::AttemptId> {
    std::size_t operator()(const Knapweedquay::AttemptId& id) const
    {
        constexpr std::size_t mixing = 0x9e3779b97f4a7c15ULL;
        const std::size_t seed = std::hash<std::string>()(id.node.value()) ^ (id.incarnation.value() * mixing);
        return seed ^ (id.sequence + mixing + (seed << 6) + (seed >> 2));
    }
};
