#pragma once

#include "protocol/Result.h"
#include "state/ClaimTable.h"
#include "state/DocumentRegister.h"

#include <string>
#include <string_view>
#include <variant>

namespace Knapweedquay {

/// A command of the replicated log.
using ControlCommand = std::variant<DocumentEdit, ClaimRequest, ClaimUpdate>;

/// What a command came to, in the same order as the commands.
using ControlResult = std::variant<EditResult, ClaimResult>;

std::string encodeCommand(const ControlCommand&);

/// Errors: MalformedMessage, MessageTooLarge.
Result<ControlCommand> decodeCommand(std::string_view);

/// The state that the replicas keep equal: documents and idempotency claims.
class ControlState {
public:
    /// Errors as decodeCommand; the state is unchanged then, alike at every replica.
    Result<ControlResult> apply(std::string_view command);

    const DocumentRegister& documents() const { return m_documents; }
    const ClaimTable& claims() const { return m_claims; }

    /// The whole state in CBOR, for a snapshot.
    std::string save() const;
    static Result<ControlState> load(std::string_view);

private:
    DocumentRegister m_documents;
    ClaimTable m_claims;
};

} // namespace Knapweedquay
