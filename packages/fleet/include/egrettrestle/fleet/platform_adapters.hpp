#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/validation_error.hpp>
#include <egrettrestle/decision/job_executor.hpp>
#include <egrettrestle/decision/upstream_orders.hpp>
#include <egrettrestle/http/message.hpp>
#include <egrettrestle/store/store.hpp>

namespace egrettrestle {

/// Sends orders to upstreams. Every call waits for its reply; all are safe for use by several threads.
class UpstreamClient {
public:
    virtual ~UpstreamClient() = default;

    virtual OrderReply start(const UpstreamInfo& upstream, const StartOrder& order) = 0;
    virtual OrderReply stop(const UpstreamInfo& upstream, const StopOrder& order) = 0;
    virtual PollReply poll(const UpstreamInfo& upstream, const PollOrder& order) = 0;
};

/// What a caller asks for.
struct CallerRequest {
    enum class Kind {
        Submit,
        Cancel,
        State,
        QueueLength,
        /// No route leads there.
        NoRoute,
        /// The request is malformed.
        Malformed,
        /// A kind of job that this version does not run.
        Unsupported,
    };

    Kind kind = Kind::NoRoute;
    DispatchJob job;
    Route route;
    std::string detail;
};

/// Reads callers' requests and writes the replies to them.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    virtual CallerRequest read(const HttpRequest& request, const Configuration& configuration) const = 0;
    virtual HttpResponse write(const JobResult& reply) const = 0;
    virtual HttpResponse writeQueueLength(std::size_t jobs) const = 0;
    /// The reply to a cancellation; the job was at work here or is not known.
    virtual HttpResponse writeCancelReply(bool known) const = 0;
    /// The reply to a call that is not a job's submission and cannot be served.
    virtual HttpResponse writeRejection(const CallerRequest& call) const = 0;
    /// The reply while no configuration is in force.
    virtual HttpResponse writeNotReady() const = 0;
};

/// Reads what operators and upstreams leave in the store.
class StoreFormats {
public:
    virtual ~StoreFormats() = default;

    virtual std::string configurationKey() const = 0;
    virtual std::string upstreamPrefix() const = 0;
    /// A prefix that the configuration's key has and hardly any other.
    virtual std::string configurationPrefix() const = 0;
    /// Nothing, and faults, for a text that is no configuration.
    virtual std::optional<Configuration> readConfiguration(std::string_view text, std::vector<ValidationError>& faults) const = 0;
    /// Nothing, and faults, for an entry that names no upstream.
    virtual std::optional<UpstreamInfo> readUpstream(const std::string& key, std::string_view text, std::vector<ValidationError>& faults) const = 0;
};

/// The site that a VM runs on: its store, its upstreams and its callers' manner of speaking.
struct PlatformAdapters {
    std::unique_ptr<Store> store;
    std::unique_ptr<UpstreamClient> upstreams;
    std::unique_ptr<CallerProtocol> callers;
    std::unique_ptr<StoreFormats> formats;
    /// The path that the balancer asks for readiness.
    std::string readinessPath;
};

} // namespace egrettrestle
