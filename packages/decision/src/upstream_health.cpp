#include <egrettrestle/decision/upstream_health.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    // Weights of a new sample in the moving averages.
    constexpr double slownessSmoothing = 0.2;
    constexpr double runTimeSmoothing = 0.05;
    // Samples of a kind of task that are needed before its average run time is used.
    constexpr int minKindSamples = 8;
    // Upper bound of a single sample, so that one very long task does not make an upstream count as slow.
    constexpr double maxRatio = 20;

    double updatedAverage(double average, double sample, double weight, int samples)
    {
        return samples == 0 ? sample : average + std::max(weight, 1.0 / (samples + 1)) * (sample - average);
    }

}

UpstreamHealth::UpstreamHealth(HealthPolicy policy)
    : m_policy(policy)
{
}

bool UpstreamHealth::recordSuccess(const UpstreamId& upstream, const std::string& kind, Duration runTime, TimePoint now)
{
    UpstreamHealthRecord& record = m_records[upstream];
    record.consecutiveFailures = 0;
    RunTimeAverage& runTimeAverage = m_kinds[kind];
    const double seconds = toSeconds(runTime);
    if (runTimeAverage.samples >= minKindSamples && runTimeAverage.seconds > 0) {
        const double ratio = std::min(seconds / runTimeAverage.seconds, maxRatio);
        record.slowness = updatedAverage(record.slowness, ratio, slownessSmoothing, record.samples);
        ++record.samples;
    }
    // Samples of a slow upstream are left out, since they would raise the average that it is compared with.
    if (!isSlow(record)) {
        runTimeAverage.seconds = updatedAverage(runTimeAverage.seconds, seconds, runTimeSmoothing, runTimeAverage.samples);
        ++runTimeAverage.samples;
    }
    if (isSlow(record)) {
        if (!record.ejected || now >= record.ejectedUntil)
            eject(record, now);
        return false;
    }
    const bool recovered = record.ejected;
    record.ejected = false;
    record.ejections = 0;
    return recovered;
}

bool UpstreamHealth::recordFailure(const UpstreamId& upstream, bool immediately, TimePoint now)
{
    UpstreamHealthRecord& record = m_records[upstream];
    ++record.consecutiveFailures;
    const bool failedProbe = record.ejected && now >= record.ejectedUntil;
    const bool mustEject = immediately || failedProbe || record.consecutiveFailures >= m_policy.consecutiveFailures;
    if (!mustEject || (record.ejected && !failedProbe))
        return false;
    eject(record, now);
    return true;
}

void UpstreamHealth::eject(UpstreamHealthRecord& record, TimePoint now) const
{
    constexpr int maxDoublings = 20;
    const Milliseconds ejectionTime = std::min(m_policy.maxEjectionTime, m_policy.baseEjectionTime * (1 << std::min(record.ejections, maxDoublings)));
    record.ejected = true;
    record.ejectedUntil = now + ejectionTime;
    ++record.ejections;
}

void UpstreamHealth::remove(const UpstreamId& upstream)
{
    m_records.erase(upstream);
}

UpstreamState UpstreamHealth::state(const UpstreamHealthRecord& record, TimePoint now) const
{
    if (!record.ejected)
        return UpstreamState::Healthy;
    return now >= record.ejectedUntil ? UpstreamState::Probing : UpstreamState::Ejected;
}

UpstreamState UpstreamHealth::state(const UpstreamId& upstream, TimePoint now) const
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() ? UpstreamState::Healthy : state(found->second, now);
}

bool UpstreamHealth::isSlow(const UpstreamId& upstream) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && isSlow(found->second);
}

Duration UpstreamHealth::expectedRunTime(const std::string& kind, Duration fallback) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.samples < minKindSamples)
        return fallback;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(found->second.seconds));
}

} // namespace egrettrestle
