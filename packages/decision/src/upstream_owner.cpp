#include <egrettrestle/decision/upstream_owner.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace egrettrestle {

namespace {

    using EventKind = OwnerEvent::Kind;

    // Number of run ends that a poll reply can list. A reply with this many may be continued in the next one.
    constexpr std::size_t endedRunsPageSize = 500;
    // Weight of the newest request in the moving average of task needs.
    constexpr double typicalNeedWeight = 0.02;
    // Consecutive failed polls after which an upstream is considered unreachable. A single one, which already suspends
    // new starts there, may be due to one lost packet.
    constexpr int failedPollsBeforeUnreachable = 2;
    // A stop without a reply is repeated after this time; replies usually take a few milliseconds. It is well below the time
    // after which a run that cannot be stopped keeps the lease from being extended.
    constexpr Milliseconds stopRetryInterval { 80 };
    // A pause doubled this many times exceeds the maximum pause.
    constexpr int maxPauseDoublings = 6;

    /// Keeps the largest of the sizes with equal numbers of places: receivers use the smallest size that covers a need.
    void removeRedundantPlaces(std::vector<SizedCapacity>& places)
    {
        std::vector<SizedCapacity> kept;
        for (const SizedCapacity& place : places) {
            if (!kept.empty() && kept.back().freeTasks == place.freeTasks)
                kept.back() = place;
            else
                kept.push_back(place);
        }
        places = std::move(kept);
    }

    const char* causeName(StopCause cause)
    {
        static const std::map<StopCause, const char*> names {
            { StopCause::Withdrawn, "withdrawn" },
            { StopCause::ExecutorGone, "executor-gone" },
            { StopCause::Hanging, "hanging" },
            { StopCause::Unclaimed, "unclaimed" },
            { StopCause::Unconfirmed, "start-unanswered" },
        };
        return names.at(cause);
    }

    const char* causeName(OrderOutcome outcome, ConnectionFailure failure)
    {
        if (outcome == OrderOutcome::WrongUpstream)
            return "replaced";
        switch (failure) {
        case ConnectionFailure::Refused:
            return "refused";
        case ConnectionFailure::Closed:
            return "closed";
        case ConnectionFailure::TimedOut:
            return "timed-out";
        case ConnectionFailure::None:
            break;
        }
        return "invalid-reply";
    }

    UpstreamClock upstreamTimeAt(const OwnedUpstream& upstream, TimePoint now)
    {
        return upstream.clockOffset.value_or(Milliseconds { 0 }) + toMilliseconds(now.time_since_epoch());
    }

    void updateClockOffset(OwnedUpstream& upstream, const std::optional<UpstreamClock>& clock, TimePoint now)
    {
        if (!clock)
            return;
        upstream.clockOffset = *clock - toMilliseconds(now.time_since_epoch());
        upstream.clockReadAt = now;
    }

    /// Time after the end of a lease, by this VM's clock, until all runs under it have ended.
    Duration leaseExpiryTime(const OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now)
    {
        const Duration sampleAge = upstream.clockOffset ? now - upstream.clockReadAt : Duration { 0 };
        return std::chrono::duration_cast<Duration>((limits.leaseDuration + sampleAge) * limits.clockDrift) + limits.leaseExpiryMargin;
    }

    /// When all runs under a lease that is granted now, for the longest time, have ended.
    TimePoint leaseExpiredBy(const OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now)
    {
        return now + limits.leaseDuration + leaseExpiryTime(upstream, limits, now);
    }

    void recordLease(OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint leaseEnd, TimePoint now)
    {
        upstream.leasesExpiredBy = std::max(upstream.leasesExpiredBy, leaseEnd + leaseExpiryTime(upstream, limits, now));
    }

    /// Counts the leases that orders to an earlier process of an upstream may have been granted by the present one until now:
    /// by the earlier clock they end so late that the longest lease applies.
    void recordLeasesOfEarlierOrders(OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now)
    {
        const Duration drift = std::chrono::duration_cast<Duration>(limits.longestLease * limits.clockDrift);
        upstream.leasesExpiredBy = std::max(upstream.leasesExpiredBy, now + limits.longestLease + drift + limits.leaseExpiryMargin);
    }

    void limitRun(OwnedRun& run, const std::optional<TimePoint>& endBy)
    {
        if (endBy)
            run.endBy = std::min(run.endBy.value_or(*endBy), *endBy);
    }

    /// What is known about a run that a poll sent at `sentAt` has not listed; the ages are relative to that time.
    RunNote noteOfAbsence(const OwnedRun& run, const char* basis, TimePoint sentAt)
    {
        RunNote note { run.request.run, run.executor, {}, basis, { { "startSent", toMilliseconds(sentAt - run.startSentAt) } } };
        if (run.confirmedAt != TimePoint {})
            note.ages.emplace_back("confirmed", toMilliseconds(sentAt - run.confirmedAt));
        if (run.lastListedAt != TimePoint {})
            note.ages.emplace_back("listed", toMilliseconds(sentAt - run.lastListedAt));
        if (run.stopAcceptedAt)
            note.ages.emplace_back("stopEffective", toMilliseconds(sentAt - *run.stopAcceptedAt));
        return note;
    }

    /// The need that capacity is counted in. Tasks with accelerators are few, and most upstreams have none.
    Resources withoutAccelerators(const Resources& need) { return { need.milliCores, need.memoryMb, 0 }; }

}

UpstreamOwner::UpstreamOwner(OwnerPort& port, const CrashTable& crashes, OwnerLimits limits, VmId self)
    : m_port(port)
    , m_crashes(crashes)
    , m_limits(limits)
    , m_recentEnds(limits.endedRunRetention)
    , m_released(limits.endedRunRetention)
    , m_self(std::move(self))
{
}

void UpstreamOwner::onExecutorContact(const VmId& executor, TimePoint now, TimePoint informedAt)
{
    ExecutorContact& contact = m_contacts[executor];
    contact.at = now;
    contact.informedAt = std::max(contact.informedAt, informedAt);
}

const UpstreamOwner::ExecutorContact* UpstreamOwner::contactOf(const VmId& executor) const
{
    const auto contact = executor == m_self ? m_contacts.end() : m_contacts.find(executor);
    return contact == m_contacts.end() ? nullptr : &contact->second;
}

bool UpstreamOwner::isResponsive(const ExecutorContact* contact, TimePoint now) const
{
    return !contact || now - contact->at <= m_limits.executorTimeout;
}

std::optional<TimePoint> UpstreamOwner::runsEndBy(const VmId& executor, const ExecutorContact* contact) const
{
    const std::optional<TimePoint> informedAt = contact ? contact->informedAt : executor == m_self ? m_callersKnownAt
                                                                                                   : std::nullopt;
    return informedAt ? std::optional<TimePoint>(*informedAt + m_limits.orphanedRunLimit) : std::nullopt;
}

bool UpstreamOwner::mayStartRunsOf(const VmId& executor, TimePoint now) const
{
    const ExecutorContact* contact = contactOf(executor);
    const std::optional<TimePoint> endBy = runsEndBy(executor, contact);
    const Duration drift = std::chrono::duration_cast<Duration>((m_limits.leaseDuration + m_limits.upstreamTimeout) * m_limits.clockDrift);
    return isResponsive(contact, now) && (!endBy || now + m_limits.minStartLease() + drift + m_limits.leaseExpiryMargin <= *endBy);
}

