#pragma once

#include <map>
#include <string>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// Estimates how fast each upstream is compared with the other upstreams of its kind, from completed runs. Upstreams that
/// differ by no more than chance explains count as equal. Not thread-safe.
class UpstreamSpeed {
public:
    /// Records a completed run. `expected` is its expected duration on an upstream of the kind, wherever its data is.
    /// Ignored if either duration is not positive.
    void record(const UpstreamId& upstream, const std::string& kind, Milliseconds expected, Milliseconds measured, TimePoint now);

    /// Forgets an upstream that has restarted or has another owner.
    void forget(const UpstreamId& upstream);

    /// Forgets upstreams without a completed run for some seconds. Without this, an upstream that is avoided because it was
    /// slow would never be found to have recovered.
    void expire(TimePoint now);

    /// Duration of a run on the upstream relative to its kind; 1 if it is unknown or does not differ significantly.
    double factor(const UpstreamId& upstream) const;

private:
    struct History {
        std::string kind;
        /// Moving average of the logarithm of measured over expected duration.
        double mean = 0;
        int runs = 0;
        TimePoint lastRun;
    };

    void updateFactors(const std::string& kind);

    std::map<UpstreamId, History> m_histories;
    /// Only upstreams that differ significantly from their kind.
    std::map<UpstreamId, double> m_factors;
};

} // namespace egrettrestle
