#pragma once

#include <map>
#include <string>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// What an upstream may be given at a moment.
enum class UpstreamState {
    /// Work up to its slots.
    Healthy,
    /// One task at a time, to see whether it has recovered.
    Probing,
    /// Nothing.
    Ejected,
};

/// The numbers behind ejection; sources in docs/DESIGN.md, "Upstream health".
struct HealthPolicy {
    /// Failures in a row that put an upstream aside.
    int consecutiveFailures = 3;
    /// How long it stays aside the first time; doubles each time up to the limit.
    Milliseconds baseEjectionTime { 500 };
    Milliseconds maxEjectionTime { 16'000 };
    /// An upstream whose run times are on average this many times those of the fleet counts as slow.
    double slowFactor = 3.0;
    /// Tasks that must have been measured before an upstream can count as slow.
    int minSlowSamples = 4;
    /// The share of upstreams that stay in use, whatever their health.
    double minAvailableShare = 0.5;
};

/// What is known of one upstream.
struct UpstreamHealthRecord {
    int consecutiveFailures = 0;
    int ejections = 0;
    TimePoint ejectedUntil {};
    bool ejected = false;
    double slowness = 1;
    int samples = 0;
};

/// Tracks the health and speed of upstreams. Pure; calls must not overlap.
class UpstreamHealth {
public:
    explicit UpstreamHealth(HealthPolicy policy = {});

    /// @name modifiers
    /// @{
    /// True if this took an upstream back that had been put aside.
    bool recordSuccess(const UpstreamId& upstream, const std::string& kind, Duration runTime, TimePoint now);
    /// `atOnce` puts it aside without waiting for more failures. True if this put the upstream aside.
    bool recordFailure(const UpstreamId& upstream, bool atOnce, TimePoint now);
    void remove(const UpstreamId& upstream);
    /// The record of an upstream, begun if there is none. It stays where it is until the upstream is forgotten, so that
    /// whoever looks at many upstreams for each task need not find them by name.
    const UpstreamHealthRecord& record(const UpstreamId& upstream) { return m_records[upstream]; }
    /// @}
    /// @name lookup
    /// @{

    /// The state an upstream has by its own record, without the floor.
    UpstreamState state(const UpstreamHealthRecord& record, TimePoint now) const;
    UpstreamState state(const UpstreamId& upstream, TimePoint now) const;

    /// The upstream's average run time over that of the fleet; 1 if unknown.
    double slowness(const UpstreamHealthRecord& record) const { return record.samples == 0 ? 1 : record.slowness; }

    bool isSlow(const UpstreamHealthRecord& record) const { return record.samples >= m_policy.minSlowSamples && record.slowness > m_policy.slowFactor; }
    bool isSlow(const UpstreamId& upstream) const;

    /// The learned run time of a kind over all upstreams, or `fallback` while too few tasks were measured.
    Duration expectedRunTime(const std::string& kind, Duration fallback) const;
    /// @}

    const HealthPolicy& policy() const { return m_policy; }

private:
    struct Learned {
        double seconds = 0;
        int samples = 0;
    };

    void putAside(UpstreamHealthRecord& record, TimePoint now) const;

    HealthPolicy m_policy;
    std::map<UpstreamId, UpstreamHealthRecord> m_records;
    std::map<std::string, Learned> m_kinds;
};

} // namespace egrettrestle