// A lease covers all runs at an upstream, so a single run that has to end limits it. The other runs expire with it only if
// every repetition of the stop gets no reply until then.
std::optional<TimePoint> UpstreamOwner::grantableLease(const OwnedUpstream& upstream, TimePoint now, Milliseconds least) const
{
    TimePoint leaseEnd = now + m_limits.leaseDuration;
    const Duration expiryTime = leaseExpiryTime(upstream, m_limits, now);
    for (const auto& entry : upstream.runs) {
        const OwnedRun& run = entry.second;
        if (run.stopAcceptedAt)
            continue;
        const ExecutorContact* contact = contactOf(run.executor);
        if (!isResponsive(contact, now))
            return std::nullopt;
        for (const std::optional<TimePoint>& endBy : { run.endBy, runsEndBy(run.executor, contact) }) {
            if (endBy)
                leaseEnd = std::min(leaseEnd, *endBy - expiryTime);
        }
    }
    return leaseEnd - now >= least ? std::optional<TimePoint>(leaseEnd) : std::nullopt;
}

void UpstreamOwner::acquire(const UpstreamInfo& info, FencingToken epoch, TimePoint now)
{
    const auto found = m_upstreams.find(info.id);
    if (found != m_upstreams.end()) {
        OwnedUpstream& upstream = found->second;
        if (upstream.info != info)
            updateDescription(upstream, info, now);
        upstream.unlisted = false;
        upstream.evacuated = isEvacuated(upstream.info);
        if (epoch > upstream.epoch) {
            // In a view that was skipped another VM may have owned the upstream.
            if (epoch.value > upstream.epoch.value + 1)
                requireSync(upstream, now);
            adoptEpoch(upstream, epoch);
            upstream.fenced = false;
            processEarlyClaims(info.id, now);
        }
        return;
    }
    OwnedUpstream upstream;
    upstream.info = info;
    upstream.describedAt = now;
    upstream.startedAt = info.startedAt;
    upstream.evacuated = isEvacuated(info);
    adoptEpoch(upstream, epoch);
    upstream.ownedSince = now;
    upstream.lastSuccessfulPoll = now;
    recordLease(upstream, m_limits, now + m_limits.leaseDuration, now);
    m_upstreams.emplace(info.id, std::move(upstream));
    m_port.recordEvent({ EventKind::Owned, info.id, {}, {}, {}, epoch.value });
    processEarlyClaims(info.id, now);
}

void UpstreamOwner::updateDescription(OwnedUpstream& upstream, const UpstreamInfo& info, TimePoint now)
{
    const bool shrunk = !fits(upstream.info.capacity, info.capacity);
    const bool wasDescribed = isDescribed(upstream);
    upstream.info = info;
    upstream.describedAt = now;
    if (upstream.startedAt.count() == 0)
        upstream.startedAt = info.startedAt;
    if (!isDescribed(upstream)) {
        takeBackUnsentRuns(upstream, now);
        // A lower start may be that of an earlier process. The next poll shows which process is there, and which runs it has.
        if (info.startedAt > upstream.startedAt)
            confirmRestart(upstream, "discovery", now);
        m_port.pollNow(info.id);
    }
    if (shrunk)
        removeImpossibleNeeds();
    coverUnknownRun(upstream);
    reportDescription(upstream, now);
    // Runs may have waited for this alone.
    if (!wasDescribed && isDescribed(upstream))
        startQueuedRuns(now);
}

void UpstreamOwner::coverUnknownRun(OwnedUpstream& upstream)
{
    const Resources free = upstream.available();
    for (auto& entry : upstream.runs) {
        OwnedRun& run = entry.second;
        if (run.placement != 0 || !run.executor.empty())
            continue;
        const Resources added { std::max<std::int64_t>(0, free.milliCores), std::max<std::int64_t>(0, free.memoryMb), std::max<std::int64_t>(0, free.accelerators) };
        run.request.need = run.request.need + added;
        upstream.used = upstream.used + added;
        return;
    }
}

void UpstreamOwner::reportDescription(OwnedUpstream& upstream, TimePoint now)
{
    if (isDescribed(upstream) == !upstream.outdatedSince)
        return;
    OwnerEvent event;
    event.kind = upstream.outdatedSince ? EventKind::DescriptionCurrent : EventKind::DescriptionOutdated;
    event.upstream = upstream.info.id;
    event.age = toMilliseconds(now - upstream.outdatedSince.value_or(now));
    event.description = descriptionEvidenceOf(upstream, now);
    m_port.recordEvent(event);
    if (upstream.outdatedSince)
        upstream.outdatedSince.reset();
    else
        upstream.outdatedSince = now;
}

void UpstreamOwner::requireSync(OwnedUpstream& upstream, TimePoint now)
{
    upstream.synced = false;
    upstream.claimsResolved = false;
    upstream.ownedSince = now;
    m_port.pollNow(upstream.info.id);
}

void UpstreamOwner::processEarlyClaims(const UpstreamId& upstream, TimePoint now)
{
    std::vector<EarlyClaim> claims;
    claims.swap(m_earlyClaims);
    for (EarlyClaim& earlyClaim : claims) {
        if (earlyClaim.claim.upstream == upstream)
            claim(earlyClaim.executor, earlyClaim.claim, now);
        else
            m_earlyClaims.push_back(std::move(earlyClaim));
    }
    // After the claims, since each run may have both.
    std::vector<EarlyWithdrawal> withdrawals;
    withdrawals.swap(m_earlyWithdrawals);
    for (EarlyWithdrawal& early : withdrawals) {
        if (early.withdrawal.upstream == upstream)
            withdraw(early.executor, early.withdrawal, now);
        else
            m_earlyWithdrawals.push_back(std::move(early));
    }
}

void UpstreamOwner::release(const UpstreamId& upstream, TimePoint now)
{
    OwnedUpstream* owned = findUpstream(upstream);
    if (!owned)
        return;
    takeBackUnsentRuns(*owned, now);
    m_port.recordEvent({ EventKind::Released, upstream, {}, {}, toMilliseconds(now - owned->ownedSince), owned->runs.size() });
    for (const auto& entry : owned->runs) {
        const RunStarted started { entry.first, upstream, owned->epoch };
        m_released.add(entry.second.executor, started, now);
        if (entry.second.state == RunState::Starting)
            m_port.notify(entry.second.executor, { {}, started, {}, {}, {}, {} });
    }
    m_speeds.forget(upstream);
    m_upstreams.erase(upstream);
    m_hasReleasedUpstreams = true;
    removeImpossibleNeeds();
}

void UpstreamOwner::markUnlisted(const UpstreamId& upstream)
{
    if (OwnedUpstream* owned = findUpstream(upstream))
        owned->unlisted = true;
}

void UpstreamOwner::setEvacuated(std::set<DataCentreId> dataCentres)
{
    m_evacuated = std::move(dataCentres);
    for (auto& entry : m_upstreams)
        entry.second.evacuated = isEvacuated(entry.second.info);
}

void UpstreamOwner::setCold(const UpstreamId& upstream, TimePoint until, TimePoint now)
{
    OwnedUpstream* owned = findUpstream(upstream);
    // An end in the past is kept: runs that began before it were slow.
    if (owned && (until > now || owned->coldUntil > now))
        owned->coldUntil = until;
}

EvacuationProgress UpstreamOwner::evacuationProgress(const DataCentreId& dataCentre) const
{
    EvacuationProgress progress;
    for (const auto& entry : m_upstreams) {
        const OwnedUpstream& upstream = entry.second;
        if (upstream.info.dataCentre != dataCentre)
            continue;
        ++progress.upstreams;
        progress.runs += upstream.runs.size();
        progress.complete = progress.complete && upstream.synced;
    }
    return progress;
}

bool UpstreamOwner::isLeftWithoutUpstream(const RunRequest& request) const
{
    return !m_evacuated.empty() && std::none_of(m_upstreams.begin(), m_upstreams.end(), [&request](const auto& entry) { return isUsableFor(entry.second, request); });
}

std::vector<UpstreamId> UpstreamOwner::owned() const
{
    std::vector<UpstreamId> ids;
    ids.reserve(m_upstreams.size());
    for (const auto& entry : m_upstreams)
        ids.push_back(entry.first);
    return ids;
}

