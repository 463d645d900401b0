#pragma once

#include <map>
#include <string>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// Finds routes whose tasks crash upstreams, by a cumulative sum (CUSUM) of log likelihood ratios: a route that is present at
/// far more crashes than its share of the upstreams explains is crashing. Upstreams that crash by themselves have any route.
/// Not thread-safe.
class RouteCrashDetector {
public:
    /// Adds one crash, with the routes that were running on the crashed upstream and on the others.
    void record(const std::vector<RouteExposure>& exposures);

    /// Lets the evidence fade, so that a route is not restricted for longer than it crashes upstreams.
    void decay(TimePoint now);

    bool isCrashing(const std::string& route) const;

private:
    struct Evidence {
        double score = 0;
        bool crashing = false;
    };

    std::map<std::string, Evidence> m_routes;
    TimePoint m_decayedAt {};
};

} // namespace egrettrestle
