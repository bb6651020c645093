#pragma once

#include "protocol/Time.h"
#include "state/Workspace.h"

namespace Knapweedquay {

/// How the runs that the bound of a quota allows in a window are divided, so that their sum never passes it.
///
/// Runs in a window are at most the credit outstanding at its begin and the grants within it. Grants are bounded by a bucket;
/// the rest of the bound is for outstanding credit and for credit given back late. All values are those of one slice.
struct QuotaPlan {
    /// Filling of the bucket, in credits per second.
    double rate = 0;
    /// Capacity of the bucket.
    double capacity = 0;
    /// Additional filling of a new holder's bucket until it is full for the first time, in credits per second. A quota of few
    /// requests a minute would else be empty for long after each change of the holder.
    double firstFillRate = 0;
    /// Credit that may be outstanding at once.
    double allowance = 0;
    /// Credit of calls that did not run which is taken back in one window, after its use was reported.
    double refunds = 0;
};

/// Plan of one slice of a quota.
QuotaPlan planOf(const WorkspaceQuota&, const QuotaBound&);

/// Time for which a node may use credit, counted from its request for it.
Duration creditLifetime(const QuotaBound&);

/// Time for which a node that is named as the holder of a slice may grant credit after the moment at which its documents were
/// proved to be the newest.
constexpr Duration holderLease { 4000000 };

/// Time for which a slice without a holder stays empty, so that its former holder has stopped and all its credit has expired.
Duration sliceVacancy(const QuotaBound&);

} // namespace Knapweedquay