void UpstreamOwner::request(const VmId& executor, const RunRequest& request, TimePoint now)
{
    updateTypicalNeed(request.need);
    if (m_crashes.isCrashing(request.route))
        m_crashingRoutes[request.route] = request.service;
    // The executor may be a new process, or not have been in contact with those who reported the crashes.
    const std::vector<UpstreamCrash> crashes = m_crashes.reportsFor(request.run.task);
    if (static_cast<int>(crashes.size()) > request.crashes.total) {
        for (const UpstreamCrash& crash : crashes)
            m_port.notify(executor, { {}, {}, {}, {}, {}, {}, false, crash });
    }
    // These belong to an earlier submission of the job, whose run numbers started at 1 as well.
    m_recentEnds.remove(executor, request.run);
    m_released.remove(executor, request.run);
    recordFastDemand(request, now);
    m_queue.add({ executor, request, now });
    startQueuedRuns(now);
}

void UpstreamOwner::withdraw(const VmId& executor, const RunWithdrawal& withdrawal, TimePoint now)
{
    const TaskRun& run = withdrawal.run;
    if (m_queue.remove(executor, run)) {
        returnRun(executor, run, ReturnReason::Withdrawn);
        return;
    }
    const auto matchesUpstream = [&withdrawal](const UpstreamId& upstream) { return withdrawal.upstream.empty() || withdrawal.upstream == upstream; };
    for (auto& entry : m_upstreams) {
        const auto found = entry.second.runs.find(run);
        if (found == entry.second.runs.end() || !matchesUpstream(entry.first))
            continue;
        // The run may have been found by a poll, and its claim be on the way.
        const bool unclaimed = found->second.executor.empty() && withdrawal.upstream == entry.first;
        if (found->second.executor != executor && !unclaimed)
            continue;
        if (withdrawal.onlyIfWaiting)
            return;
        found->second.executor = executor;
        limitRun(found->second, withdrawal.endBy);
        stopRun(entry.second, found->second, StopCause::Withdrawn, now);
        return;
    }
    const bool claimed = std::any_of(m_earlyClaims.begin(), m_earlyClaims.end(), [&](const EarlyClaim& earlyClaim) { return earlyClaim.claim.run == run && earlyClaim.executor == executor; });
    if (claimed) {
        m_earlyWithdrawals.push_back({ executor, withdrawal, now });
        return;
    }
    const RunEnded* ended = withdrawal.upstream.empty() ? m_recentEnds.find(executor, run) : m_recentEnds.findAt(withdrawal.upstream, run);
    const RunStarted* released = withdrawal.upstream.empty() ? m_released.find(executor, run) : m_released.findAt(withdrawal.upstream, run);
    if (ended)
        m_port.notify(executor, { {}, {}, *ended, {}, {}, {} });
    else if (released)
        m_port.notify(executor, { {}, *released, {}, {}, {}, {} });
    else
        withdrawUnknownRun(executor, withdrawal, now);
}

void UpstreamOwner::withdrawUnknownRun(const VmId& executor, const RunWithdrawal& withdrawal, TimePoint now)
{
    OwnedUpstream* upstream = findUpstream(withdrawal.upstream);
    if (!upstream && !withdrawal.upstream.empty()) {
        m_earlyWithdrawals.push_back({ executor, withdrawal, now });
        return;
    }
    if (!upstream || upstream->synced || upstream->runs.count(withdrawal.run) > 0) {
        // It may have run: ends are forgotten after a time, and a report of the end may not have reached the executor.
        noteUnknownRun(executor, withdrawal, now);
        returnRun(executor, withdrawal.run, ReturnReason::Lost);
        return;
    }
    OwnedRun& run = assumeRunning(*upstream, executor, withdrawal.run, {}, now);
    limitRun(run, withdrawal.endBy);
    stopRun(*upstream, run, StopCause::Withdrawn, now);
}

void UpstreamOwner::claim(const VmId& executor, const RunClaim& claim, TimePoint now)
{
    // A run with the same number may have ended at another upstream, in an earlier submission of the job.
    if (const RunEnded* ended = m_recentEnds.findAt(claim.upstream, claim.run)) {
        recordClaim(claim, "ended", now, now);
        m_port.notify(executor, { {}, {}, *ended, {}, {}, {} });
        return;
    }
    OwnedUpstream* upstream = findUpstream(claim.upstream);
    if (!upstream || upstream->epoch < claim.epoch) {
        recordClaim(claim, "early", now, now);
        m_earlyClaims.push_back({ executor, claim, now });
        return;
    }
    const auto found = upstream->runs.find(claim.run);
    if (found != upstream->runs.end()) {
        found->second.executor = executor;
        setNeed(*upstream, found->second, claim.need);
        // Until a poll has carried the present token, the owner before may extend the lease, and the run may be gone.
        recordClaim(claim, upstream->synced ? "running" : "not-polled", now, now);
        if (!upstream->synced)
            return;
        m_port.notify(executor, { {}, RunStarted { claim.run, claim.upstream, upstream->epoch }, {}, {}, {}, {} });
        return;
    }
    if (upstream->synced) {
        recordClaim(claim, "lost", now, now);
        returnRun(executor, claim.run, ReturnReason::Lost);
        return;
    }
    assumeRunning(*upstream, executor, claim.run, claim.need, now);
    recordClaim(claim, "not-polled", now, now);
}

OwnedRun& UpstreamOwner::assumeRunning(OwnedUpstream& upstream, const VmId& executor, const TaskRun& run, const Resources& need, TimePoint now)
{
    OwnedRun assumed;
    assumed.request.run = run;
    assumed.request.need = need == Resources {} ? m_typicalNeed : need;
    assumed.request.latestStart = now;
    assumed.executor = executor;
    assumed.state = RunState::Running;
    assumed.startSentAt = now;
    assumed.confirmedAt = upstream.ownedSince;
    const Resources counted = assumed.request.need;
    const auto [entry, isNew] = upstream.runs.emplace(run, std::move(assumed));
    if (isNew)
        upstream.used = upstream.used + counted;
    return entry->second;
}

void UpstreamOwner::recordClaim(const RunClaim& claim, const char* outcome, TimePoint receivedAt, TimePoint now)
{
    const OwnedUpstream* upstream = findUpstream(claim.upstream);
    const std::optional<UpstreamEvidence> evidence = upstream ? std::optional<UpstreamEvidence>(evidenceOf(*upstream, now)) : std::nullopt;
    m_port.recordEvent({ EventKind::ClaimHandled, claim.upstream, claim.run, outcome, toMilliseconds(now - receivedAt), claim.epoch.value, {}, evidence });
}

void UpstreamOwner::expireEarlyClaims(TimePoint now)
{
    const auto expired = std::stable_partition(m_earlyClaims.begin(), m_earlyClaims.end(), [this, now](const EarlyClaim& earlyClaim) { return now - earlyClaim.since <= m_limits.earlyClaimTimeout; });
    for (auto earlyClaim = expired; earlyClaim != m_earlyClaims.end(); ++earlyClaim)
        recordClaim(earlyClaim->claim, "never-owned", earlyClaim->since, now);
    m_earlyClaims.erase(expired, m_earlyClaims.end());
    m_earlyWithdrawals.erase(std::remove_if(m_earlyWithdrawals.begin(), m_earlyWithdrawals.end(), [this, now](const EarlyWithdrawal& early) { return now - early.since > m_limits.earlyClaimTimeout; }), m_earlyWithdrawals.end());
}

TimePoint UpstreamOwner::orphanedRunsEndBy(const VmId& executor, TimePoint now) const
{
    return runsEndBy(executor, contactOf(executor)).value_or(now + m_limits.orphanedRunLimit);
}

void UpstreamOwner::dropEarlyMessages(const VmId& executor)
{
    const auto isFrom = [&executor](const auto& early) { return early.executor == executor; };
    m_earlyClaims.erase(std::remove_if(m_earlyClaims.begin(), m_earlyClaims.end(), isFrom), m_earlyClaims.end());
    m_earlyWithdrawals.erase(std::remove_if(m_earlyWithdrawals.begin(), m_earlyWithdrawals.end(), isFrom), m_earlyWithdrawals.end());
}

