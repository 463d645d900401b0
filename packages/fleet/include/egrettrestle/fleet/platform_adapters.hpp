#pragma once

#include <functional>
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

/// Sends orders to upstreams and polls their status. The functions return at once; the reply, or the outcome of a time-out,
/// is passed to a callback on the event loop's thread, once and never within the call. Safe for use by several threads.
class UpstreamClient {
public:
    using OrderCallback = std::function<void(const OrderReply&)>;
    using PollCallback = std::function<void(const PollReply&)>;

    virtual ~UpstreamClient() = default;

    virtual void start(const UpstreamInfo& upstream, const StartOrder& order, OrderCallback onReply) = 0;
    virtual void stop(const UpstreamInfo& upstream, const StopOrder& order, OrderCallback onReply) = 0;
    /// Reports the runs that are in progress and those that have ended, and extends the lease if the order says so.
    virtual void poll(const UpstreamInfo& upstream, const PollOrder& order, PollCallback onReply) = 0;
};

/// A caller's request, parsed.
struct CallerRequest {
    enum class Kind {
        Submit,
        Cancel,
        /// Asks for the state of one job.
        State,
        /// Asks how many jobs of the route have not started.
        QueueLength,
        /// No route matches the host and path.
        NoRoute,
        /// The request is malformed.
        Malformed,
        /// A job that needs a feature that is not supported.
        Unsupported,
    };

    Kind kind = Kind::NoRoute;
    DispatchJob job;
    Route route;
    /// What is wrong with a malformed request.
    std::string detail;
};

/// Parses callers' requests and writes the replies.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    /// Parses a request and finds its route in the configuration. Never fails: `kind` tells what is wrong.
    virtual CallerRequest read(const HttpRequest& request, const Configuration& configuration) const = 0;
    /// The reply to a submission.
    virtual HttpResponse write(const JobResult& reply) const = 0;
    virtual HttpResponse writeQueueLength(std::size_t jobs) const = 0;
    /// The reply to a cancellation; `known` tells whether the job was in progress here.
    virtual HttpResponse writeCancelReply(bool known) const = 0;
    /// The reply to a request that is rejected: without a route, malformed, unsupported, or for the state of a job, which
    /// is not kept.
    virtual HttpResponse writeRejection(const CallerRequest& callerRequest) const = 0;
    /// The reply while no configuration is in force.
    virtual HttpResponse writeNotReady() const = 0;
};

/// Keys and formats of the entries that operators and upstreams write to the store.
class StoreFormats {
public:
    virtual ~StoreFormats() = default;

    virtual std::string configurationKey() const = 0;
    virtual std::string upstreamPrefix() const = 0;
    /// The prefix of the keys by which operators have data centres evacuated; the rest of a key is the data centre.
    virtual std::string evacuationPrefix() const = 0;
    /// The prefix to watch for changes of the configuration and the evacuations; few other keys share it.
    virtual std::string operatorPrefix() const = 0;
    /// Parses a configuration; nothing, and at least one error, if it is invalid.
    virtual std::optional<Configuration> readConfiguration(std::string_view text, std::vector<ValidationError>& errors) const = 0;
    /// The data centre that the key of an evacuation names; nothing, and an error, if it names none.
    virtual std::optional<DataCentreId> readEvacuation(const std::string& key, std::vector<ValidationError>& errors) const = 0;
    /// Parses an upstream's entry; nothing, and at least one error, if it is invalid. Errors beside an upstream concern
    /// fields without which it can be used.
    virtual std::optional<UpstreamInfo> readUpstream(const std::string& key, std::string_view text, std::vector<ValidationError>& errors) const = 0;
    /// A digest of an upstream's entry without the values that change with each heartbeat. Entries with the same digest
    /// describe the upstream alike, so that an unchanged one need not be parsed.
    virtual std::size_t upstreamDigest(std::string_view text) const = 0;
};

/// The adapters that connect a VM to its platform.
struct PlatformAdapters {
    std::unique_ptr<Store> store;
    std::unique_ptr<UpstreamClient> upstreams;
    std::unique_ptr<CallerProtocol> callers;
    std::unique_ptr<StoreFormats> formats;
    /// Path of the load balancer's readiness probe.
    std::string readinessPath;
};

} // namespace egrettrestle
