#include "coordination/presence/LocalService.h"

#include <utility>

namespace Knapweedquay {

LocalService::LocalService(ServiceName configured)
    : m_configured(std::move(configured))
    , m_name(m_configured)
{
}

bool LocalService::configure(const ServiceName& service)
{
    if (service.value().empty() || service == m_configured)
        return false;
    m_configured = service;
    return setName(service);
}

bool LocalService::announced(const ServiceName& service)
{
    if (m_configured.value().empty() || service == m_announced)
        return false;
    m_announced = service;
    return setName(service);
}

bool LocalService::setName(const ServiceName& service)
{
    return std::exchange(m_name, service) != service;
}

} // namespace Knapweedquay
