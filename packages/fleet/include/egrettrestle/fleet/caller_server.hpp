#pragma once

#include <memory>

#include <egrettrestle/fleet/fleet_context.hpp>
#include <egrettrestle/http/server.hpp>

namespace egrettrestle {

/// The HTTP servers of a VM for callers, for the load balancer's readiness probe and, if an address is set, for metrics.
class CallerServer : public KernelService {
public:
    explicit CallerServer(FleetContext& context);
    ~CallerServer() override;

    std::string name() const override { return fleetServices::callerServer; }
    /// Starts all servers. Unavailable if one of their addresses cannot be bound.
    absl::Status start() override;
    void prepareStop() override;
    void stop() override;

    /// Closes idle connections, and every other one after its next reply, so that callers connect to other VMs.
    void closeConnectionsAfterReply();

private:
    HttpResponse handleRequest(const HttpRequest& request);
    /// Submits a job and waits for its outcome, or until the caller disconnects.
    HttpResponse handleSubmission(const HttpRequest& request, const CallerRequest& call);
    HttpResponse handleReadinessProbe(const HttpRequest& request) const;
    bool isReady() const;

    FleetContext& m_context;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
};

} // namespace egrettrestle