void UpstreamOwner::onExecutorLost(const VmId& executor, TimePoint now)
{
    dropEarlyMessages(executor);
    // An executor that is still alive thereby learns the fate of each of its tasks.
    for (const TaskRun& run : m_queue.removeRunsOf(executor))
        returnRun(executor, run, ReturnReason::Withdrawn);
    const TimePoint endBy = orphanedRunsEndBy(executor, now);
    for (auto& entry : m_upstreams) {
        for (auto& run : entry.second.runs) {
            if (run.second.executor != executor)
                continue;
            limitRun(run.second, endBy);
            stopRun(entry.second, run.second, StopCause::ExecutorGone, now);
        }
    }
}

void UpstreamOwner::onExecutorRestarted(const VmId& executor, TimePoint now)
{
    dropEarlyMessages(executor);
    m_queue.removeRunsOf(executor);
    const TimePoint endBy = orphanedRunsEndBy(executor, now);
    for (auto& entry : m_upstreams) {
        for (auto& run : entry.second.runs) {
            if (run.second.executor != executor)
                continue;
            limitRun(run.second, endBy);
            stopRun(entry.second, run.second, StopCause::ExecutorGone, now);
            // The new incarnation may have a run of the same job and number, and must not be notified of this one's
            // end.
            run.second.executor.clear();
        }
    }
}

std::optional<PollOrder> UpstreamOwner::nextPoll(const UpstreamId& upstream, TimePoint now)
{
    OwnedUpstream* owned = findUpstream(upstream);
    if (!owned)
        return std::nullopt;
    PollOrder order;
    order.upstream = upstream;
    order.token = owned->token;
    order.acknowledged = owned->acknowledgedEnd;
    const bool knowsRuns = owned->synced && owned->claimsResolved && owned->failedPolls == 0 && owned->clockOffset;
    const std::optional<TimePoint> leaseEnd = knowsRuns ? grantableLease(*owned, now, Milliseconds { 1 }) : std::nullopt;
    // Below half of a short lease, so that it can be extended in time once more is known of the executors.
    order.wait = leaseEnd ? std::min(m_limits.pollWait, toMilliseconds(*leaseEnd - now) / 2) : Milliseconds { 0 };
    if (leaseEnd) {
        order.leaseEnd = upstreamTimeAt(*owned, *leaseEnd);
        recordLease(*owned, m_limits, *leaseEnd, now);
    }
    owned->pollReplyDueAt = now + order.wait + m_limits.pollReplyTimeout;
    return order;
}

void UpstreamOwner::onPollReply(const UpstreamId& upstream, const PollOrder& order, const PollReply& reply, TimePoint sentAt, TimePoint now)
{
    OwnedUpstream* owned = findUpstream(upstream);
    if (!owned || order.token < owned->token)
        return;
    if (reply.outcome == OrderOutcome::Fenced) {
        if (!owned->fenced)
            m_port.recordEvent({ EventKind::Fenced, upstream, {}, "look", {}, owned->epoch.value });
        owned->fenced = true;
        return;
    }
    if (reply.outcome != OrderOutcome::Accepted) {
        // A poll answered since this one was sent has shown that the upstream is reachable.
        if (owned->lastSuccessfulPoll <= sentAt)
            recordFailedPoll(*owned, reply, now);
        return;
    }
    owned->pollReplyDueAt.reset();
    const bool restarted = reply.startedAt && isOtherProcess(*owned, *reply.startedAt);
    if (restarted) {
        takeBackUnsentRuns(*owned, now);
        confirmRestart(*owned, "look", now);
        returnRunsOfFormerIncarnation(*owned, reply, sentAt);
        raiseToken(*owned);
        m_port.pollNow(upstream);
        m_recentEnds.removeAt(upstream);
        owned->acknowledgedEnd = 0;
        owned->clockOffset.reset();
    } else {
        onSameIncarnation(*owned, now);
    }
    owned->replaced = false;
    owned->crashReported = false;
    owned->startPolled = owned->startPolled || reply.startedAt;
    if (reply.startedAt)
        owned->startedAt = *reply.startedAt;
    else if (!owned->startPolled)
        owned->startedAt = owned->info.startedAt;
    reportDescription(*owned, now);
    updateClockOffset(*owned, reply.clock, now);
    owned->unreachableCause.clear();
    owned->failedPolls = 0;
    owned->lastSuccessfulPoll = now;
    owned->startsBlocked = false;
    reportFoundRuns(*owned, reply, restarted, sentAt, now);
    processEndedRuns(*owned, reply, now);
    reconcileRuns(*owned, reply, sentAt, now);
    if (restarted)
        recordLeasesOfEarlierOrders(*owned, m_limits, now);
    if (!owned->synced) {
        owned->syncedAt = now;
        // Until this poll an earlier owner may have extended the lease.
        recordLease(*owned, m_limits, now + m_limits.leaseDuration, now);
        answerClaims(*owned);
    }
    owned->synced = true;
    resolveUnclaimedRuns(*owned, now);
    startQueuedRuns(now);
}

void UpstreamOwner::confirmRestart(OwnedUpstream& upstream, const char* cause, TimePoint now)
{
    m_speeds.forget(upstream.info.id);
    // Discovery may have told of it before a poll does.
    if (upstream.replaced)
        return;
    m_port.recordEvent({ EventKind::Restarted, upstream.info.id, {}, cause, {}, upstream.runs.size(), runsAt(upstream), {}, {}, descriptionEvidenceOf(upstream, now) });
    onCrashConfirmed(upstream);
}

// Counted over all upstreams: one that is owned again under the same epoch must not get a lower token than before.
void UpstreamOwner::raiseToken(OwnedUpstream& upstream)
{
    m_tokenRaises = std::max(m_tokenRaises, upstream.tokenRaises) + 1;
    upstream.tokenRaises = m_tokenRaises;
    upstream.token = tokenOf(upstream.epoch, upstream.tokenRaises);
}

void UpstreamOwner::adoptEpoch(OwnedUpstream& upstream, FencingToken epoch)
{
    if (epoch > m_latestEpoch) {
        m_latestEpoch = epoch;
        m_tokenRaises = 0;
    }
    upstream.epoch = epoch;
    upstream.tokenRaises = m_tokenRaises;
    upstream.token = tokenOf(epoch, m_tokenRaises);
}

void UpstreamOwner::returnRunsOfFormerIncarnation(OwnedUpstream& upstream, const PollReply& reply, TimePoint sentAt)
{
    std::set<TaskRun> known(reply.running.begin(), reply.running.end());
    for (const RunEndRecord& end : reply.ended)
        known.insert(end.run);
    std::vector<TaskRun> lostRuns;
    std::vector<RunNote> notes;
    for (auto& entry : upstream.runs) {
        OwnedRun& run = entry.second;
        if (known.count(entry.first) > 0)
            continue;
        // A start that was confirmed before the poll was sent would be listed if the new incarnation had carried it out.
        if (run.confirmedAt != TimePoint {} && run.confirmedAt <= sentAt) {
            lostRuns.push_back(entry.first);
            notes.push_back({ entry.first, run.executor, {}, "absent-after-restart", { { "confirmed", toMilliseconds(sentAt - run.confirmedAt) } } });
            continue;
        }
        run.sentToFormerIncarnation = true;
        run.stopAcceptedAt.reset();
    }
    reportReturnedRuns(upstream, "restart", std::move(notes), sentAt, sentAt);
    for (const TaskRun& run : lostRuns) {
        const VmId executor = upstream.runs.at(run).executor;
        eraseRun(upstream, run);
        returnRun(executor, run, ReturnReason::Lost);
    }
}

