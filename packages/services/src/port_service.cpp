#include <egrettrestle/services/detail/output/routes.hpp>
#include <egrettrestle/services/ports.hpp>

namespace egrettrestle {

HttpServerLimits portLimits(const Settings& settings)
{
    HttpServerLimits limits;
    limits.maxConnections = settings.maxConnections;
    limits.maxBodyBytes = settings.maxBodyBytes;
    return limits;
}

PortService::PortService(Node& node, const std::string& address, HttpServerLimits limits)
    : m_node(node)
    , m_server(
          address, limits, [this](const HttpRequest& request) { return handle(request); },
          [](const HttpRequestError& fault) { return detail::malformedResponse(fault.status, fault.field, fault.detail); })
{
}

} // namespace egrettrestle
