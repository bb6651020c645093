#pragma once

#include "protocol/Cbor.h"
#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Knapweedquay {

/// Number of equal slices into which each quota is divided. Each slice has a holder, which grants credit of it.
constexpr std::size_t slicesPerQuota = 3;
/// Workspaces are divided into groups, so that each holder has the requests of a part of them only.
constexpr std::size_t quotaGroups = 8;
/// Slices of all groups; those of a group follow each other.
constexpr std::size_t quotaSlices = slicesPerQuota * quotaGroups;

/// Group of a workspace, the same at all nodes.
std::size_t quotaGroupOf(const WorkspaceName&);
inline std::size_t quotaGroupOf(QuotaSlice slice) { return slice.value() / slicesPerQuota; }

/// What a node reports and asks about the quota of one workspace.
struct QuotaNeed {
    /// Use of the credit of one grant, since the previous report on it.
    struct Report {
        /// Clock of the request that was granted.
        std::uint64_t grant = 0;
        std::uint64_t used = 0;
        /// Credit that was not used and no longer is.
        std::uint64_t returned = 0;
    };

    WorkspaceName workspace;
    /// Credit that the node asks for.
    std::uint64_t wanted = 0;
    /// Calls that needed credit since the previous message.
    std::uint64_t demand = 0;
    /// Credit of calls that did not run, whose use was reported before.
    std::uint64_t refunded = 0;
    std::vector<Report> reports;
};

/// A node's request to the holder of a slice for credit of workspaces with a quota, and its report on earlier grants.
struct QuotaRequestMessage {
    QuotaSlice slice;
    NodeId node;
    Incarnation incarnation;
    /// Clock of the node in microseconds, different for each request; the answer repeats it.
    std::uint64_t clock = 0;
    /// Tenure of the holder whose grants are reported on; 0 before the first grant.
    std::uint64_t tenure = 0;
    std::vector<QuotaNeed> needs;
};

/// Credit that the holder of a slice grants. The node may use it for a fixed time after the clock of its request, so a grant
/// that was delayed, or a node that was suspended, never has credit that the holder has forgotten.
struct QuotaGrantMessage {
    /// Credit for one workspace.
    struct Grant {
        WorkspaceName workspace;
        std::uint64_t credit = 0;
        /// Time until there will be more; 0 when all that was wanted was granted.
        Duration wait { 0 };
    };

    QuotaSlice slice;
    NodeId node;
    Incarnation incarnation;
    std::uint64_t clock = 0;
    /// Tenure of the slice's holder that granted it.
    std::uint64_t tenure = 0;
    std::vector<Grant> grants;
};

void appendFields(nlohmann::json& fields, const QuotaRequestMessage&);
void readFields(FieldReader&, QuotaRequestMessage&);
void appendFields(nlohmann::json& fields, const QuotaGrantMessage&);
void readFields(FieldReader&, QuotaGrantMessage&);

} // namespace Knapweedquay
