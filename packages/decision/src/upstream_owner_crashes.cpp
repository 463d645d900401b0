// The part of UpstreamOwner that deals with crashes: reports about them, and where tasks may run that may cause them.

#include <egrettrestle/decision/upstream_owner.hpp>

#include <algorithm>
#include <cmath>

namespace egrettrestle {

std::vector<LostRun> UpstreamOwner::runsAt(const OwnedUpstream& upstream) const
{
    std::vector<LostRun> runs;
    for (const auto& entry : upstream.runs)
        runs.push_back({ entry.first, entry.second.request.route, possibleCrashesOf(entry.second.request).total });
    return runs;
}

void UpstreamOwner::recordSuspects(OwnedUpstream& upstream) const
{
    upstream.knewAllRuns = upstream.synced && upstream.claimsResolved;
    // A cut shows as time-outs, which say nothing about routes.
    upstream.exposures = upstream.unreachableCause == "timed-out" ? std::vector<RouteExposure> {} : exposuresTo(upstream);
    upstream.suspects.clear();
    upstream.suspectExecutors.clear();
    for (const auto& entry : upstream.runs) {
        upstream.suspects.push_back(entry.first.task);
        if (!entry.second.executor.empty())
            upstream.suspectExecutors.insert(entry.second.executor);
    }
}

void UpstreamOwner::reportSuspectedCrash(OwnedUpstream& upstream)
{
    if (upstream.crashReported)
        return;
    upstream.crashReported = true;
    recordSuspects(upstream);
    reportCrash(upstream, CrashEvidence::Suspected);
}

void UpstreamOwner::reportCrash(const OwnedUpstream& upstream, CrashEvidence evidence)
{
    const UpstreamIncarnation incarnation = incarnationOf(upstream);
    // A previous owner may have reported suspects that this one does not know.
    if (upstream.suspects.empty() && !m_crashes.isSuspected(incarnation))
        return;
    if (evidence == CrashEvidence::Refuted)
        m_port.reportCrash({ incarnation, evidence }, upstream.suspectExecutors);
    else
        m_port.reportCrash({ incarnation, evidence, upstream.suspects, upstream.suspects.size() == 1 && upstream.knewAllRuns, upstream.exposures }, upstream.suspectExecutors);
}

void UpstreamOwner::onCrashConfirmed(OwnedUpstream& upstream)
{
    if (!upstream.crashReported)
        recordSuspects(upstream);
    upstream.crashReported = true;
    upstream.replaced = true;
    reportCrash(upstream, CrashEvidence::Confirmed);
}

void UpstreamOwner::onSameIncarnation(OwnedUpstream& upstream, TimePoint now)
{
    if (!upstream.unreachableCause.empty())
        m_port.recordEvent({ OwnerEvent::Kind::Reachable, upstream.info.id, {}, upstream.unreachableCause, toMilliseconds(now - upstream.lastSuccessfulPoll), upstream.runs.size() });
    // The previous owner may have reported it.
    if (upstream.crashReported || m_crashes.isSuspected(incarnationOf(upstream)))
        reportCrash(upstream, CrashEvidence::Refuted);
}

CrashCount UpstreamOwner::possibleCrashesOf(const RunRequest& request) const
{
    const CrashCount known = m_crashes.crashesOf(request.run.task).possible;
    return { std::max(known.total, request.crashes.total), std::max(known.alone, request.crashes.alone) };
}

bool UpstreamOwner::mustBeAlone(const RunRequest& request) const
{
    const CrashCount crashes = possibleCrashesOf(request);
    return needsUpstreamAlone(crashes) || (crashes.total > 0 && m_crashes.isCrashing(request.route));
}

std::vector<RouteExposure> UpstreamOwner::exposuresTo(const OwnedUpstream& crashed) const
{
    std::map<std::string, RouteExposure> exposures;
    std::size_t upstreams = 0;
    for (const auto& entry : m_upstreams) {
        const OwnedUpstream& upstream = entry.second;
        if (upstream.info.service != crashed.info.service || !upstream.synced || upstream.replaced)
            continue;
        ++upstreams;
        std::set<std::string> routes;
        for (const auto& run : upstream.runs)
            routes.insert(run.second.request.route);
        for (const std::string& route : routes) {
            RouteExposure& exposure = exposures[route];
            exposure.route = route;
            exposure.present = exposure.present || &upstream == &crashed;
            exposure.share += 1;
        }
    }
    std::vector<RouteExposure> result;
    for (auto& entry : exposures) {
        // The route of a run that was found at the upstream is unknown.
        if (entry.first.empty())
            continue;
        entry.second.share /= static_cast<double>(upstreams);
        result.push_back(entry.second);
    }
    return result;
}

std::set<UpstreamId> UpstreamOwner::upstreamsForCrashingRoute(const std::string& service, const std::string& route, TimePoint now) const
{
    std::set<UpstreamId> usable;
    std::vector<const OwnedUpstream*> unused;
    std::size_t owned = 0;
    std::size_t taken = 0;
    for (const auto& entry : m_upstreams) {
        const OwnedUpstream& upstream = entry.second;
        if (upstream.info.service != service || upstream.replaced || upstream.evacuated)
            continue;
        ++owned;
        const bool uses = std::any_of(upstream.runs.begin(), upstream.runs.end(), [&route](const auto& run) { return run.second.request.route == route; });
        taken += uses || upstream.crashReported ? 1 : 0;
        if (uses && !upstream.crashReported)
            usable.insert(entry.first);
        else if (!upstream.crashReported && acceptsRuns(upstream, m_limits, now))
            unused.push_back(&upstream);
    }
    const std::size_t most = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(static_cast<double>(owned) * m_limits.crashingRouteShare)));
    // Those with fewest other runs, so that a crash loses few of them.
    std::sort(unused.begin(), unused.end(), [](const OwnedUpstream* left, const OwnedUpstream* right) { return left->used.milliCores < right->used.milliCores; });
    for (std::size_t index = 0; index < unused.size() && taken + index < most; ++index)
        usable.insert(unused[index]->info.id);
    return usable;
}

