#pragma once

#include "protocol/Ids.h"

namespace Knapweedquay {

/// Decides which service this node names as that of its own backend server in the requests that begin here.
///
/// The settings name it, and so do the announcements of the backend server. When an address goes to a backend server of another service,
/// either may be the first to tell, so that what changed last counts: the setting, or the service of the backend server that is present.
/// An announcement that arrives late changes nothing, as it names the service of the backend server before.
///
/// Load pattern: backend servers that are replaced by those of other services while their callers go on.
class LocalService {
public:
    /// configured: the service in the settings; while they name none, none is named.
    explicit LocalService(ServiceName configured);

    /// Handles the service in settings that were read again; none changes nothing. Returns whether the name has changed.
    bool configure(const ServiceName&);
    /// Handles the service of the backend server that is present. Returns whether the name has changed.
    bool announced(const ServiceName&);
    const ServiceName& name() const { return m_name; }

private:
    bool setName(const ServiceName&);

    ServiceName m_configured;
    /// Service of the latest backend server; empty before the first.
    ServiceName m_announced;
    ServiceName m_name;
};

} // namespace Knapweedquay
