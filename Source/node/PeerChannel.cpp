#include "node/PeerChannel.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace Knapweedquay {

namespace {

/// Window of one body: what its receiver has not taken yet.
constexpr std::size_t bodyWindowBytes = 256 * 1024;
/// No further part is passed to a link with more unsent bytes than this.
constexpr std::size_t maximumUnsentLinkBytes = 1024 * 1024;
/// Interval between checks whether what waits for room can go on.
constexpr Duration waitInterval { 5000 };
/// Longest time without progress of a transfer; the node that opened the link replaces a silent one much earlier.
constexpr Duration maximumStall { 30000000 };
constexpr Duration expiryInterval { 1000000 };

} // namespace

PeerChannel::PeerChannel(asio::io_context& context, LinkPtr link, BodyBudgets budgets, Hooks hooks)
    : m_link(std::move(link))
    , m_budgets(std::move(budgets))
    , m_hooks(std::move(hooks))
    , m_timer(context, [this] { continueWaiting(); })
    , m_expiryTimer(context, [this] { expireTransfers(); })
{
}

bool PeerChannel::send(const PeerMessage& message, LoadEncoding encoding)
{
    const Body* body = bodyOf(message);
    if (m_takesParts && body && body->isLarge())
        return startTransfer(message, *body, encoding);
    const std::string bytes = encode(message, encoding);
    // The other node would close the link.
    if (bytes.size() > maximumPeerMessageBytes || !m_link->send(bytes))
        return false;
    if (m_hooks.sent)
        m_hooks.sent(message, bytes.size());
    // Such a node acknowledges nothing.
    if (body && body->isLarge() && m_hooks.delivered)
        m_hooks.delivered(*attemptOf(message));
    return true;
}

bool PeerChannel::startTransfer(const PeerMessage& message, const Body& body, LoadEncoding encoding)
{
    if (isUnderWay(*attemptOf(message)))
        return true;
    PeerMessage head = message;
    setBody(head, {});
    const TransferId id(++m_lastTransfer);
    const std::string bytes = encode(TransferStartMessage { id, body.size(), encode(head, encoding) });
    if (!m_link->send(bytes))
        return false;
    if (m_outgoing.empty())
        m_expiryTimer.setAfter(expiryInterval);
    m_outgoing.emplace(id, Outgoing { message, bytes.size(), steadyNow() });
    m_schedule.add(id, body.size());
    return true;
}

bool PeerChannel::isUnderWay(const AttemptId& attempt) const
{
    return std::any_of(m_outgoing.begin(), m_outgoing.end(), [&attempt](const auto& entry) { return !entry.second.isSent && *attemptOf(entry.second.message) == attempt; });
}

bool PeerChannel::receive(std::string_view bytes)
{
    if (const auto part = decodePart(bytes))
        return receivePart(*part);
    const auto message = decodePeerMessage(bytes);
    if (message.has_error())
        return false;
    if (const auto* start = std::get_if<TransferStartMessage>(&message.value()))
        return handle(*start);
    if (const auto* credit = std::get_if<TransferCreditMessage>(&message.value()))
        handle(*credit);
    else if (const auto* withdrawn = std::get_if<TransferWithdrawnMessage>(&message.value()))
        handle(*withdrawn);
    else if (const auto* refused = std::get_if<TransferRefusedMessage>(&message.value()))
        handle(*refused);
    else
        m_hooks.received(message.value());
    return true;
}

bool PeerChannel::receivePart(const BodyPart& part)
{
    const auto entry = m_incoming.find(part.transfer);
    // Parts may be on their way when their transfer is refused.
    if (entry == m_incoming.end())
        return true;
    Incoming& incoming = entry->second;
    if (!incoming.isOpen || part.bytes.size() > incoming.bytes - incoming.body.size())
        return false;
    incoming.body += part.bytes;
    if (incoming.digest)
        incoming.digest->add(part.bytes);
    m_link->send(encode(TransferCreditMessage { part.transfer, part.bytes.size() }));
    if (incoming.body.size() < incoming.bytes)
        return true;
    PeerMessage message = std::move(incoming.head);
    const std::optional<RequestDigest> digest = incoming.digest ? std::optional(incoming.digest->finish()) : std::nullopt;
    setBody(message, Body(std::move(incoming.body), std::move(incoming.reservation)), digest);
    m_incoming.erase(entry);
    m_hooks.received(message);
    return true;
}

bool PeerChannel::handle(const TransferStartMessage& start)
{
    auto head = decodePeerMessage(start.head);
    if (head.has_error() || !bodyOf(head.value()) || start.bytes == 0 || m_incoming.count(start.transfer) > 0)
        return false;
    const Interest interest = m_hooks.announced ? m_hooks.announced(head.value()) : Interest::Whole;
    if (interest != Interest::Whole) {
        refuse(start.transfer, ResultCode::Ok);
        if (interest == Interest::Head)
            m_hooks.received(head.value());
        return true;
    }
    const bool isRequest = std::holds_alternative<CallRequestMessage>(head.value());
    const BodyBudgetPointer& budget = isRequest ? m_budgets.requests : m_budgets.responses;
    if (const auto* answer = std::get_if<CallAnswerMessage>(&head.value()); answer && start.bytes > budget->limits().largeBytes) {
        refuse(start.transfer, ResultCode::Ok);
        m_hooks.received(CallUnknownMessage { answer->attempt, answer->load, ResultCode::AnswerIncomplete });
        return true;
    }
    Incoming incoming { std::move(head.value()), start.bytes, {}, std::make_shared<BodyReservation>(budget), isRequest ? std::make_unique<DigestBuilder>() : nullptr };
    if (!tryOpen(start.transfer, incoming)) {
        if (isRequest) {
            refuse(start.transfer, ResultCode::Overloaded);
            return true;
        }
        m_waiting.push_back(start.transfer);
        m_timer.setAfter(waitInterval);
    }
    m_incoming.emplace(start.transfer, std::move(incoming));
    return true;
}

