#pragma once

#include "control/ControlSettings.h"
#include "control/EvacuationStore.h"
#include "control/NodeSubscriptions.h"
#include "state/ControlService.h"
#include "transport/HttpServer.h"

#include <functional>
#include <string>

namespace Knapweedquay {

/// HTTP interface of one control replica for operators; docs/PROTOCOL.md lists the resources.
class OperatorInterface {
public:
    /// flush is called after each request that submits an edit or a change of the replicas to the service.
    OperatorInterface(ControlService&, const NodeSubscriptions&, EvacuationStore&, const ControlSettings&, std::function<void()> flush);

    void handle(const HttpExchangePtr&);

private:
    /// Validates the text of a change and returns the team that owns the document of the service. Errors: InvalidDocument.
    Result<std::string> validateAndFindOwner(const std::string& service, const std::string& text, const ChangeId&) const;
    void putDocument(const HttpExchangePtr&, const std::string& service);
    /// Empties a data centre, or takes it back.
    void orderEvacuation(const HttpExchangePtr&, const std::string& dataCentre, EvacuationOrder::Action);
    HttpResponse listEvacuations() const;
    HttpResponse listDocuments() const;
    HttpResponse getDocument(const std::string& service) const;
    HttpResponse history(const std::string& service) const;
    HttpResponse status() const;
    HttpResponse nodes() const;
    HttpResponse removeReplica(const HttpRequest&, const std::string& id);
    /// The team whose secret the request carries as a bearer token; empty when there is none.
    std::string authenticatedTeam(const HttpHeaders&) const;

    ControlService& m_service;
    const NodeSubscriptions& m_subscriptions;
    EvacuationStore& m_evacuations;
    const ControlSettings& m_settings;
    std::function<void()> m_flush;
};

} // namespace Knapweedquay
