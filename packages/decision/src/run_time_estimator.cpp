#include <egrettrestle/decision/run_time_estimator.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    // Share of a new sample in a moving mean: follows a change within some tens of runs.
    constexpr double sampleShare = 0.05;
    // Samples that are averaged plainly before the moving mean takes over.
    constexpr int warmUpSamples = 20;
    // Samples of a kind before its speed is trusted.
    constexpr int trustedSamples = 10;
    // Weight of the corrected estimate against the mean duration: both err by about the same.
    constexpr double estimateWeight = 0.5;
    // A run this many times longer than expected says something about the upstream, not about the route.
    constexpr double outlierFactor = 4;

    void average(double& mean, int samples, double value)
    {
        const double share = samples < warmUpSamples ? 1.0 / (samples + 1) : sampleShare;
        mean += (value - mean) * share;
    }

}

void RunTimeEstimator::record(const std::string& route, const std::string& kind, Milliseconds estimate, Milliseconds took)
{
    const double tookMs = static_cast<double>(took.count());
    const double expectedMs = static_cast<double>(std::max(expectedRunTime(route, estimate), Milliseconds { 1 }).count());
    RouteTimes& times = m_routes[route];
    if (times.samples >= warmUpSamples && tookMs > outlierFactor * expectedMs)
        return;
    KindTimes& kindTimes = m_kinds[kind];
    average(kindTimes.factor, kindTimes.samples, tookMs / expectedMs);
    ++kindTimes.samples;
    const double ordinaryMs = tookMs / slowness(kind);
    average(times.meanMs, times.samples, ordinaryMs);
    if (estimate.count() > 0)
        average(times.errorFactor, times.samples, ordinaryMs / static_cast<double>(estimate.count()));
    ++times.samples;
}

Milliseconds RunTimeEstimator::expectedRunTime(const std::string& route, Milliseconds estimate) const
{
    const auto known = m_routes.find(route);
    if (known == m_routes.end() || known->second.samples == 0)
        return estimate;
    const RouteTimes& times = known->second;
    if (estimate.count() <= 0)
        return Milliseconds { static_cast<std::int64_t>(times.meanMs) };
    const double corrected = static_cast<double>(estimate.count()) * times.errorFactor;
    return Milliseconds { static_cast<std::int64_t>(estimateWeight * corrected + (1 - estimateWeight) * times.meanMs) };
}

double RunTimeEstimator::slowness(const std::string& kind) const
{
    const auto known = m_kinds.find(kind);
    if (known == m_kinds.end() || known->second.samples < trustedSamples)
        return 1;
    return std::max(1.0, known->second.factor / fastestFactor());
}

double RunTimeEstimator::fastestFactor() const
{
    double fastest = 0;
    for (const auto& kind : m_kinds) {
        if (kind.second.samples >= trustedSamples && (fastest == 0 || kind.second.factor < fastest))
            fastest = kind.second.factor;
    }
    return fastest == 0 ? 1 : fastest;
}

} // namespace egrettrestle