bool PeerChannel::tryOpen(TransferId id, Incoming& incoming)
{
    if (!incoming.reservation->tryResize(incoming.bytes))
        return false;
    incoming.isOpen = true;
    incoming.body.reserve(incoming.bytes);
    m_link->send(encode(TransferCreditMessage { id, bodyWindowBytes }));
    return true;
}

void PeerChannel::refuse(TransferId id, ResultCode code)
{
    m_link->send(encode(TransferRefusedMessage { id, code }));
}

void PeerChannel::handle(const TransferCreditMessage& credit)
{
    const bool isWhole = m_schedule.grant(credit.transfer, credit.bytes);
    const auto entry = m_outgoing.find(credit.transfer);
    if (entry != m_outgoing.end() && isWhole) {
        const AttemptId attempt = *attemptOf(entry->second.message);
        m_outgoing.erase(entry);
        if (m_hooks.delivered)
            m_hooks.delivered(attempt);
    } else if (entry != m_outgoing.end())
        entry->second.lastProgress = steadyNow();
    sendParts();
}

void PeerChannel::handle(const TransferWithdrawnMessage& withdrawn)
{
    m_incoming.erase(withdrawn.transfer);
}

void PeerChannel::handle(const TransferRefusedMessage& refused)
{
    m_schedule.remove(refused.transfer);
    const auto entry = m_outgoing.find(refused.transfer);
    if (entry != m_outgoing.end()) {
        const Outgoing outgoing = std::move(entry->second);
        m_outgoing.erase(entry);
        if (refused.code != ResultCode::Ok && !outgoing.isSent && m_hooks.returned)
            m_hooks.returned(outgoing.message, refused.code);
        if (refused.code == ResultCode::Ok && !outgoing.isSent && m_hooks.sent)
            m_hooks.sent(outgoing.message, outgoing.sentBytes);
        if (refused.code == ResultCode::Ok && m_hooks.delivered)
            m_hooks.delivered(*attemptOf(outgoing.message));
    }
    sendParts();
}

void PeerChannel::sendParts()
{
    while (m_link->isOpen()) {
        if (m_link->unsentBytes() > maximumUnsentLinkBytes)
            return m_timer.setAfter(waitInterval);
        const auto part = m_schedule.next();
        if (!part)
            return;
        const auto entry = m_outgoing.find(part->transfer);
        const std::string_view body = bodyOf(entry->second.message)->bytes();
        const std::string bytes = encodePart({ part->transfer, body.substr(part->offset, part->bytes) });
        // If this fails, the link is about to report that it closed.
        if (!m_link->send(bytes))
            return;
        entry->second.sentBytes += bytes.size();
        if (!part->isLast)
            continue;
        entry->second.isSent = true;
        const PeerMessage message = entry->second.message;
        const std::size_t sentBytes = entry->second.sentBytes;
        if (m_hooks.sent)
            m_hooks.sent(message, sentBytes);
    }
}

void PeerChannel::continueWaiting()
{
    while (!m_waiting.empty()) {
        const auto entry = m_incoming.find(m_waiting.front());
        if (entry != m_incoming.end() && !tryOpen(entry->first, entry->second)) {
            m_timer.setAfter(waitInterval);
            break;
        }
        m_waiting.pop_front();
    }
    sendParts();
}

void PeerChannel::expireTransfers()
{
    const TimePoint now = steadyNow();
    std::vector<AttemptId> stalled;
    for (const auto& entry : m_outgoing) {
        if (now - entry.second.lastProgress > maximumStall)
            stalled.push_back(*attemptOf(entry.second.message));
    }
    for (const AttemptId& attempt : stalled)
        forget(attempt);
    if (!m_outgoing.empty())
        m_expiryTimer.setAfter(expiryInterval);
}

bool PeerChannel::forget(const AttemptId& attempt)
{
    bool isWithdrawn = false;
    const auto isOf = [&attempt](const PeerMessage& message) { return *attemptOf(message) == attempt; };
    const auto outgoing = std::find_if(m_outgoing.begin(), m_outgoing.end(), [&isOf](const auto& entry) { return isOf(entry.second.message); });
    if (outgoing != m_outgoing.end()) {
        m_schedule.remove(outgoing->first);
        m_link->send(encode(TransferWithdrawnMessage { outgoing->first }));
        isWithdrawn = !outgoing->second.isSent;
        m_outgoing.erase(outgoing);
    }
    const auto incoming = std::find_if(m_incoming.begin(), m_incoming.end(), [&isOf](const auto& entry) { return isOf(entry.second.head); });
    if (incoming != m_incoming.end()) {
        refuse(incoming->first, ResultCode::Ok);
        m_incoming.erase(incoming);
    }
    return isWithdrawn;
}

void PeerChannel::close()
{
    m_timer.cancel();
    m_expiryTimer.cancel();
    m_incoming.clear();
    m_waiting.clear();
    const std::unordered_map<TransferId, Outgoing> outgoing = std::exchange(m_outgoing, {});
    for (const auto& entry : outgoing) {
        m_schedule.remove(entry.first);
        if (!entry.second.isSent && m_hooks.returned)
            m_hooks.returned(entry.second.message, ResultCode::PeerUnreachable);
    }
}

} // namespace Knapweedquay
