#pragma once

#include "node/DocumentSender.h"
#include "protocol/ControlMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Knapweedquay {

/// Restores the documents that a node receives, and keeps the versions and texts that it has in force.
///
/// An update from a replica arrives in parts and is based on the version in force. If it does not fit, because another
/// node has sent a newer version meanwhile, the document has to be requested whole.
class DocumentReceiver {
public:
    /// Receives a version newer than the one in force; returns true if it was applied.
    using ApplyHook = std::function<bool(const DocumentMessage&, const DocumentSender&)>;

    /// What is to be done after a part of an update.
    enum class Reply {
        /// Report the versions in force.
        Report,
        /// Subscribe again with versionsToSubscribe(), so that the replica sends the document whole.
        RequestWhole,
        /// Disconnect from the replica, which sends what nobody can read.
        Disconnect,
    };

    explicit DocumentReceiver(ApplyHook);

    /// Forgets what an earlier connection left unfinished.
    void startConnection();
    /// Applies a document if it is newer than the one in force. Returns whether it was applied.
    bool offer(const DocumentMessage&, const DocumentSender&);
    /// Adds the part to the update that is arriving, and applies the update if it is complete.
    Reply receive(const DocumentUpdateMessage&, const std::string& replica);

    /// True if a document was requested whole on this connection and has not come into force.
    bool isMissingDocument() const;
    /// Versions of the documents in force.
    const DocumentVersions& inForce() const { return m_inForce; }
    DocumentVersion inForce(const ServiceName&) const;
    /// Versions in force without those documents that have to be sent whole.
    DocumentVersions versionsToSubscribe() const;
    const DocumentBytes& documentBytes() const { return m_documentBytes; }

private:
    /// An update whose parts arrive one after the other.
    struct ArrivingUpdate {
        ServiceName service;
        DocumentVersion version;
        /// Version that the update is based on; 0 when it needs none.
        DocumentVersion base;
        std::uint64_t totalBytes = 0;
        /// The parts received so far.
        std::string compressedText;
    };

    /// Returns false if the part does not continue the update that is arriving.
    bool addPart(const DocumentUpdateMessage&);
    Reply apply(const std::string& replica);
    Reply requestWhole(const std::string& reason);

    ApplyHook m_applyHook;
    DocumentVersions m_inForce;
    /// Texts of the documents in force, on which updates are based.
    std::map<ServiceName, std::string> m_texts;
    ArrivingUpdate m_arriving;
    /// Versions whose updates did not fit, for which whole documents were requested on this connection.
    DocumentVersions m_requestedWhole;
    DocumentBytes m_documentBytes;
};

} // namespace Knapweedquay
