#pragma once

#include "control/ControlSettings.h"
#include "control/ControlStop.h"
#include "control/EvacuationStore.h"
#include "control/NodeSubscriptions.h"
#include "control/OperatorInterface.h"
#include "control/QuotaHolderStore.h"
#include "control/ReplicaLinks.h"
#include "control/RoutingStore.h"
#include "control/StoreObserver.h"
#include "state/ControlService.h"
#include "transport/HttpServer.h"
#include "transport/Link.h"
#include "transport/MembershipAgent.h"
#include "transport/PosixFileSystem.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/thread_pool.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Knapweedquay {

/// The control process: one replica of the store, its links to nodes and other replicas, and the HTTP interface for
/// operators.
class ControlDaemon {
public:
    /// What operators change at this replica.
    struct Stores {
        RoutingStore& routing;
        EvacuationStore& evacuations;
    };

    /// Hooks by which a program extends the daemon; each may be unset.
    struct Extension {
        /// Called after the store, the servers and the membership have started.
        std::function<void(asio::io_context&, ControlDaemon&)> started;
        /// Handles an HTTP request before the operators' interface. Returns false to pass it on to that interface.
        std::function<bool(const HttpExchangePtr&, const Stores&)> handle;
        /// Called on SIGHUP, since the settings may have changed.
        std::function<void(ControlDaemon&)> reload;
    };

    explicit ControlDaemon(const ControlSettings&, Extension = {});
    ~ControlDaemon();

    /// Runs until SIGINT, SIGTERM or a storage failure. After a signal the requests in flight are answered first. Returns the error of a failed start or of the storage.
    Result<void> run();
    /// Replaces the other replicas' link addresses and the gossip seeds after the settings were reloaded.
    void setContacts(const std::vector<std::string>& peers, const std::vector<SocketAddress>& seeds);

private:
    /// A claim that was forwarded to the leader and not answered yet.
    struct ForwardedClaim {
        /// The node that waits for the answer.
        NodeSubscriptions::SubscriberId subscriber = 0;
        /// When the entry is removed without an answer.
        TimePoint expiry;
    };

    Result<void> openStore();
    Result<void> startMembership();
    void waitForSignal();
    void handleSignal(int signal);
    void handleHttp(const HttpExchangePtr&);
    void accept(const LinkPtr&);
    void receiveNodeMessage(NodeSubscriptions::SubscriberId, std::string_view bytes);
    void receiveFromReplica(std::string_view bytes);
    void handleClaim(NodeSubscriptions::SubscriberId, const ClaimRequestMessage&);
    void handleClaimQuery(NodeSubscriptions::SubscriberId, const ClaimQueryMessage&);
    void handleClaimEnd(const ClaimEndMessage&);
    /// Passes a claim or a question for one on to the leader, whose answer goes back to the subscriber.
    void forwardClaim(NodeSubscriptions::SubscriberId, const AttemptId& owner, const ControlMessage&);
    /// Returns a handler that answers a claim or a question for one.
    ControlService::ClaimHandler answerClaim(NodeSubscriptions::SubscriberId, const AttemptId& owner);
    /// Sends a node's message to the leader; drops it if no other replica is known to lead.
    void forwardToLeader(const ControlMessage&);
    void sendToReplica(const std::string& address, const ControlMessage&);
    /// Handles a change of the routing document that another replica passed on.
    void handleForwardedChange(NodeSubscriptions::SubscriberId, const RoutingChangeMessage&);
    void handleForwardedOrder(NodeSubscriptions::SubscriberId, const EvacuationOrderMessage&);
    void handleForwardedAnswer(const ClaimAnswerMessage&);
    void tick();
    /// Posts a flush of the service, unless one is posted already.
    void scheduleFlush();

    ControlSettings m_settings;
    Extension m_extension;
    asio::io_context m_context;
    PosixFileSystem m_files;
    std::unique_ptr<FolderLock> m_folderLock;
    std::unique_ptr<ControlService> m_service;
    /// Runs blocking storage jobs. Declared after the service, so that it is destroyed first.
    asio::thread_pool m_storageThread { 1 };
    std::unique_ptr<NodeSubscriptions> m_subscriptions;
    std::unique_ptr<OperatorInterface> m_operators;
    std::unique_ptr<RoutingStore> m_routing;
    std::unique_ptr<EvacuationStore> m_evacuations;
    std::unique_ptr<QuotaHolderStore> m_quotaHolders;
    StoreObserver m_observer;
    MembershipAgent m_membership;
    ReplicaLinks m_replicaLinks;
    LinkServer m_linkServer;
    HttpServer m_httpServer;
    ControlStop m_stop;
    asio::signal_set m_signals;
    Timer m_tickTimer;
    /// True while a flush of the service is posted but has not run.
    bool m_isFlushScheduled = false;
    /// Claims that were forwarded to the leader, by their owner.
    std::map<AttemptId, ForwardedClaim> m_forwardedClaims;
    /// Changes of other replicas that wait for their result.
    std::size_t m_forwardedChanges = 0;
    /// Result of run(); the error of the storage once it has stopped.
    Result<void> m_runResult = BOOST_OUTCOME_V2_NAMESPACE::success();
};

} // namespace Knapweedquay
