#pragma once

#include <map>
#include <string>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// Learns how long the tasks of a route take, and how much slower one kind of upstream is than another. Declared
/// estimates are far off, so a forecast lies between the estimate, corrected by the mean error, and the mean duration.
class RunTimeEstimator {
public:
    /// Records a run that ended well.
    void record(const std::string& route, const std::string& kind, Milliseconds estimate, Milliseconds took);

    /// The expected duration on an upstream of ordinary speed.
    Milliseconds expectedRunTime(const std::string& route, Milliseconds estimate) const;

    /// Duration on a kind of upstream over the duration on the fastest kind; 1 for a kind not yet known.
    double slowness(const std::string& kind) const;

private:
    struct RouteTimes {
        double meanMs = 0;
        double errorFactor = 1;
        int samples = 0;
    };

    struct KindTimes {
        double factor = 1;
        int samples = 0;
    };

    double fastestFactor() const;

    std::map<std::string, RouteTimes> m_routes;
    std::map<std::string, KindTimes> m_kinds;
};

} // namespace egrettrestle
