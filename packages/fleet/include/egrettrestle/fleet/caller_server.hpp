#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include <egrettrestle/fleet/fleet_context.hpp>
#include <egrettrestle/fleet/server_refusals.hpp>
#include <egrettrestle/http/async_server.hpp>

namespace egrettrestle {

/// The HTTP servers of a VM for callers, for the load balancer's readiness probe and, if an address is set, for metrics.
class CallerServer : public KernelService {
public:
    explicit CallerServer(FleetContext& context);
    ~CallerServer() override;

    std::string name() const override { return fleetServices::callerServer; }
    /// Binds the addresses of all servers. Unavailable if one of them cannot be bound.
    absl::Status prepare() override;
    absl::Status start() override;
    void prepareStop() override;
    void stop() override;

    /// Reports the disconnection of all callers that have left; see AsyncHttpServer::closeAbandonedConnections().
    void closeAbandonedConnections();
    /// Closes idle connections, and every other one after its next reply, so that callers connect to other VMs.
    void closeConnectionsAfterReply();
    /// Closes the address for callers; see AsyncHttpServer::stopAccepting().
    void stopAccepting();
    /// Whether callers can still connect, or are connected.
    bool hasCallers() const;
    /// Number of callers' requests that have been received and whose reply has not been sent.
    std::size_t requestsInProgress() const;
    /// Writes what the servers have refused or not answered since the last report.
    void reportRefusals();

private:
    void handleRequest(const std::shared_ptr<HttpExchange>& exchange);
    /// Submits a job; its outcome is the reply, unless the caller disconnects before.
    void handleSubmission(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& call);
    /// Sets the gauges of the capacity of this VM's upstreams by kind. Done when the metrics are read, since reports are too
    /// frequent.
    void updateCapacityGauges();
    /// The servers that are in use.
    std::vector<AsyncHttpServer*> servers() const;
    HttpResponse handleReadinessProbe(const HttpRequest& request) const;
    bool isReady() const;

    FleetContext& m_context;
    std::unique_ptr<AsyncHttpServer> m_callerServer;
    std::unique_ptr<AsyncHttpServer> m_readinessServer;
    std::unique_ptr<AsyncHttpServer> m_metricsServer;
    std::mutex m_refusalsMutex;
    std::vector<ServerRefusals> m_refusals;
};

} // namespace egrettrestle
