#include <egrettrestle/decision/queueing_delay.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    // Samples older than this are left out. With shorter windows a route of a few runs a second has no estimate; with longer
    // ones jobs are refused after the queues have gone.
    constexpr Milliseconds window { 500 };
    // The message about a start may be deferred by 50 ms and takes some milliseconds both ways. Waits are known only beyond.
    constexpr Milliseconds messageDelay { 65 };
    // A job is as late as the last of its tasks, so most runs have to start in time.
    constexpr double quantile = 0.8;
    constexpr std::size_t minSamples = 3;
    // Bounds the memory; more than a VM's runs in the window at the highest load seen.
    constexpr std::size_t maxSamples = 256;
    // Interval of the jobs admitted against the estimate. Shorter than the window, so that samples do not run out.
    constexpr Milliseconds probeInterval { 250 };

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

bool QueueingDelay::admitsProbe(const std::string& service, int priority, TimePoint now)
{
    const auto last = m_lastProbe.find({ service, priority });
    if (last != m_lastProbe.end() && now - last->second < probeInterval)
        return false;
    m_lastProbe[{ service, priority }] = now;
    return true;
}

} // namespace egrettrestle
