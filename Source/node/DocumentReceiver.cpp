#include "node/DocumentReceiver.h"

#include "protocol/DocumentCompression.h"
#include "state/DocumentRegister.h"
#include "transport/Logger.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

DocumentReceiver::DocumentReceiver(ApplyHook applyHook)
    : m_applyHook(std::move(applyHook))
{
}

void DocumentReceiver::startConnection()
{
    m_arriving = {};
    m_requestedWhole.clear();
}

DocumentVersion DocumentReceiver::inForce(const ServiceName& service) const
{
    const auto found = m_inForce.find(service);
    return found == m_inForce.end() ? DocumentVersion() : found->second;
}

bool DocumentReceiver::offer(const DocumentMessage& message, const DocumentSender& sender)
{
    if (message.version <= inForce(message.service) || !m_applyHook(message, sender)) {
        (sender.isReplica ? m_documentBytes.discardedFromReplicas : m_documentBytes.discardedFromNodes) += sender.receivedBytes;
        return false;
    }
    (sender.isReplica ? m_documentBytes.appliedFromReplicas : m_documentBytes.appliedFromNodes) += sender.receivedBytes;
    m_inForce[message.service] = message.version;
    m_texts[message.service] = message.text;
    return true;
}

DocumentReceiver::Reply DocumentReceiver::receive(const DocumentUpdateMessage& message, const std::string& replica)
{
    if (!addPart(message))
        return requestWhole("a part is missing");
    return m_arriving.compressedText.size() < m_arriving.totalBytes ? Reply::Report : apply(replica);
}

bool DocumentReceiver::addPart(const DocumentUpdateMessage& message)
{
    if (message.offset == 0)
        m_arriving = { message.service, message.version, message.base, message.totalBytes, {} };
    const bool isSameUpdate = message.service == m_arriving.service && message.version == m_arriving.version && message.base == m_arriving.base;
    const std::size_t receivedBytes = m_arriving.compressedText.size();
    if (!isSameUpdate || message.offset != receivedBytes || m_arriving.totalBytes > maximumControlMessageBytes || message.part.size() > m_arriving.totalBytes - receivedBytes)
        return false;
    m_arriving.compressedText += message.part;
    return true;
}

DocumentReceiver::Reply DocumentReceiver::apply(const std::string& replica)
{
    const ServiceName& service = m_arriving.service;
    const DocumentVersion current = inForce(service);
    const DocumentSender sender { true, replica, m_arriving.compressedText.size() };
    const bool isBased = m_arriving.base != DocumentVersion();
    if (m_arriving.version <= current) {
        m_documentBytes.discardedFromReplicas += sender.receivedBytes;
        return Reply::Report;
    }
    if (isBased && m_arriving.base != current)
        return requestWhole("the update is based on another version");
    auto text = decompressDocument(m_arriving.compressedText, isBased ? m_texts[service] : std::string(), DocumentRegister::maximumDocumentBytes);
    if (text.has_error() && isBased)
        return requestWhole(text.error().detail);
    if (text.has_error()) {
        log(LogEvent::ControlDisconnected, { { "replica", replica }, { "reason", text.error().detail } });
        return Reply::Disconnect;
    }
    offer({ service, m_arriving.version, std::move(text.value()) }, sender);
    return Reply::Report;
}

DocumentReceiver::Reply DocumentReceiver::requestWhole(const std::string& reason)
{
    const ServiceName& service = m_arriving.service;
    log(LogEvent::DocumentRequestedWhole, { { "service", service.value() }, { "version", std::to_string(m_arriving.version.value()) }, { "base", std::to_string(m_arriving.base.value()) }, { "in_force", std::to_string(inForce(service).value()) }, { "reason", reason } });
    m_requestedWhole[service] = std::max(m_requestedWhole[service], m_arriving.version);
    return Reply::RequestWhole;
}

bool DocumentReceiver::isMissingDocument() const
{
    return std::any_of(m_requestedWhole.begin(), m_requestedWhole.end(), [this](const auto& requested) { return inForce(requested.first) < requested.second; });
}

DocumentVersions DocumentReceiver::versionsToSubscribe() const
{
    DocumentVersions versions = m_inForce;
    for (const auto& [service, version] : m_requestedWhole) {
        if (inForce(service) < version)
            versions.erase(service);
    }
    return versions;
}

} // namespace Knapweedquay
