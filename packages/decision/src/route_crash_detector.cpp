#include <egrettrestle/decision/route_crash_detector.hpp>

#include <algorithm>
#include <cmath>

namespace egrettrestle {

namespace {

    // Share of the crashes that a crashing route is assumed to cause; the others may have any cause.
    constexpr double causedShare = 0.5;
    // A route is crashing from the first score on, until its score falls below the second one.
    constexpr double crashingScore = 3.5;
    constexpr double harmlessScore = 1;
    constexpr double maxScore = 8;
    constexpr Seconds halfLife { 2 };

}

void RouteCrashDetector::record(const std::vector<RouteExposure>& exposures)
{
    for (const RouteExposure& exposure : exposures) {
        const double share = std::clamp(exposure.share, 0.05, 0.95);
        const double likelihoodRatio = exposure.present ? (causedShare + (1 - causedShare) * share) / share : 1 - causedShare;
        Evidence& evidence = m_routes[exposure.route];
        evidence.score = std::clamp(evidence.score + std::log(likelihoodRatio), 0.0, maxScore);
        evidence.crashing = evidence.score >= (evidence.crashing ? harmlessScore : crashingScore);
    }
}

void RouteCrashDetector::decay(TimePoint now)
{
    const double factor = std::exp2(-toSeconds(now - m_decayedAt) / toSeconds(halfLife));
    m_decayedAt = now;
    for (auto entry = m_routes.begin(); entry != m_routes.end();) {
        Evidence& evidence = entry->second;
        evidence.score *= factor;
        evidence.crashing = evidence.crashing && evidence.score >= harmlessScore;
        entry = evidence.score < 0.01 ? m_routes.erase(entry) : std::next(entry);
    }
}

bool RouteCrashDetector::isCrashing(const std::string& route) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && found->second.crashing;
}

} // namespace egrettrestle
