#pragma once

#include "coordination/workspaces/KeyTable.h"
#include "protocol/CallerProof.h"
#include "protocol/HttpMessage.h"
#include "protocol/Ids.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <optional>
#include <string_view>

namespace Knapweedquay {

/// What decides which workspace a call belongs to.
struct CallerRequest {
    /// All headers of the request as it was received.
    const HttpHeaders& headers;
    /// The call's route takes calls without a key.
    bool allowsAnonymous = false;
    /// The local backend server makes the call for a request that it is running.
    bool isOwnBackendCall = false;
    /// Time since the routing document was proved to be the newest.
    Duration proofAge { 0 };
};

/// The caller of an accepted call.
struct AuthenticatedCaller {
    CallerProof proof;
    /// Priority of the workspace's calls; not set where the route decides.
    std::optional<PriorityIndex> priority;
};

/// Decides at the node that accepts a call which workspace it belongs to.
///
/// Answers callers with unknown and withdrawn keys, and those that repeat at once after a refusal: callers give up after 401,
/// so a key is only called unknown while the configuration is proved recent. Errors: UnknownKey; KeyUnproved where a newer
/// configuration may know the key.
Result<AuthenticatedCaller> authenticate(const KeyTable&, const CallerRequest&);

/// True for headers that only a node may set where there are workspaces: those with a caller's key, and the workspace's name.
/// Backend servers may take a name with blanks around it, or with other separators, for the same one.
bool isCallerHeader(std::string_view name, std::string_view workspaceHeader);
void removeCallerHeaders(HttpHeaders&, std::string_view workspaceHeader);

/// The idempotency key under which a call is claimed: workspaces may use equal keys for different requests.
IdempotencyKey claimKey(const WorkspaceName&, const IdempotencyKey&);

} // namespace Knapweedquay
