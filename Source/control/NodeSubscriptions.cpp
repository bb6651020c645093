#include "control/NodeSubscriptions.h"

#include "protocol/DocumentCompression.h"
#include "protocol/LinkChannel.h"

#include <algorithm>
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
    subscriber.unreported.clear();
    const LinkPtr link = subscriber.link;
    if (!sendDocuments(subscriber))
        link->abort();
}

void NodeSubscriptions::reportInForce(SubscriberId id, const InForceMessage& message, TimePoint now)
{
    const auto entry = m_subscribers.find(id);
    if (entry == m_subscribers.end())
        return;
    Subscriber& subscriber = entry->second;
    subscriber.inForce = message.inForce;
    if (!subscriber.unreported.empty())
        subscriber.unreported.pop_front();
    const LinkPtr link = subscriber.link;
    if (subscriber.isSubscribed && !sendDocuments(subscriber))
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

void NodeSubscriptions::documentChanged(const StoredDocument& document)
{
    std::vector<LinkPtr> stalledLinks;
    for (auto& entry : m_subscribers) {
        if (entry.second.isSubscribed && !sendDocument(entry.second, document))
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
    if (entry->second.isSubscribed && !isComplete(entry->second)) {
        entry->second.waitingRequest = request;
        return;
    }
    const auto freshness = m_service.freshness(now);
    if (freshness)
        send(id, FreshnessMessage { request.clock, freshness->term.value(), freshness->round.value(), freshness->age });
}

bool NodeSubscriptions::sendDocument(Subscriber& subscriber, const StoredDocument& document)
{
    DocumentVersion& sent = subscriber.sent[document.service];
    if (document.version <= sent)
        return true;
    if (!subscriber.acceptsUpdates) {
        sent = document.version;
        const DocumentMessage message { document.service, document.version, document.text };
        return subscriber.link->send(LinkChannel::wrap(LinkChannel::node, encode(ControlMessage(message))));
    }
    if (std::find(subscriber.unreported.begin(), subscriber.unreported.end(), document.service) != subscriber.unreported.end())
        return true;
    sent = document.version;
    subscriber.unreported.push_back(document.service);
    return subscriber.link->send(LinkChannel::wrap(LinkChannel::node, encodedUpdate(document, subscriber.inForce[document.service])));
}

bool NodeSubscriptions::sendDocuments(Subscriber& subscriber)
{
    const auto documents = m_service.state().documents().documents();
    return std::all_of(documents.begin(), documents.end(), [this, &subscriber](const StoredDocument* document) { return sendDocument(subscriber, *document); });
}

bool NodeSubscriptions::isComplete(const Subscriber& subscriber) const
{
    const auto documents = m_service.state().documents().documents();
    return std::all_of(documents.begin(), documents.end(), [&subscriber](const StoredDocument* document) {
        const auto sent = subscriber.sent.find(document->service);
        return sent != subscriber.sent.end() && sent->second >= document->version;
    });
}

const std::string& NodeSubscriptions::encodedUpdate(const StoredDocument& document, DocumentVersion inForce)
{
    EncodedUpdates& updates = m_encodedUpdates[document.service];
    if (updates.version != document.version)
        updates = { document.version, {} };
    const std::string* baseText = m_service.state().documents().textOf(document.service, inForce);
    const DocumentVersion base = baseText ? inForce : DocumentVersion();
    std::string& encoded = updates.byBase[base];
    if (encoded.empty())
        encoded = encode(DocumentUpdateMessage { document.service, document.version, base, compressDocument(document.text, baseText ? *baseText : std::string()) });
    return encoded;
}

} // namespace Knapweedquay
