#include <egrettrestle/decision/run_time_estimator.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    // Weight of a new sample in the exponential moving mean, which follows a change within some tens of runs.
    constexpr double smoothingFactor = 0.05;
    // Up to this many samples the plain mean is used instead of the moving mean.
    constexpr int minMovingMeanSamples = 20;
    // Samples of a kind of upstream that are needed before its speed is used.
    constexpr int minKindSamples = 10;
    // Weight of the corrected estimate relative to the mean run time: both have errors of about the same size.
    constexpr double estimateWeight = 0.5;
    // A run that takes this many times longer than expected reflects a problem of the upstream, not of the route.
    constexpr double outlierFactor = 4;

    // Estimates may be wrong by any factor. A longer time would exceed 64 bits in nanoseconds once it is multiplied.
    constexpr double maxRunTimeMs = 1e9;

    // Runs whose errors are kept for shortestRunTime(), and the number of them that is needed. One job in 33 has seven times
    // the usual work, and the tasks of a job have the same error, so that some tens of jobs have to be among them.
    constexpr std::size_t maxErrors = 256;
    constexpr std::size_t minErrors = 100;

    void updateMean(double& mean, int samples, double value)
    {
        const double weight = samples < minMovingMeanSamples ? 1.0 / (samples + 1) : smoothingFactor;
        mean += (value - mean) * weight;
    }

}

void RunTimeEstimator::record(const std::string& route, const std::string& kind, Milliseconds estimate, Milliseconds duration)
{
    const double durationMs = static_cast<double>(duration.count());
    const double expectedMs = static_cast<double>(std::max(expectedRunTime(route, estimate), Milliseconds { 1 }).count());
    RouteTimes& times = m_routes[route];
    if (times.samples >= minMovingMeanSamples && durationMs > outlierFactor * expectedMs)
        return;
    KindTimes& kindTimes = m_kinds[kind];
    updateMean(kindTimes.factor, kindTimes.samples, durationMs / expectedMs);
    ++kindTimes.samples;
    const double normalisedMs = durationMs / slowness(kind);
    updateMean(times.meanMs, times.samples, normalisedMs);
    if (estimate.count() > 0) {
        const double error = normalisedMs / static_cast<double>(estimate.count());
        if (times.latestErrors.size() < maxErrors)
            times.latestErrors.push_back(error);
        else
            times.latestErrors[times.nextError] = error;
        times.nextError = (times.nextError + 1) % maxErrors;
    }
    if (estimate.count() > 0)
        updateMean(times.errorFactor, times.samples, normalisedMs / static_cast<double>(estimate.count()));
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
    return Milliseconds { static_cast<std::int64_t>(std::min(maxRunTimeMs, estimateWeight * corrected + (1 - estimateWeight) * times.meanMs)) };
}

Milliseconds RunTimeEstimator::shortestRunTime(const std::string& route, Milliseconds estimate) const
{
    const auto known = m_routes.find(route);
    if (known == m_routes.end() || known->second.latestErrors.size() < minErrors || estimate.count() <= 0)
        return Milliseconds { 0 };
    const std::vector<double>& errors = known->second.latestErrors;
    return Milliseconds { static_cast<std::int64_t>(std::min(maxRunTimeMs, static_cast<double>(estimate.count()) * *std::min_element(errors.begin(), errors.end()))) };
}

double RunTimeEstimator::slowness(const std::string& kind) const
{
    const auto known = m_kinds.find(kind);
    if (known == m_kinds.end() || known->second.samples < minKindSamples)
        return 1;
    return std::max(1.0, known->second.factor / smallestFactor());
}

double RunTimeEstimator::smallestFactor() const
{
    double smallest = 0;
    for (const auto& kind : m_kinds) {
        if (kind.second.samples >= minKindSamples && (smallest == 0 || kind.second.factor < smallest))
            smallest = kind.second.factor;
    }
    return smallest == 0 ? 1 : smallest;
}

} // namespace egrettrestle
