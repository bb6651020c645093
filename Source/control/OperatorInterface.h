#pragma once

#include "control/ControlSettings.h"
#include "control/NodeSubscriptions.h"
#include "state/ControlService.h"
#include "transport/HttpServer.h"

#include <functional>
#include <string>

namespace Knapweedquay {

/// The operators' HTTP interface of one control replica; docs/PROTOCOL.md lists the resources.
class OperatorInterface {
public:
    /// flush runs after each request that handed something to the service.
    OperatorInterface(ControlService&, const NodeSubscriptions&, const ControlSettings&, std::function<void()> flush);

    void handle(const HttpExchangePtr&);

private:
    /// Team that owns a document of this name, once its text is checked. Errors: InvalidDocument.
    Result<std::string> ownerOf(const std::string& service, const std::string& text) const;
    void putDocument(const HttpExchangePtr&, const std::string& service);
    HttpResponse listDocuments() const;
    HttpResponse getDocument(const std::string& service) const;
    HttpResponse history(const std::string& service) const;
    HttpResponse status() const;
    HttpResponse nodes() const;
    HttpResponse removeReplica(const HttpRequest&, const std::string& id);
    std::string authenticatedTeam(const HttpHeaders&) const;

    ControlService& m_service;
    const NodeSubscriptions& m_subscriptions;
    const ControlSettings& m_settings;
    std::function<void()> m_flush;
};

} // namespace Knapweedquay
