#pragma once

#include "protocol/Time.h"
#include "state/Workspace.h"

namespace Knapweedquay {

/// How the runs that the bound of a quota allows in a window are divided, so that their sum never passes it.
///
/// Runs in a window are at most the credit outstanding at its begin and the grants within it. Grants are bounded by a bucket;
/// the rest of the bound is for outstanding credit, also of former owners, and for credit given back late.
struct QuotaPlan {
    /// Filling of the bucket, in credits per second.
    double rate = 0;
    /// Capacity of the bucket.
    double capacity = 0;
    /// Additional filling of a new owner's bucket until it is full for the first time, in credits per second. A quota of few
    /// requests a minute would else be empty for long after each change of the owner.
    double firstFillRate = 0;
    /// Credit that may be outstanding at once.
    double allowance = 0;
    /// The same for an owner within one lifetime of credit after its start, when credit of former owners may be in use.
    double youngAllowance = 0;
    /// Credit of calls that did not run which is taken back in one window, after its use was reported.
    double refunds = 0;
};

QuotaPlan planOf(const WorkspaceQuota&, const QuotaBound&);

/// Time for which a node may use credit, counted from its request for it.
Duration creditLifetime(const QuotaBound&);

} // namespace Knapweedquay
