#include <egrettrestle/decision/upstream_speed.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace egrettrestle {

namespace {

    // Weight of a new run in the moving average. An upstream gets about 9 runs a second under load, so a change by a factor
    // of 2 is known after about a second.
    constexpr double smoothingFactor = 1.0 / 16;
    // Up to this many runs the plain mean is used instead of the moving average.
    constexpr int minMovingMeanRuns = 16;
    // The average counts as if this many runs of exactly the expected duration had been recorded before.
    constexpr double priorRuns = 4;
    // Fewer runs say nothing about an upstream.
    constexpr int minRuns = 5;
    // Standard deviation of the logarithm of measured over expected duration: callers' estimates are off by 40%.
    constexpr double runDeviation = 0.4;
    // Differences of up to this many standard errors plus the margin are ignored. With 60 upstreams and 9 runs a second on
    // each, two standard errors would be exceeded by chance all the time.
    constexpr double significantErrors = 3;
    constexpr double margin = 0.1;
    // Bounds the effect of one run: 3 in 100 jobs have 7 times the usual work.
    constexpr double maxLogFactor = 0.9;
    // An upstream that is not slower for all its runs is used within a fraction of this time, even at low load.
    constexpr Seconds retention { 10 };

    /// Standard error of the moving average over a number of runs.
    double standardError(int runs)
    {
        const double movingMeanRuns = 2 / smoothingFactor - 1;
        const double effective = runs < minMovingMeanRuns ? runs : std::min<double>(runs, movingMeanRuns);
        return runDeviation / std::sqrt(effective);
    }

}

void UpstreamSpeed::record(const UpstreamId& upstream, const std::string& kind, Milliseconds expected, Milliseconds measured, TimePoint now)
{
    if (expected.count() <= 0 || measured.count() <= 0)
        return;
    const double ratio = std::log(static_cast<double>(measured.count()) / static_cast<double>(expected.count()));
    History& history = m_histories[upstream];
    if (history.kind != kind) {
        m_factors.erase(upstream);
        history = {};
        history.kind = kind;
    }
    const double weight = history.runs < minMovingMeanRuns ? 1.0 / (history.runs + 1) : smoothingFactor;
    history.mean += (std::clamp(ratio, -maxLogFactor, maxLogFactor) - history.mean) * weight;
    ++history.runs;
    history.lastRun = now;
    updateFactors(kind);
}

void UpstreamSpeed::forget(const UpstreamId& upstream)
{
    m_histories.erase(upstream);
    m_factors.erase(upstream);
}

void UpstreamSpeed::expire(TimePoint now)
{
    for (auto entry = m_histories.begin(); entry != m_histories.end();) {
        if (now - entry->second.lastRun <= retention) {
            ++entry;
            continue;
        }
        m_factors.erase(entry->first);
        entry = m_histories.erase(entry);
    }
}

double UpstreamSpeed::factor(const UpstreamId& upstream) const
{
    const auto known = m_factors.find(upstream);
    return known == m_factors.end() ? 1 : known->second;
}

// Upstreams are compared with the median of their kind, not with the expected duration: what all upstreams of a kind have in
// common is the kind's slowness or an error of the expectation, and belongs to RunTimeEstimator.
void UpstreamSpeed::updateFactors(const std::string& kind)
{
    std::vector<double> means;
    const auto shrunkMean = [](const History& history) { return history.mean * history.runs / (history.runs + priorRuns); };
    for (const auto& entry : m_histories) {
        if (entry.second.kind == kind && entry.second.runs >= minRuns)
            means.push_back(shrunkMean(entry.second));
    }
    if (means.empty())
        return;
    // Of two upstreams, the faster one counts as normal.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    const double median = *middle;
    const double medianError = std::sqrt(1 + 1 / static_cast<double>(means.size()));
    for (const auto& entry : m_histories) {
        const History& history = entry.second;
        if (history.kind != kind)
            continue;
        const double difference = shrunkMean(history) - median;
        const bool significant = history.runs >= minRuns && std::abs(difference) > significantErrors * standardError(history.runs) * medianError + margin;
        if (significant)
            m_factors[entry.first] = std::exp(std::clamp(difference, -maxLogFactor, maxLogFactor));
        else
            m_factors.erase(entry.first);
    }
}

} // namespace egrettrestle
