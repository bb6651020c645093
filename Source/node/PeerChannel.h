#pragma once

#include "coordination/admission/BodyBudget.h"
#include "coordination/transfers/TransferSchedule.h"
#include "protocol/PeerMessages.h"
#include "protocol/RequestDigest.h"
#include "transport/Link.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Knapweedquay {

/// The budgets for the bodies of requests and of responses that a process holds.
struct BodyBudgets {
    BodyBudgetPointer requests = std::make_shared<BodyBudget>();
    BodyBudgetPointer responses = std::make_shared<BodyBudget>();
};

/// Sends and receives the messages between two nodes over one link.
///
/// Large bodies pass in parts, between which other messages are sent, if the other node takes them. A request that finds no room in
/// the budget of its receiver is refused, an answer waits for room.
class PeerChannel {
public:
    /// What a receiver needs of a message whose body is still to come.
    enum class Interest {
        /// All of it.
        Whole,
        /// Only the message without its body, at once.
        Head,
        /// Nothing.
        None
    };

    /// Handlers of messages; of these only the first must be set.
    struct Hooks {
        /// Runs with each message that has arrived whole, and with those of which only the head is needed.
        std::function<void(const PeerMessage&)> received;
        /// Decides on a message whose body is still to come; when unset, all are needed whole.
        std::function<Interest(const PeerMessage& head)> announced;
        /// Runs once the link has all bytes of a message.
        std::function<void(const PeerMessage&, std::size_t bytes)> sent;
        /// Runs once the other node has acknowledged all of a large body, or said that it needs no more of it.
        std::function<void(const AttemptId&)> delivered;
        /// Runs with a message that certainly does not arrive, and why: not all of its bytes were sent when the link closed, or the
        /// other node refused it.
        std::function<void(const PeerMessage&, ResultCode)> returned;
    };

    PeerChannel(asio::io_context&, LinkPtr, BodyBudgets, Hooks);

    /// Sets whether the other node takes bodies in parts; false until then.
    void setTakesParts(bool takesParts) { m_takesParts = takesParts; }
    /// Sends a message, or begins to. False if the link is closed or full, or the message larger than the other node reads.
    bool send(const PeerMessage&, LoadEncoding = LoadEncoding::Basic);
    /// Handles bytes that the link has received. False if they are not valid, so that the link has to be closed.
    bool receive(std::string_view bytes);
    /// Handles the end of the link.
    void close();
    /// Ends the transfers of an attempt whose outcome is known or not needed. True if its body was not sent whole, so that the message
    /// certainly does not arrive.
    bool forget(const AttemptId&);
    /// Bytes of bodies that were not sent yet. A transfer over a silent link is given up in the end.
    std::size_t unsentBytes() const { return m_schedule.unsentBytes(); }

private:
    /// A message whose body is being sent.
    struct Outgoing {
        PeerMessage message;
        /// Bytes that were sent of it so far.
        std::size_t sentBytes = 0;
        /// When the receiver last acknowledged a part, or the transfer began.
        TimePoint lastProgress;
        /// True once all parts were passed to the link.
        bool isSent = false;
    };

    /// A message whose body is being received.
    struct Incoming {
        PeerMessage head;
        std::size_t bytes = 0;
        std::string body;
        BodyReservationPointer reservation;
        /// Set for a request.
        std::unique_ptr<DigestBuilder> digest;
        /// False while the body waits for room.
        bool isOpen = false;
    };

    bool startTransfer(const PeerMessage&, const Body&, LoadEncoding);
    /// True if a body of this attempt is being sent already.
    bool isUnderWay(const AttemptId&) const;
    bool receivePart(const BodyPart&);
    bool handle(const TransferStartMessage&);
    void handle(const TransferCreditMessage&);
    void handle(const TransferWithdrawnMessage&);
    void handle(const TransferRefusedMessage&);
    /// Opens the window of a transfer if there is room for its body.
    bool tryOpen(TransferId, Incoming&);
    void refuse(TransferId, ResultCode);
    /// Sends the parts that are due.
    void sendParts();
    /// Goes on with what waits for room in the budget or on the link.
    void continueWaiting();
    /// Gives up the transfers that the other node has stopped to take.
    void expireTransfers();

    LinkPtr m_link;
    BodyBudgets m_budgets;
    Hooks m_hooks;
    bool m_takesParts = false;
    TransferSchedule m_schedule;
    std::uint64_t m_lastTransfer = 0;
    std::unordered_map<TransferId, Outgoing> m_outgoing;
    std::unordered_map<TransferId, Incoming> m_incoming;
    /// Transfers that wait for room, in the order of arrival.
    std::deque<TransferId> m_waiting;
    Timer m_timer;
    Timer m_expiryTimer;
};

using PeerChannelPointer = std::shared_ptr<PeerChannel>;

} // namespace Knapweedquay