void UpstreamOwner::recordFailedPoll(OwnedUpstream& upstream, const PollReply& reply, TimePoint now)
{
    ++upstream.failedPolls;
    if (upstream.failedPolls < failedPollsBeforeUnreachable)
        return;
    const std::string cause = causeName(reply.outcome, reply.failure);
    if (cause == upstream.unreachableCause)
        return;
    upstream.unreachableCause = cause;
    // Whichever process replies next refuses the orders sent so far from then on.
    raiseToken(upstream);
    m_port.recordEvent({ EventKind::Unreachable, upstream.info.id, {}, cause, toMilliseconds(now - upstream.lastSuccessfulPoll), upstream.runs.size(), runsAt(upstream), evidenceOf(upstream, now) });
    if (reply.outcome == OrderOutcome::WrongUpstream) {
        onCrashConfirmed(upstream);
        returnLostRuns(upstream);
    } else if (reply.failure == ConnectionFailure::Refused || reply.failure == ConnectionFailure::Closed)
        reportSuspectedCrash(upstream);
}

void UpstreamOwner::processEndedRuns(OwnedUpstream& upstream, const PollReply& reply, TimePoint now)
{
    for (const RunEndRecord& end : reply.ended) {
        if (end.sequenceNumber <= upstream.acknowledgedEnd)
            continue;
        upstream.acknowledgedEnd = end.sequenceNumber;
        const auto found = upstream.runs.find(end.run);
        if (found == upstream.runs.end()) {
            const RunEnded ended { end.run, upstream.info.id, end.outcome, Milliseconds { 0 } };
            m_recentEnds.add({}, ended, now);
            continue;
        }
        const OwnedRun run = std::move(found->second);
        upstream.used = upstream.used - run.request.need;
        upstream.runs.erase(found);
        finishRun(upstream, run, end.outcome, now);
    }
}

void UpstreamOwner::finishRun(OwnedUpstream& upstream, const OwnedRun& run, RunOutcome outcome, TimePoint now)
{
    // A run that began on a cold upstream, or on one whose kind is not known, tells nothing about the speed of a kind, neither here
    // nor at the executor.
    const bool measured = isDescribed(upstream) && run.state != RunState::Starting && run.confirmedAt != TimePoint {} && run.confirmedAt >= upstream.coldUntil;
    const Milliseconds took = measured ? toMilliseconds(now - run.confirmedAt) : Milliseconds { 0 };
    const RunEnded ended { run.request.run, upstream.info.id, outcome, took, isDescribed(upstream) ? upstream.info.kind : std::string() };
    m_recentEnds.add(run.executor, ended, now);
    if (outcome == RunOutcome::Done) {
        upstream.consecutiveFailures = 0;
        if (upstream.probing)
            m_port.recordEvent({ EventKind::Resumed, upstream.info.id, run.request.run, {}, took, 0 });
        upstream.probing = false;
        upstream.consecutivePauses = 0;
        if (measured && run.request.expectedRunTime.count() > 0)
            recordRunTime(upstream, run.request, took, now);
    } else if (outcome == RunOutcome::Failed) {
        ++upstream.consecutiveFailures;
        if (upstream.consecutiveFailures >= m_limits.failuresBeforePause || upstream.probing) {
            upstream.probing = true;
            upstream.consecutiveFailures = 0;
            pause(upstream, run.request.run, "failed-runs", now);
        }
    }
    // The message may be deferred: the executor needs the completion only when the job's other tasks are done too.
    if (!run.executor.empty())
        m_port.notify(run.executor, { {}, {}, ended, {}, {}, {}, outcome == RunOutcome::Done && hasOtherRunsOfJob(run) });
}

bool UpstreamOwner::hasOtherRunsOfJob(const OwnedRun& run) const
{
    const std::string& job = run.request.run.task.job;
    const bool isQueued = std::any_of(m_queue.begin(), m_queue.end(), [&](const QueuedRun& queuedRun) { return queuedRun.executor == run.executor && queuedRun.request.run.task.job == job; });
    return isQueued || std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) {
        const std::map<TaskRun, OwnedRun>& runs = upstream.second.runs;
        // The map is sorted by job first.
        const auto first = runs.lower_bound(TaskRun { { job, 0, 0 }, 0 });
        return first != runs.end() && first->first.task.job == job && first->second.executor == run.executor;
    });
}

void UpstreamOwner::pause(OwnedUpstream& upstream, const TaskRun& run, const char* cause, TimePoint now)
{
    const Milliseconds time = std::min(m_limits.maxPause, m_limits.initialPause * (1 << std::min(upstream.consecutivePauses, maxPauseDoublings)));
    upstream.pausedUntil = now + time;
    ++upstream.consecutivePauses;
    m_port.recordEvent({ EventKind::Paused, upstream.info.id, run, cause, time, static_cast<std::uint64_t>(upstream.consecutivePauses) });
}

void UpstreamOwner::reconcileRuns(OwnedUpstream& upstream, const PollReply& reply, TimePoint sentAt, TimePoint now)
{
    const std::set<TaskRun> listed(reply.running.begin(), reply.running.end());
    for (const TaskRun& run : reply.running) {
        const auto found = upstream.runs.find(run);
        if (found == upstream.runs.end()) {
            if (!m_recentEnds.findAt(upstream.info.id, run))
                adoptUnknownRun(upstream, run, now);
            continue;
        }
        OwnedRun& owned = found->second;
        owned.lastListedAt = now;
        if (owned.state == RunState::Starting) {
            owned.state = RunState::Running;
            owned.unconfirmed = false;
            owned.confirmedAt = now;
            m_port.notify(owned.executor, { {}, RunStarted { run, upstream.info.id, upstream.epoch }, {}, {}, {}, {}, true });
        }
    }
    if (reply.ended.size() >= endedRunsPageSize)
        return;
    std::vector<TaskRun> lostRuns;
    std::vector<RunNote> notes;
    for (const auto& entry : upstream.runs) {
        const OwnedRun& run = entry.second;
        if (listed.count(entry.first) > 0)
            continue;
        const bool confirmedBeforePoll = run.state == RunState::Running && run.confirmedAt < sentAt;
        const bool stoppedBeforePoll = run.state == RunState::Stopping && run.stopAcceptedAt && *run.stopAcceptedAt < sentAt;
        // Its start order is refused from now on.
        const bool neverStarted = run.unconfirmed && !run.sentToFormerIncarnation && leaseExpiredBy(upstream, m_limits, run.startSentAt) < sentAt;
        if (!confirmedBeforePoll && !stoppedBeforePoll && !neverStarted)
            continue;
        lostRuns.push_back(entry.first);
        const char* absenceBasis = confirmedBeforePoll ? "absent" : "start-lease-expired";
        notes.push_back(noteOfAbsence(run, stoppedBeforePoll ? "absent-after-stop" : absenceBasis, sentAt));
    }
    reportReturnedRuns(upstream, "poll", std::move(notes), sentAt, now);
    for (const TaskRun& run : lostRuns) {
        const VmId executor = upstream.runs.at(run).executor;
        eraseRun(upstream, run);
        if (!executor.empty())
            returnRun(executor, run, ReturnReason::Lost);
    }
    // A start order without a reply, whose run no poll lists, may still be in transit. The stop prevents its execution.
    for (auto& entry : upstream.runs) {
        OwnedRun& run = entry.second;
        if (run.state == RunState::Starting && run.unconfirmed && run.startSentAt < sentAt)
            stopRun(upstream, run, StopCause::Unconfirmed, now);
    }
}

void UpstreamOwner::setNeed(OwnedUpstream& upstream, OwnedRun& run, const Resources& need)
{
    // A claim by an earlier build states none.
    const Resources known = need == Resources {} ? m_typicalNeed : need;
    upstream.used = upstream.used - run.request.need + known;
    run.request.need = known;
}

