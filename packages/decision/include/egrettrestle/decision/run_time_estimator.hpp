#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// Estimates the run times of a route's tasks, and the relative speed of each kind of upstream, from completed runs.
/// Callers' estimates are far off, so the expected run time lies between the estimate, corrected by its mean error, and
/// the mean run time of the route.
class RunTimeEstimator {
public:
    /// Records a successful run on an upstream of a kind. Ignores outliers.
    void record(const std::string& route, const std::string& kind, Milliseconds estimate, Milliseconds duration);

    /// The expected run time on an upstream of average speed; `estimate` until the route has completed runs.
    Milliseconds expectedRunTime(const std::string& route, Milliseconds estimate) const;

    /// The shortest run time that the latest runs of the route give reason to expect, on the fastest kind of upstream: the
    /// estimate times the smallest ratio of actual to estimated time among them. 0 with too few runs or no estimate.
    Milliseconds shortestRunTime(const std::string& route, Milliseconds estimate) const;

    /// The ratio of the run time on a kind of upstream to that on the fastest kind; 1 for a kind with too few runs.
    double slowness(const std::string& kind) const;

private:
    struct RouteTimes {
        double meanMs = 0;
        double errorFactor = 1;
        int samples = 0;
        /// Ratios of actual to estimated run times of the latest runs; the oldest is replaced next.
        std::vector<double> latestErrors;
        std::size_t nextError = 0;
    };

    struct KindTimes {
        double factor = 1;
        int samples = 0;
    };

    double smallestFactor() const;

    std::map<std::string, RouteTimes> m_routes;
    std::map<std::string, KindTimes> m_kinds;
};

} // namespace egrettrestle
