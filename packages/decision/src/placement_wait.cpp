#include <egrettrestle/decision/placement_wait.hpp>

#include <algorithm>
#include <array>

namespace egrettrestle {

namespace {

    // Error of the prediction when a busy upstream is free, as a share of the time until then. The runs there differ from
    // their expected duration by 30 to 40%.
    constexpr double availabilityError = 0.35;
    // Error of the prediction how much longer a run takes on one upstream than on another, as a share of its duration.
    constexpr double durationError = 0.25;
    // Upstreams whose speeds differ by less than this factor count as equally fast: no run waits for one of them rather than
    // start on the other, even if it expects to meet its objective only there.
    constexpr double minSpeedRatio = 1.25;
    // How much longer than expected a run may take, as a share of its duration, if it is put on a slow upstream to leave the
    // fast ones to others.
    constexpr double objectiveMargin = 0.25;
    // How many standard deviations the first of several equally uncertain times lies before their mean, by their number.
    constexpr std::array<double, 8> firstOfSeveral { 0, 0.56, 0.85, 1.03, 1.16, 1.27, 1.35, 1.42 };
    // Expected residual time of an overdue run, as a share of its age.
    constexpr double overdueShare = 0.25;
    // Added to a wait for the poll that reports the end of the run waited for.
    constexpr Milliseconds pollAllowance { 20 };
    // A wait ends this long before the latest start, so that the run is started and not returned as expired: ticks and polls
    // are up to some tens of milliseconds apart.
    constexpr Milliseconds startAllowance { 60 };
    constexpr Seconds demandWindow { 1 };
    constexpr Seconds logInterval { 1 };

    Duration scaled(Milliseconds time, double factor) { return std::chrono::duration_cast<Duration>(time * factor); }

    TimePoint endOn(const PlacementTask& task, const PlacementOption& option, TimePoint now)
    {
        return std::max(option.availableAt, now) + scaled(task.expectedRunTime, option.relativeDuration);
    }

    TimePoint latestStartOn(const PlacementTask& task, const PlacementOption& option)
    {
        return task.latestStart - scaled(task.expectedRunTime, option.relativeDuration - 1);
    }

    const PlacementOption* bestFree(const std::vector<PlacementOption>& options, TimePoint now)
    {
        const PlacementOption* best = nullptr;
        for (const PlacementOption& option : options) {
            if (option.availableAt > now)
                continue;
            const bool equal = best && option.relativeDuration == best->relativeDuration;
            if (!best || option.relativeDuration < best->relativeDuration || (equal && option.milliCoresLeft < best->milliCoresLeft))
                best = &option;
        }
        return best;
    }

    const PlacementOption* bestLater(const PlacementTask& task, const std::vector<PlacementOption>& options, const PlacementOption& free, TimePoint now)
    {
        const PlacementOption* best = nullptr;
        for (const PlacementOption& option : options) {
            const bool faster = option.relativeDuration * minSpeedRatio <= free.relativeDuration;
            if (option.availableAt > now && faster && (!best || endOn(task, option, now) < endOn(task, *best, now)))
                best = &option;
        }
        return best;
    }

    /// When the first of the places that are expected at about the same time as the best one is free. A waiting run takes
    /// any of them, but the runs that wait before it take theirs first.
    TimePoint firstAvailable(const PlacementTask& task, const std::vector<PlacementOption>& options, const PlacementOption& later, TimePoint now)
    {
        const Duration wait = later.availableAt - now;
        const TimePoint similar = later.availableAt + std::chrono::duration_cast<Duration>(wait * availabilityError);
        const auto places = static_cast<std::size_t>(std::count_if(options.begin(), options.end(), [&](const PlacementOption& option) {
            return option.availableAt > now && option.availableAt <= similar && option.relativeDuration <= later.relativeDuration;
        }));
        const std::size_t left = places > task.runsAhead ? places - task.runsAhead : 1;
        return later.availableAt - std::chrono::duration_cast<Duration>(wait * availabilityError * firstOfSeveral.at(std::min(left, firstOfSeveral.size()) - 1));
    }

