#pragma once

#include "control/ControlSettings.h"
#include "control/NodeSubscriptions.h"
#include "control/OperatorInterface.h"
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

/// The control process: one replica of the store, its links to nodes and replicas, and the operators' HTTP interface.
class ControlDaemon {
public:
    /// What a program adds to the daemon. The hooks may be unset.
    struct Extension {
        /// All parts have started.
        std::function<void(asio::io_context&, ControlDaemon&)> started;
        /// Handles a request of the HTTP port before the operators' interface; false leaves it to that.
        std::function<bool(const HttpExchangePtr&, RoutingStore&)> handle;
        /// SIGHUP: the settings may have changed.
        std::function<void(ControlDaemon&)> reload;
    };

    explicit ControlDaemon(const ControlSettings&, Extension = {});
    ~ControlDaemon();

    /// Runs until a signal or a storage failure ends it.
    Result<void> run();
    /// Seeds and replicas of a settings file that was read again.
    void setContacts(const std::vector<std::string>& peers, const std::vector<SocketAddress>& seeds);

private:
    struct ForwardedClaim {
        NodeSubscriptions::SubscriberId subscriber = 0;
        TimePoint expiry;
    };

    Result<void> openStore();
    Result<void> startMembership();
    void waitForSignal();
    void handleHttp(const HttpExchangePtr&);
    ReplicaListMessage replicaList() const;
    void accept(const LinkPtr&);
    void receiveNodeMessage(NodeSubscriptions::SubscriberId, std::string_view bytes);
    void receiveFromReplica(std::string_view bytes);
    void handleClaim(NodeSubscriptions::SubscriberId, const ClaimRequestMessage&);
    void handleClaimEnd(const ClaimEndMessage&);
    void forwardToLeader(const ControlMessage&);
    void handleForwardedAnswer(const ClaimAnswerMessage&);
    void tick();
    void scheduleFlush();

    ControlSettings m_settings;
    Extension m_extension;
    asio::io_context m_context;
    PosixFileSystem m_files;
    std::unique_ptr<FolderLock> m_folderLock;
    std::unique_ptr<ControlService> m_service;
    /// Runs the slow jobs of the storage. It is declared after the service, and so ends before it.
    asio::thread_pool m_storageThread { 1 };
    std::unique_ptr<NodeSubscriptions> m_subscriptions;
    std::unique_ptr<OperatorInterface> m_operators;
    std::unique_ptr<RoutingStore> m_routing;
    StoreObserver m_observer;
    MembershipAgent m_membership;
    ReplicaLinks m_replicaLinks;
    LinkServer m_linkServer;
    HttpServer m_httpServer;
    asio::signal_set m_signals;
    Timer m_tickTimer;
    bool m_isFlushScheduled = false;
    /// Claims that were passed on to the leader, and the subscriber that waits for each.
    std::map<AttemptId, ForwardedClaim> m_forwardedClaims;
    Result<void> m_runResult = BOOST_OUTCOME_V2_NAMESPACE::success();
};

} // namespace Knapweedquay
