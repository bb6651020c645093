#include "control/NodeSubscriptions.h"

#include "protocol/LinkChannel.h"

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
    const LinkPtr link = subscriber.link;
    bool isSent = true;
    for (const StoredDocument* document : m_service.state().documents().documents())
        isSent = isSent && sendDocument(subscriber, *document);
    if (!isSent)
        link->abort();
}

void NodeSubscriptions::reportInForce(SubscriberId id, const InForceMessage& message)
{
    const auto entry = m_subscribers.find(id);
    if (entry != m_subscribers.end())
        entry->second.inForce = message.inForce;
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
    const auto freshness = m_service.freshness(now);
    if (freshness)
        send(id, FreshnessMessage { request.clock, freshness->term.value(), freshness->round.value(), freshness->age });
}

bool NodeSubscriptions::sendDocument(Subscriber& subscriber, const StoredDocument& document)
{
    DocumentVersion& sent = subscriber.sent[document.service];
    if (document.version <= sent)
        return true;
    sent = document.version;
    const DocumentMessage message { document.service, document.version, document.text };
    return subscriber.link->send(LinkChannel::wrap(LinkChannel::node, encode(ControlMessage(message))));
}

} // namespace Knapweedquay
