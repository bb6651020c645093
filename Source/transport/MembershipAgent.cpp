#include "transport/MembershipAgent.h"

#include <random>
#include <utility>

namespace Knapweedquay {

MembershipAgent::MembershipAgent(asio::io_context& context, ActionHook hook)
    : m_socket(context, [this](const SocketAddress& from, std::string_view bytes) {
        if (m_membership)
            perform(m_membership->handle(from, bytes, steadyNow()));
    })
    , m_hook(std::move(hook))
    , m_tickTimer(context, [this] { perform(m_membership->tick(steadyNow())); })
{
}

Result<void> MembershipAgent::start(const SocketAddress& listen, MembershipSettings settings)
{
    BOOST_OUTCOME_TRYV(m_socket.open(listen));
    settings.gossipAddress = m_socket.localAddress();
    m_membership = std::make_unique<Membership>(settings, std::random_device {}());
    perform(m_membership->tick(steadyNow()));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void MembershipAgent::perform(const MembershipActions& actions)
{
    for (const MembershipAction& action : actions) {
        if (const auto* send = std::get_if<SendDatagram>(&action))
            m_socket.send(send->address, send->bytes);
        m_hook(action);
    }
    scheduleTick();
}

void MembershipAgent::scheduleTick()
{
    m_tickTimer.setAt(m_membership->nextTick());
}

} // namespace Knapweedquay
