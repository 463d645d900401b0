// The part of UpstreamOwner that chooses where a run is started, and whether it waits for a better place.

#include <egrettrestle/decision/upstream_owner.hpp>

#include <algorithm>
#include <tuple>

namespace egrettrestle {

namespace {

    // Upstreams whose speeds differ by less than this factor count as equally fast when fast capacity is kept for the runs
    // that need it.
    constexpr double minSpeedRatio = 1.25;

    std::uint32_t countRunsOfStep(const OwnedUpstream& upstream, const TaskRef& task)
    {
        return static_cast<std::uint32_t>(std::count_if(upstream.runs.begin(), upstream.runs.end(), [&task](const auto& entry) {
            return entry.first.task.job == task.job && entry.first.task.step == task.step;
        }));
    }

    PlacementTask taskOf(const RunRequest& request) { return { request.expectedRunTime, request.dueBy, request.latestStart, 0 }; }

    Duration scaled(Milliseconds time, double factor) { return std::chrono::duration_cast<Duration>(time * factor); }

    /// How much processor capacity fits in units of one need.
    std::int64_t wholeNeeds(std::int64_t milliCores, std::int64_t need) { return need > 0 && milliCores > 0 ? milliCores / need * need : 0; }

}

double UpstreamOwner::kindDurationOn(const OwnedUpstream& upstream, const RunRequest& request) const
{
    const bool outsideDataRack = !request.dataRack.empty() && request.dataRack != upstream.info.rack;
    return m_runTimeEstimator.slowness(upstream.info.kind) * (outsideDataRack ? m_limits.remoteDataFactor : 1);
}

double UpstreamOwner::relativeDurationOn(const OwnedUpstream& upstream, const RunRequest& request) const
{
    return kindDurationOn(upstream, request) * m_speeds.factor(upstream.info.id);
}

bool UpstreamOwner::suits(const OwnedUpstream& upstream, const RunRequest& request, TimePoint now) const
{
    const bool matches = upstream.info.service == request.service && hasLabel(upstream.info, request.requiredLabel);
    // The upstream may still hold a run with the same number from an earlier submission of the job.
    const bool avoided = std::find(request.avoid.begin(), request.avoid.end(), upstream.info.id) != request.avoid.end() || upstream.runs.count(request.run) > 0;
    return matches && !avoided && acceptsRuns(upstream, m_limits, now) && grantableLease(upstream, now, m_limits.minStartLease());
}

UpstreamOwner::PlacementRules UpstreamOwner::rulesFor(const RunRequest& request, TimePoint now) const
{
    PlacementRules rules;
    rules.suspect = possibleCrashesOf(request).total > 0;
    rules.alone = mustBeAlone(request);
    rules.confined = !rules.alone && m_crashes.isCrashing(request.route);
    if (rules.confined)
        rules.usable = upstreamsForCrashingRoute(request.service, request.route, now);
    return rules;
}

bool UpstreamOwner::isAllowed(const OwnedUpstream& upstream, const RunRequest& request, const PlacementRules& rules, TimePoint now) const
{
    if (!suits(upstream, request, now) || (rules.confined && rules.usable.count(upstream.info.id) == 0))
        return false;
    const bool isKept = isKeptForOneTask(upstream);
    if (rules.alone ? !upstream.runs.empty() || (!isKept && !mayKeepUpstreamForOneTask(request.service)) : isKept || (rules.suspect && hasSuspect(upstream)))
        return false;
    return request.maxPerUpstream == 0 || countRunsOfStep(upstream, request.run.task) < request.maxPerUpstream;
}

std::optional<TimePoint> UpstreamOwner::availableAt(const OwnedUpstream& upstream, const RunRequest& request, const PlacementPass& pass, TimePoint now) const
{
    Resources free = upstream.available();
    const auto promised = pass.promises.find(upstream.info.id);
    if (promised != pass.promises.end()) {
        // A run that ends before the promised capacity is needed does not delay the run that waits for it.
        const TimePoint end = now + scaled(request.expectedRunTime, relativeDurationOn(upstream, request));
        const bool endsBefore = request.expectedRunTime.count() > 0 && std::all_of(promised->second.begin(), promised->second.end(), [end](const PlacePromise& promise) { return end <= promise.availableAt; });
        if (endsBefore && fits(request.need, free))
            return now;
        for (const PlacePromise& promise : promised->second)
            free = free - promise.need;
    }
    if (fits(request.need, free))
        return now;
    if (!fits(request.need, upstream.info.capacity))
        return std::nullopt;
    std::vector<std::pair<TimePoint, const OwnedRun*>> ends;
    for (const auto& entry : upstream.runs) {
        const OwnedRun& run = entry.second;
        // Nothing is known about the end of a run that was taken over, or whose start is unconfirmed.
        if (run.request.expectedRunTime.count() <= 0 || run.unconfirmed)
            continue;
        const TimePoint startedAt = run.state == RunState::Starting ? run.startSentAt : run.confirmedAt;
        const Milliseconds expected = toMilliseconds(scaled(run.request.expectedRunTime, relativeDurationOn(upstream, run.request)));
        ends.emplace_back(expectedEnd(startedAt, expected, now), &run);
    }
    std::sort(ends.begin(), ends.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    for (const auto& end : ends) {
        free = free + end.second->request.need;
        if (fits(request.need, free))
            return std::max(end.first, now + Milliseconds { 1 });
    }
    return std::nullopt;
}

OwnedUpstream* UpstreamOwner::bestUpstreamFor(const RunRequest& request, const PlacementRules& rules, const PlacementPass& pass, TimePoint now, double above)
{
    OwnedUpstream* best = nullptr;
    double bestDuration = 0;
    bool bestIsCold = false;
    std::int64_t bestLeft = 0;
    for (auto& entry : m_upstreams) {
        OwnedUpstream& upstream = entry.second;
        if (!fits(request.need, upstream.available()) || !isAllowed(upstream, request, rules, now))
            continue;
        const double duration = relativeDurationOn(upstream, request);
        if (duration <= above || now + scaled(request.expectedRunTime, duration - 1) > request.latestStart)
            continue;
        const std::int64_t left = (upstream.available() - request.need).milliCores;
        const bool isCold = now < upstream.coldUntil;
        if (best && std::tie(duration, isCold, left) >= std::tie(bestDuration, bestIsCold, bestLeft))
            continue;
        if (pass.promises.count(entry.first) > 0 && availableAt(upstream, request, pass, now) != now)
            continue;
        best = &upstream;
        bestDuration = duration;
        bestIsCold = isCold;
        bestLeft = left;
    }
    return best;
}

OwnedUpstream* UpstreamOwner::placeFor(QueuedRun& queuedRun, PlacementPass& pass, TimePoint now)
{
    const RunRequest& request = queuedRun.request;
    const PlacementRules rules = rulesFor(request, now);
    OwnedUpstream* free = bestUpstreamFor(request, rules, pass, now);
    const auto start = [this, &queuedRun, now](OwnedUpstream* upstream) {
        if (upstream && queuedRun.wait.since) {
            const bool better = relativeDurationOn(*upstream, queuedRun.request) < queuedRun.wait.freeDuration;
            m_waitCounts.add(better ? WaitOutcome::BetterPlace : WaitOutcome::FreePlace, toMilliseconds(now - *queuedRun.wait.since));
        }
        return upstream;
    };
    // The places of the others are few, and not chosen by speed alone.
    if (!free || !request.dueBy || request.expectedRunTime.count() <= 0 || rules.alone || rules.suspect || rules.confined)
        return start(free);
    if (OwnedUpstream* slower = upstreamForUndemandingRun(*free, request, rules, pass, now))
        return start(slower);
    const double freeDuration = relativeDurationOn(*free, request);
    std::vector<PlacementOption> options { { freeDuration, now, 0 } };
    std::vector<OwnedUpstream*> upstreams { free };
    for (auto& entry : m_upstreams) {
        OwnedUpstream& upstream = entry.second;
        const double duration = relativeDurationOn(upstream, request);
        if (duration >= freeDuration || !isAllowed(upstream, request, rules, now))
            continue;
        const std::optional<TimePoint> available = availableAt(upstream, request, pass, now);
        if (!available || *available <= now)
            continue;
        options.push_back({ duration, *available, 0 });
        upstreams.push_back(&upstream);
    }
    PlacementTask task = taskOf(request);
    task.runsAhead = pass.waiting;
    const PlacementDecision decision = choosePlacement(task, options, queuedRun.wait, now);
    if (decision.kind != PlacementDecision::Kind::Wait)
        return start(free);
    pass.promises[upstreams[decision.option]->info.id].push_back({ request.need, options[decision.option].availableAt });
    ++pass.waiting;
    return nullptr;
}

OwnedUpstream* UpstreamOwner::upstreamForUndemandingRun(OwnedUpstream& best, const RunRequest& request, const PlacementRules& rules, const PlacementPass& pass, TimePoint now)
{
    if (!request.dataRack.empty())
        return nullptr;
    const std::optional<FastRuns> demand = fastRuns(request.service, pass, now);
    if (!demand)
        return nullptr;
    // The fastest free one is of no use to the runs that need fast ones.
    if (relativeDurationOn(best, request) > demand->maxRelativeDuration)
        return meetsObjectiveWithMargin(taskOf(request), relativeDurationOn(best, request), now) ? &best : nullptr;
    if (!isFastCapacityScarce(best, request, *demand, now))
        return nullptr;
    OwnedUpstream* slower = bestUpstreamFor(request, rules, pass, now, demand->maxRelativeDuration);
    return slower && meetsObjectiveWithMargin(taskOf(request), relativeDurationOn(*slower, request), now) ? slower : nullptr;
}

bool UpstreamOwner::isFastCapacityScarce(const OwnedUpstream& fast, const RunRequest& request, const FastRuns& demand, TimePoint now)
{
    std::int64_t left = 0;
    RunRequest anywhere;
    for (const auto& entry : m_upstreams) {
        const OwnedUpstream& upstream = entry.second;
        if (upstream.info.service != request.service || !acceptsRuns(upstream, m_limits, now) || relativeDurationOn(upstream, anywhere) > demand.maxRelativeDuration)
            continue;
        const std::int64_t taken = &upstream == &fast ? request.need.milliCores : 0;
        left += wholeNeeds(upstream.available().milliCores - taken, demand.largestMilliCores);
    }
    const Milliseconds time = toMilliseconds(scaled(request.expectedRunTime, relativeDurationOn(fast, request)));
    const std::int64_t expected = m_fastDemand.expectedWithin(request.service, time, now);
    // One more such run may come at any time.
    return left < demand.milliCores + std::max(expected, demand.largestMilliCores);
}

std::optional<UpstreamOwner::FastRuns> UpstreamOwner::fastRuns(const std::string& service, const PlacementPass& pass, TimePoint now)
{
    const auto queued = pass.queuedFastRuns.find(service);
    const std::optional<double> recent = m_fastDemand.maxRelativeDuration(service, now);
    if (queued == pass.queuedFastRuns.end() && !recent)
        return std::nullopt;
    FastRuns runs = queued == pass.queuedFastRuns.end() ? FastRuns {} : queued->second;
    runs.maxRelativeDuration = std::max(runs.maxRelativeDuration, recent.value_or(0));
    runs.largestMilliCores = std::max(runs.largestMilliCores, m_fastDemand.largestNeed(service, now));
    return runs;
}

std::optional<double> UpstreamOwner::neededDuration(const RunRequest& request, TimePoint now) const
{
    const auto range = m_speedRanges.find(request.service);
    const bool comparable = request.dueBy && request.expectedRunTime.count() > 0 && request.dataRack.empty();
    if (!comparable || range == m_speedRanges.end() || range->second.slowest < range->second.fastest * minSpeedRatio)
        return std::nullopt;
    const PlacementTask task = taskOf(request);
    const double meetsAt = greatestDurationWithMargin(task, now);
    const bool meetsOnFastest = now + scaled(task.expectedRunTime, range->second.fastest) <= *task.dueBy;
    if (!meetsOnFastest || meetsAt >= range->second.slowest)
        return std::nullopt;
    return std::max(meetsAt, range->second.fastest);
}

UpstreamOwner::PlacementPass UpstreamOwner::beginPlacement(TimePoint now) const
{
    PlacementPass pass;
    if (m_speedRanges.empty())
        return pass;
    for (const QueuedRun& queuedRun : m_queue) {
        const std::optional<double> needed = neededDuration(queuedRun.request, now);
        if (!needed)
            continue;
        FastRuns& runs = pass.queuedFastRuns[queuedRun.request.service];
        runs.maxRelativeDuration = std::max(runs.maxRelativeDuration, *needed);
        runs.milliCores += queuedRun.request.need.milliCores;
        runs.largestMilliCores = std::max(runs.largestMilliCores, queuedRun.request.need.milliCores);
    }
    return pass;
}

void UpstreamOwner::recordFastDemand(const RunRequest& request, TimePoint now)
{
    if (const std::optional<double> needed = neededDuration(request, now))
        m_fastDemand.record(request.service, *needed, request.need.milliCores, now);
}

// Kept up to date by tick() only, so that a request does not look at all upstreams. Services whose upstreams are about
// equally fast are left out.
void UpstreamOwner::updateSpeedRanges()
{
    m_speedRanges.clear();
    const RunRequest anywhere;
    for (const auto& entry : m_upstreams) {
        const double duration = relativeDurationOn(entry.second, anywhere);
        SpeedRange& range = m_speedRanges.emplace(entry.second.info.service, SpeedRange { duration, duration }).first->second;
        range.fastest = std::min(range.fastest, duration);
        range.slowest = std::max(range.slowest, duration);
    }
    for (auto range = m_speedRanges.begin(); range != m_speedRanges.end();)
        range = range->second.slowest < range->second.fastest * minSpeedRatio ? m_speedRanges.erase(range) : std::next(range);
}

// What an upstream's own speed and a remote rack explain is not the speed of the kind.
void UpstreamOwner::recordRunTime(const OwnedUpstream& upstream, const RunRequest& request, Milliseconds took, TimePoint now)
{
    const double kindDuration = kindDurationOn(upstream, request);
    const double otherFactors = relativeDurationOn(upstream, request) / m_runTimeEstimator.slowness(upstream.info.kind);
    const Milliseconds expected = toMilliseconds(scaled(m_runTimeEstimator.expectedRunTime(request.route, request.estimate), kindDuration));
    m_speeds.record(upstream.info.id, upstream.info.kind, expected, took, now);
    m_runTimeEstimator.record(request.route, upstream.info.kind, request.estimate, toMilliseconds(scaled(took, 1 / otherFactors)));
}

void UpstreamOwner::reportWaits(TimePoint now)
{
    for (const auto& entry : m_waitCounts.takeDue(now)) {
        const WaitCounts::Count& count = entry.second;
        const char* outcome = entry.first == WaitOutcome::BetterPlace ? "better-place" : "free-place";
        m_port.recordEvent({ OwnerEvent::Kind::WaitsEnded, {}, {}, outcome, count.total / static_cast<std::int64_t>(count.waits), count.waits });
    }
}

} // namespace egrettrestle