void UpstreamOwner::adoptUnknownRun(OwnedUpstream& upstream, const TaskRun& run, TimePoint now)
{
    OwnedRun adopted;
    adopted.request.run = run;
    // Its size is unknown, and an upstream that does not check its capacity would start whatever is ordered beside it.
    adopted.request.need = fits(m_typicalNeed, upstream.available()) ? upstream.available() : m_typicalNeed;
    adopted.request.latestStart = now;
    adopted.state = RunState::Running;
    adopted.startSentAt = now;
    adopted.confirmedAt = now;
    // Its executor has had the time to claim it, or it was started by an order that this VM has given up.
    if (upstream.claimsResolved)
        adopted.endBy = now;
    upstream.used = upstream.used + adopted.request.need;
    OwnedRun& stored = upstream.runs.emplace(run, std::move(adopted)).first->second;
    if (upstream.claimsResolved)
        stopRun(upstream, stored, StopCause::Unclaimed, now);
}

void UpstreamOwner::answerClaims(const OwnedUpstream& upstream)
{
    for (const auto& entry : upstream.runs) {
        const OwnedRun& run = entry.second;
        if (run.state == RunState::Running && !run.executor.empty())
            m_port.notify(run.executor, { {}, RunStarted { entry.first, upstream.info.id, upstream.epoch }, {}, {}, {}, {} });
    }
}

void UpstreamOwner::resolveUnclaimedRuns(OwnedUpstream& upstream, TimePoint now)
{
    if (upstream.claimsResolved || !upstream.synced)
        return;
    const bool graceExpired = now - upstream.syncedAt >= m_limits.claimGracePeriod;
    bool anyUnclaimed = false;
    for (auto& entry : upstream.runs) {
        if (!entry.second.executor.empty())
            continue;
        anyUnclaimed = true;
        if (graceExpired)
            stopRun(upstream, entry.second, StopCause::Unclaimed, now);
    }
    upstream.claimsResolved = !anyUnclaimed;
}

void UpstreamOwner::onStartReply(const StartOrder& order, const OrderReply& reply, TimePoint now)
{
    OwnedUpstream* upstream = findUpstream(order.upstream);
    if (!upstream)
        return;
    // An order under an earlier token may have reached an earlier process, which had another clock.
    if (order.token >= upstream->token)
        updateClockOffset(*upstream, reply.clock, now);
    const auto found = upstream->runs.find(order.run);
    // The run may have been placed here again since, or be one that was found here.
    if (found == upstream->runs.end() || found->second.state == RunState::Running || found->second.placement != order.placement)
        return;
    OwnedRun& run = found->second;
    run.startSent = true;
    if (reply.outcome == OrderOutcome::Accepted) {
        run.confirmedAt = now;
        if (run.state == RunState::Stopping)
            return;
        run.state = RunState::Running;
        m_port.notify(run.executor, { {}, RunStarted { order.run, order.upstream, upstream->epoch }, {}, {}, {}, {}, true });
        return;
    }
    if (reply.outcome == OrderOutcome::Unknown) {
        run.unconfirmed = true;
        upstream->startsBlocked = true;
        m_port.recordEvent({ EventKind::StartUnanswered, order.upstream, order.run, {}, toMilliseconds(now - run.startSentAt), 0 });
        m_port.pollNow(order.upstream);
        return;
    }
    // All other outcomes mean that the run is not running and that this order will never start it.
    OwnedRun refused = run;
    eraseRun(*upstream, order.run);
    switch (reply.outcome) {
    case OrderOutcome::Superseded:
        returnRun(refused.executor, order.run, ReturnReason::Superseded);
        return;
    case OrderOutcome::Malformed:
        returnRun(refused.executor, order.run, ReturnReason::Unschedulable);
        return;
    case OrderOutcome::InsufficientCapacity:
    case OrderOutcome::LeaseExpired:
    case OrderOutcome::WrongProcess:
        upstream->startsBlocked = true;
        m_port.pollNow(order.upstream);
        break;
    case OrderOutcome::Fenced:
        noteFenced(*upstream, order.token, order.run);
        break;
    default:
        pause(*upstream, order.run, "start-refused", now);
        break;
    }
    if (refused.state == RunState::Stopping)
        returnRun(refused.executor, order.run, ReturnReason::Withdrawn);
    else
        requeueRun(refused, now);
    startQueuedRuns(now);
}

std::optional<StartOrder> UpstreamOwner::startToSend(const StartOrder& order, TimePoint now)
{
    OwnedUpstream* upstream = findUpstream(order.upstream);
    if (!upstream)
        return std::nullopt;
    const auto found = upstream->runs.find(order.run);
    if (found == upstream->runs.end() || found->second.placement != order.placement || found->second.startSent)
        return std::nullopt;
    OwnedRun& run = found->second;
    const bool wanted = run.state == RunState::Starting && run.request.latestStart >= now && (m_ownStartsEnabled || run.executor != m_self);
    const std::optional<TimePoint> leaseEnd = grantableLease(*upstream, now, m_limits.minStartLease());
    const bool leaseStands = leaseEnd && order.leaseEnd > upstreamTimeAt(*upstream, now);
    // The upstream's labels and capacity may have changed since the run was placed.
    const bool allowed = isUsableFor(*upstream, run.request) && fits(upstream->used, upstream->info.capacity);
    if (!wanted || !leaseStands || !allowed || !acceptsPlacedRuns(*upstream, m_limits, now)) {
        takeBackRun(*upstream, order.run, now);
        return std::nullopt;
    }
    run.startSent = true;
    run.startSentAt = now;
    StartOrder current = order;
    current.leaseEnd = std::min(order.leaseEnd, upstreamTimeAt(*upstream, *leaseEnd));
    current.token = upstream->token;
    current.process = upstream->startPolled ? upstream->startedAt : Milliseconds { 0 };
    return current;
}

void UpstreamOwner::takeBackRun(OwnedUpstream& upstream, const TaskRun& run, TimePoint now)
{
    OwnedRun unsent = upstream.runs.at(run);
    eraseRun(upstream, run);
    if (unsent.state == RunState::Stopping)
        returnRun(unsent.executor, run, ReturnReason::Withdrawn);
    else
        requeueRun(unsent, now);
}

void UpstreamOwner::takeBackUnsentRuns(OwnedUpstream& upstream, TimePoint now)
{
    std::vector<TaskRun> unsent;
    for (const auto& entry : upstream.runs) {
        if (entry.second.placement != 0 && !entry.second.startSent)
            unsent.push_back(entry.first);
    }
    for (const TaskRun& run : unsent)
        takeBackRun(upstream, run, now);
}

std::optional<StopOrder> UpstreamOwner::stopToSend(const StopOrder& order) const
{
    const auto upstream = m_upstreams.find(order.upstream);
    if (upstream == m_upstreams.end())
        return std::nullopt;
    const auto run = upstream->second.runs.find(order.run);
    const bool stands = run != upstream->second.runs.end() && run->second.state == RunState::Stopping && !run->second.stopAcceptedAt;
    return stands ? std::optional<StopOrder>({ order.upstream, order.run, upstream->second.token }) : std::nullopt;
}

void UpstreamOwner::onStopReply(const StopOrder& order, const OrderReply& reply, TimePoint now)
{
    OwnedUpstream* upstream = findUpstream(order.upstream);
    if (!upstream)
        return;
    // An order under an earlier token may have reached an earlier process, whose acceptance the present one knows nothing of.
    const bool presentToken = order.token >= upstream->token;
    if (presentToken)
        updateClockOffset(*upstream, reply.clock, now);
    const auto found = upstream->runs.find(order.run);
    if (found == upstream->runs.end())
        return;
    if (reply.outcome == OrderOutcome::Accepted && presentToken)
        found->second.stopAcceptedAt = now + m_limits.maxStopDuration;
    else if (reply.outcome == OrderOutcome::Fenced)
        noteFenced(*upstream, order.token, {});
}

