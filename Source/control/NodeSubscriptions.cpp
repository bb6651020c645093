#include "control/NodeSubscriptions.h"

#include "protocol/DocumentCompression.h"
#include "protocol/LinkChannel.h"
#include "state/EvacuationDocument.h"

#include <utility>

namespace Knapweedquay {

NodeSubscriptions::NodeSubscriptions(const ControlService& service)
    : m_service(service)
{
}

NodeSubscriptions::SubscriberId NodeSubscriptions::add(const LinkPtr& link)
{
    m_subscribers[++m_lastId].link = link;
    return m_lastId;
}

void NodeSubscriptions::remove(SubscriberId id)
{
    m_subscribers.erase(id);
}

void NodeSubscriptions::acceptUpdates(SubscriberId id)
{
    const auto entry = m_subscribers.find(id);
    if (entry != m_subscribers.end())
        entry->second.acceptsUpdates = true;
}

void NodeSubscriptions::subscribe(SubscriberId id, const SubscribeMessage& message)
{
    const auto entry = m_subscribers.find(id);
    if (entry == m_subscribers.end())
        return;
    Subscriber& subscriber = entry->second;
    subscriber.node = message.node;
    subscriber.incarnation = message.incarnation;
    subscriber.isSubscribed = true;
    subscriber.inForce = message.inForce;
    subscriber.sent = message.inForce;
    subscriber.transfer.reset();
    const LinkPtr link = subscriber.link;
    if (!sendNext(subscriber))
        link->abort();
}

void NodeSubscriptions::reportInForce(SubscriberId id, const InForceMessage& message, TimePoint now)
{
    const auto entry = m_subscribers.find(id);
    if (entry == m_subscribers.end())
        return;
    Subscriber& subscriber = entry->second;
    subscriber.inForce = message.inForce;
    if (subscriber.transfer && subscriber.transfer->isSent())
        subscriber.transfer.reset();
    const LinkPtr link = subscriber.link;
    if (subscriber.isSubscribed && !(subscriber.transfer ? sendPart(subscriber) : sendNext(subscriber)))
        return link->abort();
    if (const auto request = std::exchange(subscriber.waitingRequest, std::nullopt))
        answerFreshness(id, *request, now);
}

void NodeSubscriptions::send(SubscriberId id, const ControlMessage& message)
{
    const auto entry = m_subscribers.find(id);
    if (entry != m_subscribers.end())
        entry->second.link->send(LinkChannel::wrap(LinkChannel::node, encode(message)));
}

ReplicaListMessage NodeSubscriptions::replicas() const
{
    ReplicaListMessage list;
    if (!m_service.log())
        return list;
    for (const Member& member : m_service.log()->members())
        list.addresses.push_back(member.address);
    return list;
}

void NodeSubscriptions::spreadReplicas()
{
    ReplicaListMessage list = replicas();
    if (list.addresses == m_spreadReplicas)
        return;
    m_spreadReplicas = list.addresses;
    // A full link closes, and so removes its subscriber.
    std::vector<SubscriberId> subscribed;
    for (const auto& [id, subscriber] : m_subscribers) {
        if (subscriber.isSubscribed)
            subscribed.push_back(id);
    }
    for (const SubscriberId id : subscribed)
        send(id, list);
}

void NodeSubscriptions::documentsChanged()
{
    std::vector<LinkPtr> stalledLinks;
    for (auto& entry : m_subscribers) {
        if (entry.second.isSubscribed && !entry.second.transfer && !sendNext(entry.second))
            stalledLinks.push_back(entry.second.link);
    }
    for (const LinkPtr& link : stalledLinks)
        link->abort();
}

void NodeSubscriptions::answerFreshness(SubscriberId id, const FreshnessRequestMessage& request, TimePoint now)
{
    const auto entry = m_subscribers.find(id);
    if (entry == m_subscribers.end())
        return;
    const Subscriber& subscriber = entry->second;
    const bool isComplete = !unsentDocument(subscriber) && (!subscriber.transfer || subscriber.transfer->isSent());
    if (subscriber.isSubscribed && !isComplete) {
        entry->second.waitingRequest = request;
        return;
    }
    const auto freshness = m_service.freshness(now);
    if (freshness)
        return send(id, FreshnessMessage { request.clock, freshness->term.value(), freshness->round.value(), freshness->age });
    entry->second.waitingRequest = request;
    m_lacksProof = true;
}

void NodeSubscriptions::answerWaiting(TimePoint now)
{
    if (!m_lacksProof || !m_service.freshness(now))
        return;
    m_lacksProof = false;
    // An answer may close its link, and so remove the subscriber.
    std::vector<SubscriberId> waiting;
    for (const auto& [id, subscriber] : m_subscribers) {
        if (subscriber.waitingRequest)
            waiting.push_back(id);
    }
    for (const SubscriberId id : waiting) {
        const auto entry = m_subscribers.find(id);
        if (entry == m_subscribers.end())
            continue;
        if (const auto request = std::exchange(entry->second.waitingRequest, std::nullopt))
            answerFreshness(id, *request, now);
    }
}

const StoredDocument* NodeSubscriptions::unsentDocument(const Subscriber& subscriber) const
{
    const auto isUnsent = [&subscriber](const StoredDocument& document) {
        const auto sent = subscriber.sent.find(document.service);
        return sent == subscriber.sent.end() || sent->second < document.version;
    };
    const DocumentRegister& documents = m_service.state().documents();
    // First, so that a node which has just started runs nothing in an emptied data centre once it knows the services.
    if (const StoredDocument* evacuations = documents.find(evacuationDocumentName()); evacuations && isUnsent(*evacuations))
        return evacuations;
    for (const StoredDocument* document : documents.documents()) {
        if (isUnsent(*document))
            return document;
    }
    return nullptr;
}

bool NodeSubscriptions::sendWhole(Subscriber& subscriber)
{
    bool isAccepted = true;
    for (const StoredDocument* document = unsentDocument(subscriber); document && isAccepted; document = unsentDocument(subscriber)) {
        subscriber.sent[document->service] = document->version;
        const DocumentMessage message { document->service, document->version, document->text };
        isAccepted = subscriber.link->send(LinkChannel::wrap(LinkChannel::node, encode(ControlMessage(message))));
    }
    return isAccepted;
}

bool NodeSubscriptions::sendNext(Subscriber& subscriber)
{
    if (!subscriber.acceptsUpdates)
        return sendWhole(subscriber);
    const StoredDocument* document = unsentDocument(subscriber);
    if (!document)
        return true;
    subscriber.sent[document->service] = document->version;
    subscriber.transfer = transferOf(*document, subscriber.inForce[document->service]);
    return sendPart(subscriber);
}

bool NodeSubscriptions::sendPart(Subscriber& subscriber)
{
    Transfer& transfer = *subscriber.transfer;
    const std::string& bytes = *transfer.compressedText;
    DocumentUpdateMessage message { transfer.service, transfer.version, transfer.base, bytes.size(), transfer.sentBytes, bytes.substr(transfer.sentBytes, maximumDocumentPartBytes) };
    transfer.sentBytes += message.part.size();
    return subscriber.link->send(LinkChannel::wrap(LinkChannel::node, encode(std::move(message))));
}

NodeSubscriptions::Transfer NodeSubscriptions::transferOf(const StoredDocument& document, DocumentVersion inForce)
{
    CompressedTexts& texts = m_compressedTexts[document.service];
    if (texts.version != document.version)
        texts = { document.version, {} };
    const std::string* baseText = m_service.state().documents().textOf(document.service, inForce);
    const DocumentVersion base = baseText ? inForce : DocumentVersion();
    std::shared_ptr<const std::string>& compressed = texts.byBase[base];
    if (!compressed)
        compressed = std::make_shared<const std::string>(compressDocument(document.text, baseText ? *baseText : std::string()));
    return { document.service, document.version, base, compressed };
}

} // namespace Knapweedquay
