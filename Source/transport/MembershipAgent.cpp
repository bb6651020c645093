#include "transport/MembershipAgent.h"

#include <utility>

namespace Knapweedquay {

namespace {

// IP and UDP headers of one datagram.
constexpr std::uint64_t headerBytes = 28;

} // namespace

MembershipAgent::MembershipAgent(asio::io_context& context, const MembershipSettings& settings, std::uint64_t seed, Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_membership(settings, seed)
    , m_socket(context, [this](const SocketAddress& from, std::string_view bytes) { receive(from, bytes); })
    , m_timer(context, [this] { carryOut(m_membership.tick(steadyNow())); })
{
}

Result<void> MembershipAgent::start()
{
    BOOST_OUTCOME_TRY(m_socket.open(m_membership.self().gossipAddress));
    m_isRunning = true;
    carryOut(m_membership.tick(steadyNow()));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void MembershipAgent::stop()
{
    m_isRunning = false;
    m_timer.clear();
    m_socket.close();
}

void MembershipAgent::updateSelf(const EndpointState& endpoint)
{
    carryOut(m_membership.updateSelf(endpoint, steadyNow()));
}

void MembershipAgent::updateDocuments(const std::vector<DocumentHint>& inForce)
{
    carryOut(m_membership.updateDocuments(inForce, steadyNow()));
}

void MembershipAgent::leave(std::function<void()> left)
{
    m_left = std::move(left);
    carryOut(m_membership.leave(steadyNow()));
}

void MembershipAgent::receive(const SocketAddress& from, std::string_view bytes)
{
    m_bytesReceived += bytes.size() + headerBytes;
    carryOut(m_membership.handle(from, bytes, steadyNow()));
}

void MembershipAgent::carryOut(const MembershipActions& actions)
{
    for (const MembershipAction& action : actions) {
        if (const auto* datagram = std::get_if<SendDatagram>(&action)) {
            m_bytesSent += datagram->bytes.size() + headerBytes;
            m_socket.send(datagram->address, datagram->bytes);
        } else if (const auto* change = std::get_if<MemberChanged>(&action)) {
            if (m_hooks.memberChanged)
                m_hooks.memberChanged(change->member);
        } else if (const auto* hint = std::get_if<NewerDocumentHint>(&action)) {
            if (m_hooks.newerDocument)
                m_hooks.newerDocument(*hint);
        } else if (const auto* superseded = std::get_if<IncarnationSuperseded>(&action)) {
            if (m_hooks.superseded)
                m_hooks.superseded(superseded->incarnation);
        }
    }
    // The hooks may have ended the agent.
    if (!m_isRunning)
        return;
    m_timer.setAt(m_membership.nextTick());
    if (m_left && m_membership.hasSpreadLeave())
        std::exchange(m_left, {})();
}

} // namespace Knapweedquay
