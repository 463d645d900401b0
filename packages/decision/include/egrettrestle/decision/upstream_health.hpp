#pragma once

#include <map>
#include <string>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// What an upstream may be given at a moment.
enum class UpstreamState {
    /// Work up to its slots.
    Live,
    /// One task at a time, to see whether it has recovered.
    Probe,
    /// Nothing.
    Aside,
};

/// The numbers behind ejection; sources in docs/DESIGN.md, "Upstream health".
struct HealthPolicy {
    /// Failures in a row that put an upstream aside.
    int failuresInRow = 3;
    /// How long it stays aside the first time; doubles each time up to the limit.
    Milliseconds firstPause { 500 };
    Milliseconds longestPause { 16'000 };
    /// An upstream whose run times are on average this many times those of the fleet counts as slow.
    double slowFactor = 3.0;
    /// Tasks that must have been measured before an upstream can count as slow.
    int slowSamples = 4;
    /// The share of upstreams that stay in use, whatever their health.
    double floorShare = 0.5;
};

/// What is known of one upstream.
struct UpstreamRecord {
    int failures = 0;
    int pauses = 0;
    TimePoint asideUntil {};
    bool aside = false;
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
    bool noteSuccess(const UpstreamId& upstream, const std::string& kind, Duration runTime, TimePoint now);
    /// `atOnce` puts it aside without waiting for more failures. True if this put the upstream aside.
    bool noteFailure(const UpstreamId& upstream, bool atOnce, TimePoint now);
    void forget(const UpstreamId& upstream);
    /// The record of an upstream, begun if there is none. It stays where it is until the upstream is forgotten, so that
    /// whoever looks at many upstreams for each task need not find them by name.
    const UpstreamRecord& record(const UpstreamId& upstream) { return m_records[upstream]; }
    /// @}
    /// @name lookup
    /// @{

    /// The state an upstream has by its own record, without the floor.
    UpstreamState state(const UpstreamRecord& record, TimePoint now) const;
    UpstreamState state(const UpstreamId& upstream, TimePoint now) const;

    /// The upstream's average run time over that of the fleet; 1 if unknown.
    double slowness(const UpstreamRecord& record) const { return record.samples == 0 ? 1 : record.slowness; }

    bool isSlow(const UpstreamRecord& record) const { return record.samples >= m_policy.slowSamples && record.slowness > m_policy.slowFactor; }
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

    void putAside(UpstreamRecord& record, TimePoint now) const;

    HealthPolicy m_policy;
    std::map<UpstreamId, UpstreamRecord> m_records;
    std::map<std::string, Learned> m_kinds;
};

} // namespace egrettrestle
