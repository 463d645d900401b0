#include <egrettrestle/decision/upstream_health.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    constexpr double upstreamWeight = 0.2;
    constexpr double kindWeight = 0.05;
    constexpr int kindSamples = 8;
    // One very long task must not make an upstream look slow by itself.
    constexpr double largestRatio = 20;

    double blend(double average, double sample, double weight, int samples)
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
    Learned& learned = m_kinds[kind];
    const double seconds = toSeconds(runTime);
    if (learned.samples >= kindSamples && learned.seconds > 0) {
        const double ratio = std::min(seconds / learned.seconds, largestRatio);
        record.slowness = blend(record.slowness, ratio, upstreamWeight, record.samples);
        ++record.samples;
    }
    // Samples of a slow upstream would raise the very average it is compared with.
    if (!isSlow(record)) {
        learned.seconds = blend(learned.seconds, seconds, kindWeight, learned.samples);
        ++learned.samples;
    }
    if (isSlow(record)) {
        if (!record.ejected || now >= record.ejectedUntil)
            putAside(record, now);
        return false;
    }
    const bool takenBack = record.ejected;
    record.ejected = false;
    record.ejections = 0;
    return takenBack;
}

bool UpstreamHealth::recordFailure(const UpstreamId& upstream, bool atOnce, TimePoint now)
{
    UpstreamHealthRecord& record = m_records[upstream];
    ++record.consecutiveFailures;
    const bool failedProbe = record.ejected && now >= record.ejectedUntil;
    const bool due = atOnce || failedProbe || record.consecutiveFailures >= m_policy.consecutiveFailures;
    if (!due || (record.ejected && !failedProbe))
        return false;
    putAside(record, now);
    return true;
}

void UpstreamHealth::putAside(UpstreamHealthRecord& record, TimePoint now) const
{
    constexpr int mostDoublings = 20;
    const Milliseconds pause = std::min(m_policy.maxEjectionTime, m_policy.baseEjectionTime * (1 << std::min(record.ejections, mostDoublings)));
    record.ejected = true;
    record.ejectedUntil = now + pause;
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
    if (found == m_kinds.end() || found->second.samples < kindSamples)
        return fallback;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(found->second.seconds));
}

} // namespace egrettrestle
