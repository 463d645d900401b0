#include <algorithm>

#include <egrettrestle/services/detail/output/routes.hpp>
#include <egrettrestle/services/ports.hpp>

namespace egrettrestle {

HttpServerLimits portLimits(const Settings& settings)
{
    HttpServerLimits limits;
    limits.maxConnections = settings.maxConnections;
    limits.maxBodyBytes = settings.maxBodyBytes;
    // A body that grows takes up to twice its size.
    limits.maxBufferedBytes = std::max(settings.maxBufferedBytes, 2 * settings.maxBodyBytes);
    return limits;
}

PortService::PortService(ServiceContext& context, const std::string& address, HttpServerLimits limits)
    : m_context(context)
    , m_server(
          address, limits, [this](const HttpRequest& request) { return handle(request); },
          [](const HttpRequestError& error) { return detail::malformedResponse(error.status, error.field, error.detail); })
{
}

} // namespace egrettrestle
