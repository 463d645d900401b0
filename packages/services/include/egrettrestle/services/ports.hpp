#pragma once

#include <memory>

#include <egrettrestle/http/server.hpp>
#include <egrettrestle/services/node.hpp>

namespace egrettrestle {

/// The bounds that the settings put on a port's clients.
HttpServerLimits portLimits(const Settings& settings);

/// A service that answers requests on one port.
class PortService : public KernelService {
public:
    PortService(Node& node, const std::string& address, HttpServerLimits limits);

    absl::Status start() override { return m_server.start(); }
    void stop() override { m_server.stop(); }

protected:
    virtual HttpResponse handle(const HttpRequest& request) = 0;

    Node& m_node;

private:
    HttpServer m_server;
};

/// The callers' port: jobs, their status and cancellation, and the balancer's health check. docs/CALLER.md.
class CallerPort : public PortService {
public:
    explicit CallerPort(Node& node);

    std::string name() const override { return serviceNames::callerPort; }

private:
    HttpResponse handle(const HttpRequest& request) override;
    HttpResponse submit(const HttpRequest& request);
    HttpResponse cancel(const HttpRequest& request);
    HttpResponse status(const HttpRequest& request);
    HttpResponse health(const HttpRequest& request);
};

/// The port for other VMs: claims, records, hand-overs, heartbeats, views, the manifest. docs/PEERS.md.
class PeerPort : public PortService {
public:
    explicit PeerPort(Node& node);

    std::string name() const override { return serviceNames::peerPort; }

private:
    HttpResponse handle(const HttpRequest& request) override;
    HttpResponse claims(const HttpRequest& request);
    HttpResponse records(const HttpRequest& request);
    HttpResponse handover(const HttpRequest& request);
    HttpResponse resignation(const HttpRequest& request);
    HttpResponse heartbeat(const HttpRequest& request);
    HttpResponse showView(const HttpRequest& request);
    HttpResponse takeView(const HttpRequest& request);
    HttpResponse manifest(const HttpRequest& request);
    HttpResponse jobs(const HttpRequest& request);
    HttpResponse cancel(const HttpRequest& request);
};

/// The operators' port: metrics, status, drain and, with an embedded store, the store's gateway. docs/OPERATIONS.md.
class AdminPort : public PortService {
public:
    explicit AdminPort(Node& node);

    std::string name() const override { return serviceNames::adminPort; }

private:
    HttpResponse handle(const HttpRequest& request) override;
    HttpResponse metrics(const HttpRequest& request);
    HttpResponse status(const HttpRequest& request);
    HttpResponse drain(const HttpRequest& request);
};

} // namespace egrettrestle
