#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/work_meter.hpp>

namespace prometheus {
class Counter;
class Registry;
}

namespace egrettrestle {

/// Prometheus metrics of the daemon. docs/OPERATIONS.md lists the families and labels. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();

    /// Counts a job by outcome. `reason` is the name of the event that caused an outcome other than `complete`.
    void countJob(const std::string& urgencyClass, const std::string& outcome, const std::string& reason);

    /// Counts a message by its use: `task`, `claim`, `record`, `lookup`, `handover`, `heartbeat`, `view`, `forward`,
    /// `manifest`, `store`, `vm-list`. A wasted message is one that contributes nothing to an answer.
    void countMessage(const std::string& use, bool wasted, double bytes = 0);

    /// Counts a task sent to an upstream.
    void countStart(const std::string& kind);

    /// Counts a batch of messages from another VM that could not be read.
    void countRejectedBatch();

    /// Counts messages to another VM that were discarded; `cause` is `no-link`, `unanswered` or `link-removed`.
    void countDiscardedMessages(const std::string& cause, std::size_t count);

    /// Counts a start order that was discarded because it no longer stood when it was to be sent.
    void countWithheldStart();

    /// Counts a run that was lost with its upstream; `cause` says how the upstream failed.
    void countLostRun(const std::string& route, const std::string& cause);

    /// Counts a task that was sent again; `statement` says why its earlier run is considered over.
    void countResentRun(const std::string& statement);

    /// Counts runs that had to be over and were not; `seen` is `listed` or `ended`.
    void countRunsPastEnd(const std::string& seen, std::uint64_t count);

    /// Counts runs found at an upstream that its owner does not know; `found` is `first-poll`, `later-poll` or `restarted`.
    void countUnclaimedRuns(const std::string& found, std::uint64_t count);

    /// Counts runs that waited for a better place; `outcome` is `better-place` or `free-place`.
    void countWaits(const std::string& outcome, std::uint64_t count);

    /// Counts requests and connections that a server refused or closed because of its limits. `reason` is `connections`,
    /// `replaced`, `too-large` or `memory`.
    void countInputRefused(const std::string& port, const std::string& reason, double count);

    /// Counts connections that ended without a complete reply to a request. `cause` is `not-replied`, `not-sent`, `stopped`,
    /// `incomplete` or `not-read`.
    void countUnanswered(const std::string& port, const std::string& cause, double count);

    /// Records the response time of a job.
    void observeResponse(const std::string& urgencyClass, Duration responseTime);

    /// Sets a gauge: `view_epoch`, `manifest_revision`, `claims`, `queued_tasks`, `tasks_in_flight`, `upstreams_aside`.
    void setGauge(const std::string& name, double value);

    /// Sets the time and count of each kind of work, and the process's processor time.
    void setWork(const WorkMeter& work);

    /// Renders all metrics in the Prometheus text format.
    std::string render() const;

private:
    struct Families;

    std::shared_ptr<prometheus::Registry> m_registry;
    std::unique_ptr<Families> m_families;
};

} // namespace egrettrestle