void UpstreamOwner::noteFenced(OwnedUpstream& upstream, FencingToken token, const TaskRun& started)
{
    // The upstream has seen the owner's own present token.
    if (token < upstream.token)
        return;
    upstream.fenced = true;
    if (!started.task.job.empty())
        m_port.recordEvent({ EventKind::Fenced, upstream.info.id, started, "start", {}, upstream.epoch.value });
}

void UpstreamOwner::tick(TimePoint now)
{
    updateCrashingRoutes();
    expireQueuedRuns(now);
    expireEarlyClaims(now);
    reportUnknownRuns();
    std::vector<UpstreamId> expiredUpstreams;
    for (auto& entry : m_upstreams) {
        OwnedUpstream& upstream = entry.second;
        resolveUnclaimedRuns(upstream, now);
        checkRuns(upstream, now);
        requestDuePoll(upstream, now);
        // Before the first successful poll, which carries the new token, the previous owner can still extend the lease.
        const bool unreachable = (upstream.synced && upstream.failedPolls >= failedPollsBeforeUnreachable) || upstream.unlisted;
        if (unreachable && now > upstream.leasesExpiredBy && !upstream.runs.empty()) {
            takeBackUnsentRuns(upstream, now);
            m_port.recordEvent({ EventKind::RunsLost, entry.first, {}, upstream.unlisted ? "unlisted" : upstream.unreachableCause, toMilliseconds(now - upstream.lastSuccessfulPoll), upstream.runs.size(), runsAt(upstream), evidenceOf(upstream, now) });
            reportSuspectedCrash(upstream);
            returnLostRuns(upstream);
        }
        if (upstream.unlisted && upstream.runs.empty() && now > upstream.leasesExpiredBy)
            expiredUpstreams.push_back(entry.first);
    }
    for (const UpstreamId& upstream : expiredUpstreams)
        release(upstream, now);
    m_recentEnds.expire(now);
    m_released.expire(now);
    m_speeds.expire(now);
    updateSpeedRanges();
    reportWaits(now);
    startQueuedRuns(now);
}

void UpstreamOwner::requestDuePoll(OwnedUpstream& upstream, TimePoint now)
{
    bool pollNeeded = upstream.pollReplyDueAt && now >= *upstream.pollReplyDueAt;
    for (auto& entry : upstream.runs) {
        OwnedRun& run = entry.second;
        const bool needsAbsenceProof = run.state == RunState::Stopping && run.stopCause == StopCause::Unconfirmed && run.stopAcceptedAt && now > *run.stopAcceptedAt;
        pollNeeded = pollNeeded || (needsAbsenceProof && !run.absencePollRequested);
        run.absencePollRequested = run.absencePollRequested || needsAbsenceProof;
    }
    if (!pollNeeded)
        return;
    upstream.pollReplyDueAt.reset();
    m_port.pollNow(upstream.info.id);
}

void UpstreamOwner::checkRuns(OwnedUpstream& upstream, TimePoint now)
{
    for (auto& entry : upstream.runs) {
        OwnedRun& run = entry.second;
        if (run.state == RunState::Stopping && !run.stopAcceptedAt && now - run.stopSentAt > stopRetryInterval && upstream.failedPolls == 0) {
            run.stopSentAt = now;
            m_port.stop({ upstream.info.id, entry.first, upstream.token });
        }
        if (run.state != RunState::Running || run.request.expectedRunTime.count() == 0)
            continue;
        const Duration allowedTime = std::chrono::duration_cast<Duration>(run.request.expectedRunTime * std::max(relativeDurationOn(upstream, run.request), kindDurationOn(upstream, run.request)) * m_limits.hangFactor) + m_limits.hangAllowance;
        // Only the time up to the last poll that listed the run counts: it may have ended since.
        if (run.lastListedAt - run.confirmedAt <= allowedTime)
            continue;
        stopRun(upstream, run, StopCause::Hanging, now);
        upstream.probing = true;
        pause(upstream, entry.first, "hanging-run", now);
    }
}

void UpstreamOwner::expireQueuedRuns(TimePoint now)
{
    const std::size_t queued = m_queue.size();
    for (const QueuedRun& expired : m_queue.removeExpired(now)) {
        m_port.recordEvent({ EventKind::RequestExpired, {}, expired.request.run, {}, toMilliseconds(now - expired.since), queued });
        returnRun(expired.executor, expired.request.run, ReturnReason::Expired);
    }
}

void UpstreamOwner::returnQueuedRuns()
{
    std::vector<std::pair<VmId, TaskRun>> runs;
    runs.reserve(m_queue.size());
    for (const QueuedRun& queuedRun : m_queue)
        runs.emplace_back(queuedRun.executor, queuedRun.request.run);
    for (const auto& run : runs) {
        m_queue.remove(run.first, run.second);
        returnRun(run.first, run.second, ReturnReason::Unschedulable);
    }
}

void UpstreamOwner::startQueuedRuns(TimePoint now)
{
    if (!m_startsEnabled || m_queue.empty()) {
        releaseReservations();
        return;
    }
    if (m_upstreams.empty() && m_hasReleasedUpstreams) {
        returnQueuedRuns();
        releaseReservations();
        return;
    }
    std::int64_t largestFree = largestFreeMilliCores(now);
    // While no queued run fits anywhere, only the reports about crashes and the evacuations matter.
    if (m_queue.smallestNeed() > largestFree && m_crashes.size() == 0 && !m_queue.hasSuspects() && m_evacuated.empty()) {
        releaseReservations();
        return;
    }
    m_queue.beginPass(m_queue.needsUsage() ? coreUsage(now) : CoreUsage {}, now);
    PlacementPass pass = beginPlacement(now);
    while (QueuedRun* queuedRun = m_queue.next()) {
        const RunRequest& request = queuedRun->request;
        // The executor decides what becomes of the task.
        if (isConclusive(possibleCrashesOf(request))) {
            returnRun(queuedRun->executor, request.run, ReturnReason::Withdrawn);
            m_queue.removeOffered();
            continue;
        }
        const bool canStart = request.latestStart >= now && mayStartRunsOf(queuedRun->executor, now) && (m_ownStartsEnabled || queuedRun->executor != m_self);
        OwnedUpstream* upstream = canStart && request.need.milliCores <= largestFree ? placeFor(*queuedRun, pass, now) : nullptr;
        if (upstream) {
            startRun(*upstream, *queuedRun, now);
            m_queue.removeStarted();
            largestFree = largestFreeMilliCores(now);
            continue;
        }
        if (isLeftWithoutUpstream(request)) {
            returnRun(queuedRun->executor, request.run, ReturnReason::Unschedulable);
            m_queue.removeOffered();
            continue;
        }
        if (canStart && mustBeAlone(request))
            reserveUpstream(request, now);
    }
    releaseReservations();
}

std::int64_t UpstreamOwner::largestFreeMilliCores(TimePoint now) const
{
    std::int64_t largest = -1;
    for (const auto& entry : m_upstreams) {
        if (acceptsRuns(entry.second, m_limits, now))
            largest = std::max(largest, entry.second.available().milliCores);
    }
    return largest;
}

CoreUsage UpstreamOwner::coreUsage(TimePoint now) const
{
    CoreUsage usage;
    for (const auto& entry : m_upstreams) {
        const OwnedUpstream& upstream = entry.second;
        ServiceCores& cores = usage[upstream.info.service];
        if (acceptsRuns(upstream, m_limits, now))
            cores.total += upstream.info.capacity.milliCores;
        for (const auto& run : upstream.runs) {
            // The route of a run that was found at the upstream is unknown.
            if (!run.second.request.route.empty())
                cores.usedByRoute[run.second.request.route] += run.second.request.need.milliCores;
        }
    }
    return usage;
}

