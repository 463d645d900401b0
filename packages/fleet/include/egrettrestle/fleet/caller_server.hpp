#pragma once

#include <memory>

#include <egrettrestle/fleet/fleet_context.hpp>
#include <egrettrestle/http/server.hpp>

namespace egrettrestle {

/// Serves callers, the balancer's question for readiness, and metrics.
class CallerServer : public KernelService {
public:
    explicit CallerServer(FleetContext& node);
    ~CallerServer() override;

    std::string name() const override { return fleetServices::callerServer; }
    absl::Status start() override;
    void prepareStop() override;
    void stop() override;

    /// Ends each connection with its next reply, so that callers turn to other VMs.
    void closeConnectionsAfterReply();

private:
    HttpResponse answer(const HttpRequest& request);
    HttpResponse answerJob(const HttpRequest& request, const CallerRequest& call);
    HttpResponse answerReady(const HttpRequest& request) const;
    bool isReady() const;

    FleetContext& m_node;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_ready;
    std::unique_ptr<HttpServer> m_metrics;
};

} // namespace egrettrestle
