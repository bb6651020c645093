#pragma once

#include "protocol/Result.h"
#include "state/ClaimTable.h"
#include "state/DocumentRegister.h"

#include <string>
#include <string_view>
#include <variant>

namespace Knapweedquay {

/// A command of the replicated log.
using ControlCommand = std::variant<DocumentEdit, ClaimRequest, ClaimUpdate, ClaimQuery>;

/// Result of a command. All commands for claims give a ClaimResult.
using ControlResult = std::variant<EditResult, ClaimResult>;

/// Encodes a command as CBOR for a log entry.
std::string encodeCommand(const ControlCommand&);

/// Decodes a command from CBOR. Errors: MalformedMessage, MessageTooLarge.
Result<ControlCommand> decodeCommand(std::string_view);

/// Replicated state machine of the control store: documents and idempotency claims.
class ControlState {
public:
    /// Applies an encoded command. Errors as for decodeCommand(); a command with an error leaves the state of every
    /// replica unchanged.
    Result<ControlResult> apply(std::string_view command);

    const DocumentRegister& documents() const { return m_documents; }
    const ClaimTable& claims() const { return m_claims; }

    /// Encodes the complete state as CBOR for a snapshot.
    std::string save() const;
    /// Decodes a state from a snapshot; no bytes give an empty state. Errors: MalformedMessage, MessageTooLarge.
    static Result<ControlState> load(std::string_view);

private:
    DocumentRegister m_documents;
    ClaimTable m_claims;
};

} // namespace Knapweedquay