    /// Until when it is worthwhile to wait for an option rather than to start on a free one; empty if it is not.
    std::optional<TimePoint> worthwhileUntil(const PlacementTask& task, const PlacementOption& free, const PlacementOption& later, TimePoint availableAt, TimePoint now)
    {
        const TimePoint dueBy = *task.dueBy;
        const TimePoint freeEnd = endOn(task, free, now);
        const TimePoint laterEnd = availableAt + scaled(task.expectedRunTime, later.relativeDuration);
        const Duration wait = availableAt - now;
        const Duration waitError = std::chrono::duration_cast<Duration>(wait * availabilityError);
        const TimePoint startableUntil = latestStartOn(task, free) - startAllowance;
        TimePoint until = std::min(startableUntil, later.availableAt + waitError + pollAllowance);
        if (freeEnd > dueBy && laterEnd <= dueBy)
            return std::min(startableUntil, dueBy - scaled(task.expectedRunTime, later.relativeDuration));
        if (freeEnd - laterEnd <= waitError + scaled(task.expectedRunTime, later.relativeDuration * durationError))
            return std::nullopt;
        if (freeEnd <= dueBy)
            until = std::min(until, dueBy - scaled(task.expectedRunTime, free.relativeDuration));
        return until;
    }

}

PlacementDecision choosePlacement(const PlacementTask& task, const std::vector<PlacementOption>& options, PlacementWaitState& state, TimePoint now)
{
    const PlacementOption* free = bestFree(options, now);
    if (!free)
        return {};
    const PlacementDecision start { PlacementDecision::Kind::Start, static_cast<std::size_t>(free - options.data()), now };
    const PlacementOption* later = bestLater(task, options, *free, now);
    const bool mayWait = task.dueBy && task.expectedRunTime.count() > 0 && (!state.since || now < state.until);
    if (!mayWait || !later)
        return start;
    const TimePoint availableAt = firstAvailable(task, options, *later, now);
    std::optional<TimePoint> until = worthwhileUntil(task, *free, *later, availableAt, now);
    if (until && state.since)
        until = std::min(*until, state.until);
    // A wait that ends before the place is expected is of no use.
    if (!until || *until <= now || availableAt > *until)
        return start;
    if (!state.since)
        state = { now, *until, free->relativeDuration };
    return { PlacementDecision::Kind::Wait, static_cast<std::size_t>(later - options.data()), *until };
}

bool meetsObjectiveWithMargin(const PlacementTask& task, double relativeDuration, TimePoint now)
{
    return task.dueBy && now + scaled(task.expectedRunTime, relativeDuration * (1 + objectiveMargin)) <= *task.dueBy;
}

double greatestDurationWithMargin(const PlacementTask& task, TimePoint now)
{
    if (!task.dueBy || *task.dueBy <= now || task.expectedRunTime.count() <= 0)
        return 0;
    return toSeconds(*task.dueBy - now) / (toSeconds(task.expectedRunTime) * (1 + objectiveMargin));
}

TimePoint expectedEnd(TimePoint startedAt, Milliseconds expectedDuration, TimePoint now)
{
    const Duration age = std::max(now - startedAt, Duration { 0 });
    return now + std::max(expectedDuration - age, std::chrono::duration_cast<Duration>(age * overdueShare));
}

void WaitCounts::add(WaitOutcome outcome, Milliseconds waited)
{
    Count& count = m_counts[outcome];
    ++count.waits;
    count.total += waited;
}

std::map<WaitOutcome, WaitCounts::Count> WaitCounts::takeDue(TimePoint now)
{
    if (m_counts.empty() || now - m_takenAt < logInterval)
        return {};
    m_takenAt = now;
    std::map<WaitOutcome, Count> counts;
    counts.swap(m_counts);
    return counts;
}

void FastDemand::record(const std::string& service, double maxRelativeDuration, std::int64_t milliCores, TimePoint now)
{
    recent(service, now).push_back({ now, maxRelativeDuration, milliCores });
}

std::deque<FastDemand::Sample>& FastDemand::recent(const std::string& service, TimePoint now)
{
    std::deque<Sample>& samples = m_samples[service];
    while (!samples.empty() && now - samples.front().at > demandWindow)
        samples.pop_front();
    return samples;
}

std::optional<double> FastDemand::maxRelativeDuration(const std::string& service, TimePoint now)
{
    const std::deque<Sample>& samples = recent(service, now);
    const auto greatest = std::max_element(samples.begin(), samples.end(), [](const Sample& left, const Sample& right) { return left.maxRelativeDuration < right.maxRelativeDuration; });
    return greatest == samples.end() ? std::nullopt : std::optional<double>(greatest->maxRelativeDuration);
}

std::int64_t FastDemand::largestNeed(const std::string& service, TimePoint now)
{
    std::int64_t largest = 0;
    for (const Sample& sample : recent(service, now))
        largest = std::max(largest, sample.milliCores);
    return largest;
}

std::int64_t FastDemand::expectedWithin(const std::string& service, Milliseconds time, TimePoint now)
{
    std::int64_t milliCores = 0;
    for (const Sample& sample : recent(service, now))
        milliCores += sample.milliCores;
    return milliCores * time.count() / std::chrono::duration_cast<Milliseconds>(demandWindow).count();
}

} // namespace egrettrestle