std::vector<RouteCapacity> UpstreamOwner::confinedRoutes(TimePoint now) const
{
    std::map<std::string, RouteCapacity> capacities;
    for (const auto& crashing : m_crashingRoutes) {
        RouteCapacity& capacity = capacities[crashing.first];
        capacity.route = crashing.first;
        double free = 0;
        double total = 0;
        for (const UpstreamId& id : upstreamsForCrashingRoute(crashing.second, crashing.first, now)) {
            const OwnedUpstream& upstream = m_upstreams.at(id);
            if (!m_startsEnabled || !acceptsRuns(upstream, m_limits, now) || isKeptForOneTask(upstream))
                continue;
            free += expectedTasks(upstream.available());
            total += expectedTasks(upstream.info.capacity);
        }
        capacity.freeTasks = static_cast<std::uint32_t>(std::lround(free));
        capacity.totalTasks = static_cast<std::uint32_t>(std::lround(total));
    }
    for (const QueuedRun& queuedRun : m_queue) {
        const auto capacity = capacities.find(queuedRun.request.route);
        if (capacity == capacities.end() || mustBeAlone(queuedRun.request))
            continue;
        ++capacity->second.queuedTasks;
        capacity->second.queuedWork += queuedRun.request.expectedRunTime;
    }
    std::vector<RouteCapacity> result;
    for (auto& entry : capacities)
        result.push_back(entry.second);
    return result;
}

void UpstreamOwner::updateCrashingRoutes()
{
    for (auto entry = m_crashingRoutes.begin(); entry != m_crashingRoutes.end();)
        entry = m_crashes.isCrashing(entry->first) ? std::next(entry) : m_crashingRoutes.erase(entry);
}

bool UpstreamOwner::hasSuspect(const OwnedUpstream& upstream) const
{
    return std::any_of(upstream.runs.begin(), upstream.runs.end(), [this](const auto& entry) { return possibleCrashesOf(entry.second.request).total > 0; });
}

bool UpstreamOwner::isKeptForOneTask(const OwnedUpstream& upstream) const
{
    return upstream.reserved || std::any_of(upstream.runs.begin(), upstream.runs.end(), [this](const auto& entry) { return mustBeAlone(entry.second.request); });
}

bool UpstreamOwner::mayKeepUpstreamForOneTask(const std::string& service) const
{
    std::size_t owned = 0;
    std::size_t unavailable = 0;
    for (const auto& entry : m_upstreams) {
        const OwnedUpstream& upstream = entry.second;
        if (upstream.info.service != service || upstream.replaced || upstream.evacuated)
            continue;
        ++owned;
        unavailable += upstream.crashReported || isKeptForOneTask(upstream) ? 1 : 0;
    }
    return unavailable == 0 || static_cast<double>(unavailable) + 1 <= static_cast<double>(owned) * m_limits.suspectShare;
}

void UpstreamOwner::reserveUpstream(const RunRequest& request, TimePoint now)
{
    const bool anyReserved = std::any_of(m_upstreams.begin(), m_upstreams.end(), [&request](const auto& entry) { return entry.second.reserved && entry.second.info.service == request.service; });
    if (anyReserved || !mayKeepUpstreamForOneTask(request.service))
        return;
    OwnedUpstream* leastUsed = nullptr;
    for (auto& entry : m_upstreams) {
        OwnedUpstream& upstream = entry.second;
        if (!suits(upstream, request, now) || !fits(request.need, upstream.info.capacity) || isKeptForOneTask(upstream))
            continue;
        if (!leastUsed || upstream.used.milliCores < leastUsed->used.milliCores)
            leastUsed = &upstream;
    }
    if (leastUsed)
        leastUsed->reserved = true;
}

void UpstreamOwner::releaseReservations()
{
    for (auto& entry : m_upstreams) {
        OwnedUpstream& upstream = entry.second;
        const bool usable = upstream.failedPolls == 0 && !upstream.info.draining && !upstream.unlisted && !upstream.evacuated;
        upstream.reserved = upstream.reserved && usable && std::any_of(m_queue.begin(), m_queue.end(), [this, &upstream](const QueuedRun& queuedRun) {
            return queuedRun.request.service == upstream.info.service && mustBeAlone(queuedRun.request);
        });
    }
}

} // namespace egrettrestle
