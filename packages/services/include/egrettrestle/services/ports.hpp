#pragma once

#include <memory>

#include <egrettrestle/http/server.hpp>
#include <egrettrestle/services/service_context.hpp>

namespace egrettrestle {

/// The limits on connections and request bodies that the settings specify.
HttpServerLimits portLimits(const Settings& settings);

/// Base class of the services that serve HTTP requests on one port.
class PortService : public KernelService {
public:
    PortService(ServiceContext& context, const std::string& address, HttpServerLimits limits);

    absl::Status prepare() override { return m_server.bind(); }
    absl::Status start() override { return m_server.start(); }
    void stop() override { m_server.stop(); }

protected:
    /// Handles one request. Called concurrently by the threads of the server.
    virtual HttpResponse handle(const HttpRequest& request) = 0;

    ServiceContext& m_context;

private:
    HttpServer m_server;
};

/// The port for callers: job submission, status and cancellation, and the load balancer's health check. The protocol is
/// described in docs/CALLER.md.
class CallerPort : public PortService {
public:
    explicit CallerPort(ServiceContext& context);

    std::string name() const override { return serviceNames::callerPort; }

private:
    HttpResponse handle(const HttpRequest& request) override;
    HttpResponse submit(const HttpRequest& request);
    HttpResponse cancel(const HttpRequest& request);
    HttpResponse status(const HttpRequest& request);
    HttpResponse health(const HttpRequest& request);
};

/// The port for other VMs: claims, records, hand-overs, heartbeats, views, the manifest and forwarded jobs. The
/// protocol is described in docs/PEERS.md.
class PeerPort : public PortService {
public:
    explicit PeerPort(ServiceContext& context);

    std::string name() const override { return serviceNames::peerPort; }

private:
    HttpResponse handle(const HttpRequest& request) override;
    HttpResponse claims(const HttpRequest& request);
    HttpResponse records(const HttpRequest& request);
    HttpResponse handover(const HttpRequest& request);
    HttpResponse resignation(const HttpRequest& request);
    HttpResponse heartbeat(const HttpRequest& request);
    HttpResponse readView(const HttpRequest& request);
    HttpResponse updateView(const HttpRequest& request);
    HttpResponse manifest(const HttpRequest& request);
    HttpResponse jobs(const HttpRequest& request);
    HttpResponse cancel(const HttpRequest& request);
};

/// The port for operators: metrics, status, drain and, with an embedded store, the store's JSON gateway. Described in
/// docs/OPERATIONS.md.
class AdminPort : public PortService {
public:
    explicit AdminPort(ServiceContext& context);

    std::string name() const override { return serviceNames::adminPort; }

private:
    HttpResponse handle(const HttpRequest& request) override;
    HttpResponse metrics(const HttpRequest& request);
    HttpResponse status(const HttpRequest& request);
    HttpResponse drain(const HttpRequest& request);
};

} // namespace egrettrestle
