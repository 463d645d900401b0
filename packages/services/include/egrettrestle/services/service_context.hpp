#pragma once

#include <egrettrestle/base/metrics.hpp>
#include <egrettrestle/base/span.hpp>
#include <egrettrestle/http/client.hpp>
#include <egrettrestle/kernel/kernel.hpp>
#include <egrettrestle/services/settings.hpp>

namespace egrettrestle {

/// The objects that all services of a daemon share. Must outlive the services.
struct ServiceContext {
    const Settings& settings;
    Kernel& kernel;
    Metrics& metrics;
    SpanWriter& spans;
    /// Client for requests to other VMs. Reuses their connections.
    HttpClient& peers;
};

/// The names under which services are registered with the kernel.
namespace serviceNames {

    inline const std::string platform = "platform";
    inline const std::string claims = "claims";
    inline const std::string manifest = "manifest";
    inline const std::string executor = "executor";
    inline const std::string upstreams = "upstreams";
    inline const std::string jobs = "jobs";
    inline const std::string membership = "membership";
    inline const std::string storeWatch = "store-watch";
    inline const std::string peerPort = "peer-port";
    inline const std::string callerPort = "caller-port";
    inline const std::string adminPort = "admin-port";

}

/// The HTTP paths of the peer port.
namespace peerPaths {

    inline const std::string claims = "/v1/peer/claims";
    inline const std::string records = "/v1/peer/records";
    inline const std::string handover = "/v1/peer/handover";
    inline const std::string resignation = "/v1/peer/resignation";
    inline const std::string heartbeat = "/v1/peer/heartbeat";
    inline const std::string view = "/v1/peer/view";
    inline const std::string manifest = "/v1/peer/manifest";
    inline const std::string jobs = "/v1/peer/jobs";
    inline const std::string cancel = "/v1/peer/cancel";

}

} // namespace egrettrestle
