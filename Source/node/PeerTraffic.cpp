#include "node/PeerTraffic.h"

namespace Knapweedquay {

namespace {

struct TrafficVisitor {
    PeerTraffic operator()(const CallRequestMessage&) const { return PeerTraffic::Call; }
    PeerTraffic operator()(const CallCancelMessage&) const { return PeerTraffic::Call; }
    PeerTraffic operator()(const CallLimitMessage&) const { return PeerTraffic::Call; }
    PeerTraffic operator()(const CallAnswerMessage&) const { return PeerTraffic::Answer; }
    PeerTraffic operator()(const CallAcceptedMessage&) const { return PeerTraffic::Outcome; }
    PeerTraffic operator()(const CallRefusalMessage&) const { return PeerTraffic::Outcome; }
    PeerTraffic operator()(const CallUnknownMessage&) const { return PeerTraffic::Outcome; }
    PeerTraffic operator()(const CallCancelledMessage&) const { return PeerTraffic::Outcome; }
    PeerTraffic operator()(const ProbeMessage&) const { return PeerTraffic::Probe; }
    PeerTraffic operator()(const ProbeAnswerMessage&) const { return PeerTraffic::Probe; }
    PeerTraffic operator()(const LoadUpdateMessage&) const { return PeerTraffic::LoadUpdate; }
    PeerTraffic operator()(const DocumentRequestMessage&) const { return PeerTraffic::Document; }
    PeerTraffic operator()(const DocumentAnswerMessage&) const { return PeerTraffic::Document; }
    PeerTraffic operator()(const QuotaRequestMessage&) const { return PeerTraffic::Quota; }
    PeerTraffic operator()(const QuotaGrantMessage&) const { return PeerTraffic::Quota; }
    PeerTraffic operator()(const TransferStartMessage&) const { return PeerTraffic::Outcome; }
    PeerTraffic operator()(const TransferCreditMessage&) const { return PeerTraffic::Outcome; }
    PeerTraffic operator()(const TransferWithdrawnMessage&) const { return PeerTraffic::Outcome; }
    PeerTraffic operator()(const TransferRefusedMessage&) const { return PeerTraffic::Outcome; }
    PeerTraffic operator()(const HelloMessage&) const { return PeerTraffic::Hello; }
};

} // namespace

PeerTraffic trafficOf(const PeerMessage& message)
{
    return std::visit(TrafficVisitor(), message);
}

} // namespace Knapweedquay
