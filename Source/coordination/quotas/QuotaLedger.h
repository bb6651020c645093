#pragma once

#include "coordination/quotas/QuotaPlan.h"
#include "protocol/QuotaMessages.h"
#include "state/Workspace.h"

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Knapweedquay {

/// Grants credit of one slice of each quota to all nodes: the part of the slice's holder.
///
/// Answers a workspace that asks for more than its quota, at nodes that all see only a part of its requests. Its state is not
/// stored: it begins after the credit of its predecessor has expired, with empty buckets. docs/design/QUOTAS.md shows why the bound
/// holds. It has no clock of its own; the caller checks that it holds the slice at the moment of each request.
class QuotaLedger {
public:
    /// What was asked for and granted, and which limits stood against the rest, in credits.
    struct Counts {
        std::uint64_t requests = 0;
        std::uint64_t wanted = 0;
        std::uint64_t granted = 0;
        /// The bucket of the workspace had too little.
        std::uint64_t deniedByBucket = 0;
        /// Too much credit was outstanding.
        std::uint64_t deniedByAllowance = 0;
        /// Other nodes were entitled to it.
        std::uint64_t deniedByShare = 0;

        Counts& operator+=(const Counts&);
    };

    QuotaLedger(QuotaBound, QuotaSlice, std::uint64_t tenure, TimePoint now);

    /// Replaces the quotas.
    void setQuotas(const std::vector<Workspace>&, TimePoint now);
    /// Takes the reports of a node and grants credit.
    QuotaGrantMessage answer(const QuotaRequestMessage&, TimePoint now);

    /// Returns what was counted since the last call.
    Counts takeCounts();
    /// Credit of a workspace that nodes may still use.
    std::uint64_t outstanding(const WorkspaceName&, TimePoint now);

private:
    using NodeNumber = std::uint32_t;
    /// A grant is known by its node and the clock of its request.
    using GrantKey = std::pair<NodeNumber, std::uint64_t>;

    struct Demand {
        /// Calls in the interval that is under way, and in the one before it.
        double current = 0;
        double previous = 0;
        /// Credit that this node may take while there is too little for all.
        double share = 1;
    };

    struct Account {
        QuotaPlan plan;
        double level = 0;
        TimePoint filledAt;
        /// True from the start of this holder until the bucket was full.
        bool isFirstFill = false;
        /// False while the configuration does not have the workspace, or has no limit for it.
        bool isLimited = true;
        /// When it ceased to be limited.
        TimePoint endedAt;
        std::map<GrantKey, std::uint64_t> grants;
        /// Keys of all grants, oldest first, with the time at which their credit expires.
        std::deque<std::pair<TimePoint, GrantKey>> expiries;
        std::uint64_t outstanding = 0;
        double refundsLeft = 0;
        TimePoint refundsFrom;
        /// Demand by node, where there is any.
        std::unordered_map<NodeNumber, Demand> demands;
        TimePoint intervalStart;
        /// Calls of the interval before that the quota did not cover.
        double excess = 0;
        /// Calls of a node in such an interval up to which it asked for no more than its part.
        double fairDemand = 0;
    };

    NodeNumber numberOf(const QuotaRequestMessage&);
    void advance(Account&, TimePoint now) const;
    /// Divides what an interval brings among the nodes, each at most what it needed in the interval before.
    static void divide(Account&, double intervals);
    void takeReports(Account&, NodeNumber, const QuotaNeed&) const;
    QuotaGrantMessage::Grant grant(Account&, const GrantKey&, const QuotaNeed&, TimePoint now);

    QuotaBound m_bound;
    Duration m_lifetime;
    QuotaSlice m_slice;
    std::uint64_t m_tenure;
    TimePoint m_heldSince;
    /// False until the quotas were set for the first time.
    bool m_hasQuotas = false;
    std::unordered_map<std::string, Account> m_accounts;
    std::map<std::pair<NodeId, Incarnation>, NodeNumber> m_nodes;
    Counts m_counts;
};

} // namespace Knapweedquay
