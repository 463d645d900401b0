#pragma once

#include <map>
#include <string>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// How much work an upstream may be assigned.
enum class UpstreamState {
    /// As many tasks as it has slots.
    Healthy,
    /// One task at a time, to test whether it has recovered.
    Probing,
    /// None.
    Ejected,
};

/// Parameters of upstream ejection; docs/DESIGN.md, "Upstream health", explains the values.
struct HealthPolicy {
    /// Number of consecutive failures after which an upstream is ejected.
    int consecutiveFailures = 3;
    /// Duration of the first ejection. Each further one lasts twice as long, up to the maximum.
    Milliseconds baseEjectionTime { 500 };
    /// Maximum duration of an ejection.
    Milliseconds maxEjectionTime { 16'000 };
    /// An upstream is slow if its run times exceed the average of all upstreams by this factor.
    double slowFactor = 3.0;
    /// Number of measured tasks that are needed before an upstream can count as slow.
    int minSlowSamples = 4;
    /// If fewer than this share of the upstreams are healthy, slow ones stay in use.
    double minAvailableShare = 0.5;
};

/// Health state of one upstream.
struct UpstreamHealthRecord {
    /// Failures since the last success.
    int consecutiveFailures = 0;
    /// Ejections since the upstream was last healthy.
    int ejections = 0;
    TimePoint ejectedUntil {};
    bool ejected = false;
    /// Moving average of the ratio of its run times to those of all upstreams.
    double slowness = 1;
    /// Number of run times in `slowness`.
    int samples = 0;
};

/// Tracks the health and speed of upstreams and ejects failing and slow ones (outlier detection). An ejected upstream is
/// probed with single tasks once its ejection time is over. Does no I/O; not thread-safe.
class UpstreamHealth {
public:
    explicit UpstreamHealth(HealthPolicy policy = {});

    /// @name modifiers
    /// @{
    /// Records a successful run. Returns true if an ejected upstream became healthy by it. A slow upstream is ejected
    /// (again) instead.
    bool recordSuccess(const UpstreamId& upstream, const std::string& kind, Duration runTime, TimePoint now);
    /// Records a failed run. `immediately` ejects the upstream without waiting for more failures. Returns true if the
    /// upstream was ejected by it, for the first time or after a failed probe.
    bool recordFailure(const UpstreamId& upstream, bool immediately, TimePoint now);
    /// Removes the record of an upstream.
    void remove(const UpstreamId& upstream);
    /// The record of an upstream; created if there is none. The reference stays valid until the record is removed, so that
    /// code that checks many upstreams for each task need not look them up by name.
    const UpstreamHealthRecord& record(const UpstreamId& upstream) { return m_records[upstream]; }
    /// @}
    /// @name lookup
    /// @{

    /// The state of an upstream by its own record, regardless of how many others are healthy. An upstream without a record
    /// is healthy.
    UpstreamState state(const UpstreamHealthRecord& record, TimePoint now) const;
    UpstreamState state(const UpstreamId& upstream, TimePoint now) const;

    /// The ratio of the upstream's run times to those of all upstreams; 1 if unknown.
    double slowness(const UpstreamHealthRecord& record) const { return record.samples == 0 ? 1 : record.slowness; }

    /// Whether the upstream is slower than the policy allows; false while it has too few samples.
    bool isSlow(const UpstreamHealthRecord& record) const { return record.samples >= m_policy.minSlowSamples && record.slowness > m_policy.slowFactor; }
    bool isSlow(const UpstreamId& upstream) const;

    /// The average run time of a kind of task on all upstreams; `fallback` while there are too few samples.
    Duration expectedRunTime(const std::string& kind, Duration fallback) const;
    /// @}

    const HealthPolicy& policy() const { return m_policy; }

private:
    /// Moving average of the run time of one kind of task.
    struct RunTimeAverage {
        double seconds = 0;
        int samples = 0;
    };

    void eject(UpstreamHealthRecord& record, TimePoint now) const;

    HealthPolicy m_policy;
    std::map<UpstreamId, UpstreamHealthRecord> m_records;
    std::map<std::string, RunTimeAverage> m_kinds;
};

} // namespace egrettrestle
