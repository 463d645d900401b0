#include <egrettrestle/decision/queueing_delay.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    // Samples older than this are left out. With shorter windows a route of a few runs a second has no estimate; with longer
    // ones jobs are refused after the queues have gone.
    constexpr Milliseconds window { 500 };
    // The message about a start may be deferred by 50 ms and takes some milliseconds both ways. Waits are known only beyond.
    constexpr Milliseconds messageDelay { 65 };
    // With 0.8, at 1.7 times the capacity, jobs were refused that the forecast rightly admitted: some runs always start at the
    // last moment, since the earliest due goes first.
    constexpr double quantile = 0.5;
    constexpr std::size_t minSamples = 3;
    // Bounds the memory; more than a VM's runs in the window at the highest load seen.
    constexpr std::size_t maxSamples = 256;
    // Least part of the jobs that is admitted against the estimate.
    constexpr double minPart = 0.1;

    Milliseconds withoutMessageDelay(Milliseconds wait) { return std::max(Milliseconds { 0 }, wait - messageDelay); }

}

void QueueingDelay::record(const std::string& service, int priority, Milliseconds wait, TimePoint now)
{
    std::deque<Sample>& samples = m_samples[{ service, priority }];
    samples.push_back({ now, withoutMessageDelay(wait) });
    while (samples.size() > maxSamples || now - samples.front().at > window)
        samples.pop_front();
}

Milliseconds QueueingDelay::quantileOf(const Key& key, TimePoint now) const
{
    std::vector<Milliseconds> waits;
    const auto samples = m_samples.find(key);
    if (samples != m_samples.end()) {
        for (const Sample& sample : samples->second) {
            if (now - sample.at <= window)
                waits.push_back(sample.wait);
        }
    }
    const auto waiting = m_waiting.find(key);
    if (waiting != m_waiting.end()) {
        // The final wait of a run that has just been sent is unknown.
        for (const Milliseconds age : waiting->second) {
            if (age > messageDelay)
                waits.push_back(withoutMessageDelay(age));
        }
    }
    if (waits.size() < minSamples)
        return Milliseconds { 0 };
    const auto place = waits.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(waits.size() - 1) * quantile);
    std::nth_element(waits.begin(), place, waits.end());
    return *place;
}

Milliseconds QueueingDelay::expectedWait(const std::string& service, int priority, TimePoint now) const
{
    const Milliseconds own = quantileOf({ service, priority }, now);
    return priority == 0 ? own : std::max(own, quantileOf({ service, 0 }, now));
}

bool QueueingDelay::admitsAnyway(const std::string& service, int priority, Milliseconds tolerated, Milliseconds expected)
{
    double& credit = m_credit[{ service, priority }];
    const double part = static_cast<double>(tolerated.count()) / static_cast<double>(std::max<std::int64_t>(1, expected.count()));
    credit += std::clamp(part * part, minPart, 1.0);
    if (credit < 1)
        return false;
    credit -= 1;
    return true;
}

} // namespace egrettrestle