void UpstreamOwner::startRun(OwnedUpstream& upstream, const QueuedRun& queuedRun, TimePoint now)
{
    OwnedRun run;
    run.request = queuedRun.request;
    run.executor = queuedRun.executor;
    run.placement = ++m_lastPlacement;
    run.startSentAt = now;
    upstream.used = upstream.used + run.request.need;
    upstream.runs.emplace(queuedRun.request.run, run);
    const TimePoint leaseEnd = grantableLease(upstream, now, m_limits.minStartLease()).value_or(now);
    recordLease(upstream, m_limits, leaseEnd, now);
    m_port.start({ upstream.info.id, queuedRun.request.run, queuedRun.request.spec, upstream.token, upstreamTimeAt(upstream, leaseEnd), run.placement });
}

void UpstreamOwner::stopRun(OwnedUpstream& upstream, OwnedRun& run, StopCause cause, TimePoint now)
{
    if (run.state == RunState::Stopping)
        return;
    run.state = RunState::Stopping;
    run.stopCause = cause;
    run.stopSentAt = now;
    m_port.recordEvent({ EventKind::RunStopped, upstream.info.id, run.request.run, causeName(cause), toMilliseconds(now - run.startSentAt), 0 });
    m_port.stop({ upstream.info.id, run.request.run, upstream.token });
}

void UpstreamOwner::requeueRun(OwnedRun& run, TimePoint now)
{
    m_queue.add({ run.executor, run.request, now });
}

void UpstreamOwner::eraseRun(OwnedUpstream& upstream, const TaskRun& run)
{
    const auto found = upstream.runs.find(run);
    if (found == upstream.runs.end())
        return;
    upstream.used = upstream.used - found->second.request.need;
    upstream.runs.erase(found);
}

void UpstreamOwner::returnRun(const VmId& executor, const TaskRun& run, ReturnReason reason)
{
    if (!executor.empty())
        m_port.notify(executor, { {}, {}, {}, RunReturned { run, reason }, {}, {} });
}

void UpstreamOwner::returnLostRuns(OwnedUpstream& upstream)
{
    for (const auto& entry : upstream.runs)
        returnRun(entry.second.executor, entry.first, ReturnReason::Lost);
    upstream.runs.clear();
    upstream.used = {};
}

void UpstreamOwner::seedTypicalNeed(const Resources& need)
{
    if (m_typicalNeed == Resources {})
        m_typicalNeed = withoutAccelerators(need);
}

void UpstreamOwner::updateTypicalNeed(const Resources& need)
{
    const Resources counted = withoutAccelerators(need);
    if (!couldRunAnywhere(counted))
        return;
    m_needs.add(counted);
    // A need that was taken over from another VM may fit none of this VM's upstreams.
    if (m_typicalNeed == Resources {} || !couldRunAnywhere(m_typicalNeed)) {
        m_typicalNeed = counted;
        return;
    }
    const auto updateMean = [](std::int64_t& mean, std::int64_t value) {
        mean += static_cast<std::int64_t>(static_cast<double>(value - mean) * typicalNeedWeight);
    };
    updateMean(m_typicalNeed.milliCores, counted.milliCores);
    updateMean(m_typicalNeed.memoryMb, counted.memoryMb);
}

bool UpstreamOwner::couldRunAnywhere(const Resources& need) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&need](const auto& entry) { return fits(need, entry.second.info.capacity); });
}

void UpstreamOwner::removeImpossibleNeeds()
{
    m_needs.keepIf([this](const Resources& need) { return couldRunAnywhere(need); });
}

double UpstreamOwner::expectedTasks(const Resources& capacity) const
{
    // Until a task has been requested here, the need that another VM has reported is all that is known.
    return m_needs.empty() ? tasksThatFit(capacity, m_typicalNeed) : m_needs.tasksThatFit(capacity);
}

void UpstreamOwner::addPlaces(const OwnedUpstream& upstream, std::vector<SizedCapacity>& places) const
{
    const std::vector<std::int64_t>& sizes = m_needs.sizes();
    // With needs that are all alike the number of free tasks says the same.
    if (sizes.size() < 2)
        return;
    if (places.empty()) {
        for (const std::int64_t size : sizes)
            places.push_back({ size, 0 });
    }
    for (SizedCapacity& place : places)
        place.freeTasks += tasksThatFit(upstream.available(), { place.milliCores, m_needs.medianMemoryMb(), 0 });
}

CapacityReport UpstreamOwner::capacityReport(TimePoint now) const
{
    struct KindCount {
        KindCapacity capacity;
        double free = 0;
        double total = 0;
    };
    std::map<std::pair<std::string, std::string>, KindCount> kinds;
    const bool typicalNeedUnknown = m_typicalNeed == Resources {} || !couldRunAnywhere(m_typicalNeed);
    const bool needUnknown = typicalNeedUnknown && m_needs.empty();
    for (const auto& entry : m_upstreams) {
        const OwnedUpstream& upstream = entry.second;
        KindCount& kind = kinds[{ upstream.info.service, upstream.info.kind }];
        kind.capacity.service = upstream.info.service;
        kind.capacity.kind = upstream.info.kind;
        kind.capacity.slowness = m_runTimeEstimator.slowness(upstream.info.kind);
        if (!m_startsEnabled || !acceptsRuns(upstream, m_limits, now) || isKeptForOneTask(upstream))
            continue;
        // While the typical need is unknown, each upstream counts as capacity for one task.
        kind.free += needUnknown ? 1 : expectedTasks(upstream.available());
        kind.total += needUnknown ? 1 : expectedTasks(upstream.info.capacity);
        if (!needUnknown)
            addPlaces(upstream, kind.capacity.places);
    }
    CapacityReport report;
    report.typicalNeed = typicalNeedUnknown ? Resources {} : m_typicalNeed;
    for (auto& entry : kinds) {
        KindCount& kind = entry.second;
        kind.capacity.freeTasks = static_cast<std::uint32_t>(std::lround(kind.free));
        // An upstream that some tasks fit is capacity, however few they are.
        kind.capacity.totalTasks = kind.total > 0 ? std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(kind.total))) : 0;
        removeRedundantPlaces(kind.capacity.places);
        report.kinds.push_back(std::move(kind.capacity));
    }
    std::map<std::pair<std::string, int>, QueueBacklog> queues;
    for (const QueuedRun& queuedRun : m_queue) {
        // It does not wait for the capacity that is reported here.
        if (mustBeAlone(queuedRun.request) || m_crashingRoutes.count(queuedRun.request.route) > 0)
            continue;
        QueueBacklog& queue = queues[{ queuedRun.request.service, queuedRun.request.priority }];
        queue.service = queuedRun.request.service;
        queue.priority = queuedRun.request.priority;
        ++queue.tasks;
        queue.work += queuedRun.request.expectedRunTime;
    }
    for (auto& queue : queues)
        report.queues.push_back(queue.second);
    report.confinedRoutes = confinedRoutes(now);
    return report;
}

bool UpstreamOwner::couldEverRun(const std::string& service, const Resources& need) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& entry) {
        return entry.second.info.service == service && fits(need, entry.second.info.capacity);
    });
}

bool UpstreamOwner::hasRunsOf(const VmId& executor) const
{
    const bool isQueued = std::any_of(m_queue.begin(), m_queue.end(), [&executor](const QueuedRun& queuedRun) { return queuedRun.executor == executor; });
    return isQueued || std::any_of(m_upstreams.begin(), m_upstreams.end(), [&executor](const auto& upstream) {
        return std::any_of(upstream.second.runs.begin(), upstream.second.runs.end(), [&executor](const auto& run) { return run.second.executor == executor; });
    });
}

bool UpstreamOwner::allSynced() const
{
    return std::all_of(m_upstreams.begin(), m_upstreams.end(), [](const auto& entry) { return entry.second.synced; });
}

std::size_t UpstreamOwner::running() const
{
    std::size_t count = 0;
    for (const auto& entry : m_upstreams)
        count += entry.second.runs.size();
    return count;
}

OwnedUpstream* UpstreamOwner::findUpstream(const UpstreamId& upstream)
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

} // namespace egrettrestle
