#include <egrettrestle/decision/upstream_owner.hpp>

#include <algorithm>
#include <limits>

namespace egrettrestle {

namespace {

    using NoteKind = OwnerEvent::Kind;

    // An end list as long as this may go on in the next reply.
    constexpr std::size_t endPageSize = 500;
    // Share of a new need in the mean that room is counted in.
    constexpr double needShare = 0.02;
    // A look counts as unanswered from the first failure on; a single lost packet may be repeated once.
    constexpr int failedLooksBeforeSilence = 2;
    // Beyond this a doubled pause is longer than the longest one.
    constexpr int mostDoublings = 6;

    bool waitsBefore(const RunRequest& left, const RunRequest& right)
    {
        return left.priority != right.priority ? left.priority < right.priority : left.latestStart < right.latestStart;
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

    UpstreamClock clockAt(const OwnedUpstream& upstream, TimePoint now)
    {
        return upstream.clockOffset.value_or(Milliseconds { 0 }) + toMilliseconds(now.time_since_epoch());
    }

    void readClock(OwnedUpstream& upstream, const std::optional<UpstreamClock>& clock, TimePoint now)
    {
        if (!clock)
            return;
        upstream.clockOffset = *clock - toMilliseconds(now.time_since_epoch());
        upstream.clockReadAt = now;
    }

    void noteLease(OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now)
    {
        const Duration sampleAge = upstream.clockOffset ? now - upstream.clockReadAt : Duration { 0 };
        const Duration drift = std::chrono::duration_cast<Duration>((limits.leaseDuration + sampleAge) * limits.clockDrift);
        upstream.leasesExpiredBy = std::max(upstream.leasesExpiredBy, now + limits.leaseDuration + drift + limits.leaseExpiryMargin);
    }

    bool hasLabel(const UpstreamInfo& info, const std::string& label)
    {
        return label.empty() || std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
    }

    std::uint32_t runsOfStep(const OwnedUpstream& upstream, const TaskRef& task)
    {
        return static_cast<std::uint32_t>(std::count_if(upstream.runs.begin(), upstream.runs.end(), [&task](const auto& entry) {
            return entry.first.task.job == task.job && entry.first.task.step == task.step;
        }));
    }

    std::uint32_t tasksThatFit(const Resources& room, const Resources& need)
    {
        std::int64_t count = std::numeric_limits<std::int32_t>::max();
        const auto bound = [&count](std::int64_t available, std::int64_t each) {
            if (each > 0)
                count = std::min(count, std::max<std::int64_t>(0, available / each));
        };
        bound(room.milliCores, need.milliCores);
        bound(room.memoryMb, need.memoryMb);
        bound(room.accelerators, need.accelerators);
        return count == std::numeric_limits<std::int32_t>::max() ? 0 : static_cast<std::uint32_t>(count);
    }

    bool takesRuns(const OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now)
    {
        const bool reachable = upstream.synced && upstream.claimsResolved && upstream.failedPolls == 0 && now - upstream.lastSuccessfulPoll < limits.upstreamTimeout;
        const bool wanted = !upstream.info.draining && !upstream.unlisted && !upstream.fenced && !upstream.startsBlocked;
        return reachable && wanted && now >= upstream.pausedUntil && !(upstream.probing && !upstream.runs.empty());
    }

}

UpstreamOwner::UpstreamOwner(OwnerPort& port, OwnerLimits limits, VmId self)
    : m_port(port)
    , m_limits(limits)
    , m_self(std::move(self))
{
}

bool UpstreamOwner::isHeard(const VmId& executor, TimePoint now) const
{
    const auto heard = m_heard.find(executor);
    return executor == m_self || heard == m_heard.end() || now - heard->second <= m_limits.executorTimeout;
}

/// A lease holds for everything at an upstream, so one run without an executor keeps all from being extended.
bool UpstreamOwner::mayGrant(const OwnedUpstream& upstream, TimePoint now) const
{
    return std::all_of(upstream.runs.begin(), upstream.runs.end(), [this, now](const auto& entry) {
        return entry.second.stopAcceptedAt || isHeard(entry.second.executor, now);
    });
}

void UpstreamOwner::acquire(const UpstreamInfo& info, FencingToken token, TimePoint now)
{
    const auto found = m_upstreams.find(info.id);
    if (found != m_upstreams.end()) {
        OwnedUpstream& upstream = found->second;
        const bool reborn = upstream.info.startedAt.count() > 0 && info.startedAt.count() > 0 && info.startedAt > upstream.info.startedAt;
        if (reborn) {
            m_port.recordEvent({ NoteKind::Restarted, info.id, {}, "discovery", {}, upstream.runs.size() });
            loseRuns(upstream);
            m_upstreams.erase(found);
        } else {
            if (info.startedAt >= upstream.info.startedAt)
                upstream.info = info;
            upstream.unlisted = false;
            if (token > upstream.token) {
                upstream.token = token;
                upstream.fenced = false;
                takeEarlyClaims(info.id, now);
            }
            return;
        }
    }
    OwnedUpstream upstream;
    upstream.info = info;
    upstream.token = token;
    upstream.ownedSince = now;
    upstream.lastSuccessfulPoll = now;
    noteLease(upstream, m_limits, now);
    m_upstreams.emplace(info.id, std::move(upstream));
    m_port.recordEvent({ NoteKind::Owned, info.id, {}, {}, {}, token.value });
    takeEarlyClaims(info.id, now);
}

void UpstreamOwner::takeEarlyClaims(const UpstreamId& upstream, TimePoint now)
{
    std::vector<EarlyClaim> claims;
    claims.swap(m_earlyClaims);
    for (EarlyClaim& early : claims) {
        if (early.claim.upstream == upstream)
            claim(early.executor, early.claim, now);
        else
            m_earlyClaims.push_back(std::move(early));
    }
}

void UpstreamOwner::release(const UpstreamId& upstream, TimePoint now)
{
    OwnedUpstream* owned = find(upstream);
    if (!owned)
        return;
    m_port.recordEvent({ NoteKind::Released, upstream, {}, {}, toMilliseconds(now - owned->ownedSince), owned->runs.size() });
    for (const auto& entry : owned->runs) {
        const RunStarted started { entry.first, upstream, owned->token };
        m_released[entry.first] = started;
        m_releasedOrder.emplace_back(now, entry.first);
        if (entry.second.state == RunState::Starting)
            m_port.notify(entry.second.executor, { {}, started, {}, {}, {}, {} });
    }
    m_upstreams.erase(upstream);
}

void UpstreamOwner::markUnlisted(const UpstreamId& upstream)
{
    if (OwnedUpstream* owned = find(upstream))
        owned->unlisted = true;
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
    noteNeed(request.need);
    // Of an earlier submission of the job, whose numbers began at 1 too.
    m_recentEnds.erase(request.run);
    m_released.erase(request.run);
    insertWaiting({ executor, request, now });
    startWaiting(now);
}

void UpstreamOwner::withdraw(const VmId& executor, const RunWithdrawal& withdrawn, TimePoint now)
{
    const TaskRun& run = withdrawn.run;
    const auto waiting = std::find_if(m_queue.begin(), m_queue.end(), [&run](const Waiting& entry) { return entry.request.run == run; });
    if (waiting != m_queue.end()) {
        m_queue.erase(waiting);
        returnRun(executor, run, ReturnReason::Withdrawn);
        return;
    }
    const auto isMeant = [&withdrawn](const UpstreamId& upstream) { return withdrawn.upstream.empty() || withdrawn.upstream == upstream; };
    for (auto& entry : m_upstreams) {
        const auto found = entry.second.runs.find(run);
        if (found == entry.second.runs.end() || !isMeant(entry.first) || found->second.executor != executor)
            continue;
        if (!withdrawn.onlyIfWaiting)
            stopRun(entry.second, found->second, StopCause::Withdrawn, now);
        return;
    }
    // The run may be at an upstream that is not yet known to be owned here; the executor claims it again.
    const bool claimed = std::any_of(m_earlyClaims.begin(), m_earlyClaims.end(), [&run](const EarlyClaim& early) { return early.claim.run == run; });
    if (claimed)
        return;
    const auto ended = m_recentEnds.find(run);
    const auto released = m_released.find(run);
    if (ended != m_recentEnds.end() && isMeant(ended->second.upstream))
        m_port.notify(executor, { {}, {}, ended->second, {}, {}, {} });
    else if (released != m_released.end() && isMeant(released->second.upstream))
        m_port.notify(executor, { {}, released->second, {}, {}, {}, {} });
    else
        returnRun(executor, run, ReturnReason::Withdrawn);
}

void UpstreamOwner::claim(const VmId& executor, const RunClaim& claim, TimePoint now)
{
    // The same number may have ended elsewhere, in an earlier submission of the job.
    const auto ended = m_recentEnds.find(claim.run);
    if (ended != m_recentEnds.end() && ended->second.upstream == claim.upstream) {
        m_port.notify(executor, { {}, {}, ended->second, {}, {}, {} });
        return;
    }
    OwnedUpstream* upstream = find(claim.upstream);
    if (!upstream || upstream->token < claim.epoch) {
        m_earlyClaims.push_back({ executor, claim, now });
        return;
    }
    const auto found = upstream->runs.find(claim.run);
    if (found != upstream->runs.end()) {
        found->second.executor = executor;
        m_port.notify(executor, { {}, RunStarted { claim.run, claim.upstream, upstream->token }, {}, {}, {}, {} });
        return;
    }
    if (upstream->synced) {
        returnRun(executor, claim.run, ReturnReason::Lost);
        return;
    }
    // The first look tells whether the run is there.
    OwnedRun run;
    run.request.run = claim.run;
    run.request.need = m_ordinaryNeed;
    run.request.latestStart = now;
    run.executor = executor;
    run.state = RunState::Running;
    run.startSentAt = now;
    run.confirmedAt = upstream->ownedSince;
    upstream->used = upstream->used + run.request.need;
    upstream->runs.emplace(claim.run, std::move(run));
    m_port.notify(executor, { {}, RunStarted { claim.run, claim.upstream, upstream->token }, {}, {}, {}, {} });
}

void UpstreamOwner::onExecutorLost(const VmId& executor, TimePoint now)
{
    // If it is alive after all, it learns of each of its tasks what became of it.
    for (const TaskRun& run : takeWaiting(executor))
        returnRun(executor, run, ReturnReason::Withdrawn);
    for (auto& entry : m_upstreams) {
        for (auto& run : entry.second.runs) {
            if (run.second.executor == executor)
                stopRun(entry.second, run.second, StopCause::ExecutorGone, now);
        }
    }
}

void UpstreamOwner::onExecutorRestarted(const VmId& executor, TimePoint now)
{
    takeWaiting(executor);
    for (auto& entry : m_upstreams) {
        for (auto& run : entry.second.runs) {
            if (run.second.executor != executor)
                continue;
            stopRun(entry.second, run.second, StopCause::ExecutorGone, now);
            // Its present life may have a run of the same job and number.
            run.second.executor.clear();
        }
    }
}

/// Takes what waits for an executor out of the queue.
std::vector<TaskRun> UpstreamOwner::takeWaiting(const VmId& executor)
{
    std::vector<TaskRun> taken;
    for (auto entry = m_queue.begin(); entry != m_queue.end();) {
        if (entry->executor == executor) {
            taken.push_back(entry->request.run);
            entry = m_queue.erase(entry);
        } else {
            ++entry;
        }
    }
    return taken;
}

std::optional<PollOrder> UpstreamOwner::nextPoll(const UpstreamId& upstream, TimePoint now)
{
    OwnedUpstream* owned = find(upstream);
    if (!owned)
        return std::nullopt;
    PollOrder order;
    order.upstream = upstream;
    order.token = owned->token;
    order.acknowledged = owned->acknowledgedEnd;
    const bool extends = owned->synced && owned->claimsResolved && owned->failedPolls == 0 && owned->clockOffset && mayGrant(*owned, now);
    order.wait = extends ? m_limits.pollWait : Milliseconds { 0 };
    if (extends) {
        order.leaseEnd = clockAt(*owned, now) + m_limits.leaseDuration;
        noteLease(*owned, m_limits, now);
    }
    owned->pollReplyDueAt = now + order.wait + m_limits.pollReplyTimeout;
    return order;
}

void UpstreamOwner::onPollReply(const UpstreamId& upstream, const PollOrder& order, const PollReply& reply, TimePoint sentAt, TimePoint now)
{
    OwnedUpstream* owned = find(upstream);
    if (!owned || order.token < owned->token)
        return;
    if (reply.outcome == OrderOutcome::Fenced) {
        if (!owned->fenced)
            m_port.recordEvent({ NoteKind::Fenced, upstream, {}, "look", {}, owned->token.value });
        owned->fenced = true;
        return;
    }
    if (reply.outcome != OrderOutcome::Accepted) {
        // A look that was sent later has shown that the upstream answers.
        if (owned->lastSuccessfulPoll <= sentAt)
            ++owned->failedPolls;
        return;
    }
    owned->pollReplyDueAt.reset();
    const bool reborn = reply.startedAt && owned->info.startedAt.count() > 0 && *reply.startedAt > owned->info.startedAt;
    if (reborn) {
        m_port.recordEvent({ NoteKind::Restarted, upstream, {}, "look", {}, owned->runs.size() });
        loseRuns(*owned);
        owned->acknowledgedEnd = 0;
        owned->clockOffset.reset();
    }
    if (reply.startedAt && *reply.startedAt >= owned->info.startedAt)
        owned->info.startedAt = *reply.startedAt;
    readClock(*owned, reply.clock, now);
    owned->failedPolls = 0;
    owned->lastSuccessfulPoll = now;
    owned->startsBlocked = false;
    takeEnds(*owned, reply, now);
    compareRunning(*owned, reply, sentAt, now);
    if (!owned->synced)
        owned->syncedAt = now;
    owned->synced = true;
    checkClaims(*owned, now);
    startWaiting(now);
}

void UpstreamOwner::takeEnds(OwnedUpstream& upstream, const PollReply& reply, TimePoint now)
{
    for (const RunEndRecord& end : reply.ended) {
        if (end.sequenceNumber <= upstream.acknowledgedEnd)
            continue;
        upstream.acknowledgedEnd = end.sequenceNumber;
        const auto found = upstream.runs.find(end.run);
        if (found == upstream.runs.end()) {
            const RunEnded ended { end.run, upstream.info.id, end.outcome, Milliseconds { 0 } };
            m_recentEnds[end.run] = ended;
            m_recentOrder.emplace_back(now, end.run);
            continue;
        }
        const OwnedRun run = std::move(found->second);
        upstream.used = upstream.used - run.request.need;
        upstream.runs.erase(found);
        finishRun(upstream, run, end.outcome, now);
    }
}

void UpstreamOwner::finishRun(OwnedUpstream& upstream, const OwnedRun& run, RunOutcome how, TimePoint now)
{
    const bool measured = run.state != RunState::Starting && run.confirmedAt != TimePoint {};
    const Milliseconds took = measured ? toMilliseconds(now - run.confirmedAt) : Milliseconds { 0 };
    const RunEnded ended { run.request.run, upstream.info.id, how, took, upstream.info.kind };
    m_recentEnds[run.request.run] = ended;
    m_recentOrder.emplace_back(now, run.request.run);
    if (how == RunOutcome::Done) {
        upstream.consecutiveFailures = 0;
        if (upstream.probing)
            m_port.recordEvent({ NoteKind::Resumed, upstream.info.id, run.request.run, {}, took, 0 });
        upstream.probing = false;
        upstream.consecutivePauses = 0;
        if (measured && run.request.expectedRunTime.count() > 0)
            m_runTimes.record(run.request.route, upstream.info.kind, run.request.estimate, took);
    } else if (how == RunOutcome::Failed) {
        ++upstream.consecutiveFailures;
        if (upstream.consecutiveFailures >= m_limits.failuresBeforePause || upstream.probing) {
            upstream.probing = true;
            upstream.consecutiveFailures = 0;
            pause(upstream, run.request.run, "failed-runs", now);
        }
    }
    // The executor acts on a task that is done only once the others of the job are done too.
    if (!run.executor.empty())
        m_port.notify(run.executor, { {}, {}, ended, {}, {}, {}, how == RunOutcome::Done && hasMoreOf(run) });
}

bool UpstreamOwner::hasMoreOf(const OwnedRun& run) const
{
    const std::string& job = run.request.run.task.job;
    const bool waits = std::any_of(m_queue.begin(), m_queue.end(), [&](const Waiting& waiting) { return waiting.executor == run.executor && waiting.request.run.task.job == job; });
    return waits || std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) {
        const std::map<TaskRun, OwnedRun>& runs = upstream.second.runs;
        // Runs are ordered by job first.
        const auto first = runs.lower_bound(TaskRun { { job, 0, 0 }, 0 });
        return first != runs.end() && first->first.task.job == job && first->second.executor == run.executor;
    });
}

void UpstreamOwner::pause(OwnedUpstream& upstream, const TaskRun& run, const char* cause, TimePoint now)
{
    const Milliseconds time = std::min(m_limits.maxPause, m_limits.initialPause * (1 << std::min(upstream.consecutivePauses, mostDoublings)));
    upstream.pausedUntil = now + time;
    ++upstream.consecutivePauses;
    m_port.recordEvent({ NoteKind::Paused, upstream.info.id, run, cause, time, static_cast<std::uint64_t>(upstream.consecutivePauses) });
}

void UpstreamOwner::compareRunning(OwnedUpstream& upstream, const PollReply& reply, TimePoint sentAt, TimePoint now)
{
    const std::set<TaskRun> listed(reply.running.begin(), reply.running.end());
    for (const TaskRun& run : reply.running) {
        const auto found = upstream.runs.find(run);
        if (found == upstream.runs.end()) {
            const auto ended = m_recentEnds.find(run);
            if (ended == m_recentEnds.end() || ended->second.upstream != upstream.info.id)
                adoptUnknown(upstream, run, now);
            continue;
        }
        OwnedRun& owned = found->second;
        owned.lastListedAt = now;
        if (owned.state == RunState::Starting) {
            owned.state = RunState::Running;
            owned.unconfirmed = false;
            owned.confirmedAt = now;
            m_port.notify(owned.executor, { {}, RunStarted { run, upstream.info.id, upstream.token }, {}, {}, {}, {}, true });
        }
    }
    if (reply.ended.size() >= endPageSize)
        return;
    std::vector<TaskRun> missing;
    for (const auto& entry : upstream.runs) {
        const OwnedRun& run = entry.second;
        if (listed.count(entry.first) > 0)
            continue;
        const bool ranBefore = run.state == RunState::Running && run.confirmedAt < sentAt;
        const bool stoppedBefore = run.state == RunState::Stopping && run.stopAcceptedAt && *run.stopAcceptedAt < sentAt;
        if (ranBefore || stoppedBefore)
            missing.push_back(entry.first);
    }
    for (const TaskRun& run : missing) {
        const VmId executor = upstream.runs.at(run).executor;
        forget(upstream, run);
        if (!executor.empty())
            returnRun(executor, run, ReturnReason::Lost);
    }
    // A start without an answer that no look shows: a stop keeps it from being carried out later.
    for (auto& entry : upstream.runs) {
        OwnedRun& run = entry.second;
        if (run.state == RunState::Starting && run.unconfirmed && run.startSentAt < sentAt)
            stopRun(upstream, run, StopCause::Unconfirmed, now);
    }
}

void UpstreamOwner::adoptUnknown(OwnedUpstream& upstream, const TaskRun& run, TimePoint now)
{
    OwnedRun adopted;
    adopted.request.run = run;
    adopted.request.need = m_ordinaryNeed;
    adopted.request.latestStart = now;
    adopted.state = RunState::Running;
    adopted.startSentAt = now;
    adopted.confirmedAt = now;
    upstream.used = upstream.used + adopted.request.need;
    OwnedRun& stored = upstream.runs.emplace(run, std::move(adopted)).first->second;
    if (upstream.claimsResolved)
        stopRun(upstream, stored, StopCause::Unclaimed, now);
}

void UpstreamOwner::checkClaims(OwnedUpstream& upstream, TimePoint now)
{
    if (upstream.claimsResolved || !upstream.synced)
        return;
    const bool graceOver = now - upstream.syncedAt >= m_limits.claimGracePeriod;
    bool open = false;
    for (auto& entry : upstream.runs) {
        if (!entry.second.executor.empty())
            continue;
        open = true;
        if (graceOver)
            stopRun(upstream, entry.second, StopCause::Unclaimed, now);
    }
    upstream.claimsResolved = !open;
}

void UpstreamOwner::onStartReply(const StartOrder& order, const OrderReply& reply, TimePoint now)
{
    OwnedUpstream* upstream = find(order.upstream);
    if (!upstream)
        return;
    readClock(*upstream, reply.clock, now);
    const auto found = upstream->runs.find(order.run);
    if (found == upstream->runs.end() || found->second.state == RunState::Running)
        return;
    OwnedRun& run = found->second;
    if (reply.outcome == OrderOutcome::Accepted) {
        run.confirmedAt = now;
        if (run.state == RunState::Stopping)
            return;
        run.state = RunState::Running;
        m_port.notify(run.executor, { {}, RunStarted { order.run, order.upstream, upstream->token }, {}, {}, {}, {}, true });
        return;
    }
    if (reply.outcome == OrderOutcome::Unknown) {
        run.unconfirmed = true;
        upstream->startsBlocked = true;
        m_port.recordEvent({ NoteKind::StartUnanswered, order.upstream, order.run, {}, toMilliseconds(now - run.startSentAt), 0 });
        m_port.pollNow(order.upstream);
        return;
    }
    // Everything else says that the run is not at work and that this order never will start it.
    OwnedRun refused = run;
    forget(*upstream, order.run);
    switch (reply.outcome) {
    case OrderOutcome::Superseded:
        returnRun(refused.executor, order.run, ReturnReason::Superseded);
        return;
    case OrderOutcome::Malformed:
        returnRun(refused.executor, order.run, ReturnReason::Unschedulable);
        return;
    case OrderOutcome::InsufficientCapacity:
    case OrderOutcome::LeaseExpired:
        upstream->startsBlocked = true;
        m_port.pollNow(order.upstream);
        break;
    case OrderOutcome::Fenced:
        upstream->fenced = true;
        m_port.recordEvent({ NoteKind::Fenced, order.upstream, order.run, "start", {}, order.token.value });
        break;
    default:
        pause(*upstream, order.run, "start-refused", now);
        break;
    }
    if (refused.state == RunState::Stopping)
        returnRun(refused.executor, order.run, ReturnReason::Withdrawn);
    else
        requeue(refused, now);
    startWaiting(now);
}

void UpstreamOwner::onStopReply(const StopOrder& order, const OrderReply& reply, TimePoint now)
{
    OwnedUpstream* upstream = find(order.upstream);
    if (!upstream)
        return;
    readClock(*upstream, reply.clock, now);
    const auto found = upstream->runs.find(order.run);
    if (found == upstream->runs.end())
        return;
    if (reply.outcome == OrderOutcome::Accepted)
        found->second.stopAcceptedAt = now + m_limits.maxStopDuration;
    else if (reply.outcome == OrderOutcome::Fenced)
        upstream->fenced = true;
}

void UpstreamOwner::tick(TimePoint now)
{
    expireWaiting(now);
    m_earlyClaims.erase(std::remove_if(m_earlyClaims.begin(), m_earlyClaims.end(), [this, now](const EarlyClaim& early) { return now - early.since > m_limits.earlyClaimTimeout; }), m_earlyClaims.end());
    std::vector<UpstreamId> done;
    for (auto& entry : m_upstreams) {
        OwnedUpstream& upstream = entry.second;
        checkClaims(upstream, now);
        checkRuns(upstream, now);
        seekAnswers(upstream, now);
        // Until a look has fenced it, the owner before may still extend the lease.
        const bool silent = (upstream.synced && upstream.failedPolls >= failedLooksBeforeSilence) || upstream.unlisted;
        if (silent && now > upstream.leasesExpiredBy && !upstream.runs.empty()) {
            m_port.recordEvent({ NoteKind::RunsLost, entry.first, {}, "lease-lapsed", toMilliseconds(now - upstream.lastSuccessfulPoll), upstream.runs.size() });
            loseRuns(upstream);
        }
        if (upstream.unlisted && upstream.runs.empty() && now > upstream.leasesExpiredBy)
            done.push_back(entry.first);
    }
    for (const UpstreamId& upstream : done)
        release(upstream, now);
    while (!m_recentOrder.empty() && now - m_recentOrder.front().first > m_limits.endedRunRetention) {
        m_recentEnds.erase(m_recentOrder.front().second);
        m_recentOrder.erase(m_recentOrder.begin());
    }
    while (!m_releasedOrder.empty() && now - m_releasedOrder.front().first > m_limits.endedRunRetention) {
        m_released.erase(m_releasedOrder.front().second);
        m_releasedOrder.erase(m_releasedOrder.begin());
    }
    startWaiting(now);
}

/// Asks for a look where the regular one is late, or where it would not show in time that a stopped run never began.
void UpstreamOwner::seekAnswers(OwnedUpstream& upstream, TimePoint now)
{
    bool look = upstream.pollReplyDueAt && now >= *upstream.pollReplyDueAt;
    for (auto& entry : upstream.runs) {
        OwnedRun& run = entry.second;
        const bool unproved = run.state == RunState::Stopping && run.stopCause == StopCause::Unconfirmed && run.stopAcceptedAt && now > *run.stopAcceptedAt;
        look = look || (unproved && !run.absencePollRequested);
        run.absencePollRequested = run.absencePollRequested || unproved;
    }
    if (!look)
        return;
    upstream.pollReplyDueAt.reset();
    m_port.pollNow(upstream.info.id);
}

void UpstreamOwner::checkRuns(OwnedUpstream& upstream, TimePoint now)
{
    constexpr Milliseconds stopRepeat { 150 };
    for (auto& entry : upstream.runs) {
        OwnedRun& run = entry.second;
        if (run.state == RunState::Stopping && !run.stopAcceptedAt && now - run.stopSentAt > stopRepeat && upstream.failedPolls == 0) {
            run.stopSentAt = now;
            m_port.stop({ upstream.info.id, entry.first, upstream.token });
        }
        if (run.state != RunState::Running || run.request.expectedRunTime.count() == 0)
            continue;
        const Duration allowed = std::chrono::duration_cast<Duration>(run.request.expectedRunTime * durationOn(upstream, run.request) * m_limits.hangFactor) + m_limits.hangAllowance;
        // Without a look that still lists it, the run may have ended long ago.
        if (run.lastListedAt - run.confirmedAt <= allowed)
            continue;
        stopRun(upstream, run, StopCause::Hanging, now);
        upstream.probing = true;
        pause(upstream, entry.first, "hanging-run", now);
    }
}

void UpstreamOwner::expireWaiting(TimePoint now)
{
    const auto expired = [this, now](const Waiting& waiting) {
        if (waiting.request.latestStart >= now)
            return false;
        m_port.recordEvent({ NoteKind::RequestExpired, {}, waiting.request.run, {}, toMilliseconds(now - waiting.since), m_queue.size() });
        returnRun(waiting.executor, waiting.request.run, ReturnReason::Expired);
        return true;
    };
    m_queue.erase(std::remove_if(m_queue.begin(), m_queue.end(), expired), m_queue.end());
}

void UpstreamOwner::startWaiting(TimePoint now)
{
    if (!m_starting || m_queue.empty())
        return;
    std::vector<Waiting> kept;
    std::vector<Waiting> queue;
    queue.swap(m_queue);
    for (Waiting& waiting : queue) {
        const bool useful = waiting.request.latestStart >= now && isHeard(waiting.executor, now);
        OwnedUpstream* upstream = useful ? bestFor(waiting.request, now) : nullptr;
        if (upstream)
            startOn(*upstream, waiting, now);
        else
            kept.push_back(std::move(waiting));
    }
    m_queue = std::move(kept);
}

double UpstreamOwner::durationOn(const OwnedUpstream& upstream, const RunRequest& request) const
{
    const bool far = !request.dataRack.empty() && request.dataRack != upstream.info.rack;
    return m_runTimes.slowness(upstream.info.kind) * (far ? m_limits.remoteDataFactor : 1);
}

OwnedUpstream* UpstreamOwner::bestFor(const RunRequest& request, TimePoint now)
{
    OwnedUpstream* best = nullptr;
    double bestDuration = 0;
    std::int64_t bestLeft = 0;
    for (auto& entry : m_upstreams) {
        OwnedUpstream& upstream = entry.second;
        const bool matches = upstream.info.service == request.service && hasLabel(upstream.info, request.requiredLabel);
        if (!matches || !takesRuns(upstream, m_limits, now) || !fits(request.need, upstream.available()) || !mayGrant(upstream, now))
            continue;
        // A run of the same number may be left there of an earlier submission of the job.
        if (std::find(request.avoid.begin(), request.avoid.end(), entry.first) != request.avoid.end() || upstream.runs.count(request.run) > 0)
            continue;
        if (request.maxPerUpstream > 0 && runsOfStep(upstream, request.run.task) >= request.maxPerUpstream)
            continue;
        const double duration = durationOn(upstream, request);
        const Duration extra = std::chrono::duration_cast<Duration>(request.expectedRunTime * (duration - 1));
        if (now + extra > request.latestStart)
            continue;
        const std::int64_t left = (upstream.available() - request.need).milliCores;
        if (best && (duration > bestDuration || (duration == bestDuration && left >= bestLeft)))
            continue;
        best = &upstream;
        bestDuration = duration;
        bestLeft = left;
    }
    return best;
}

void UpstreamOwner::startOn(OwnedUpstream& upstream, const Waiting& waiting, TimePoint now)
{
    OwnedRun run;
    run.request = waiting.request;
    run.executor = waiting.executor;
    run.startSentAt = now;
    upstream.used = upstream.used + run.request.need;
    upstream.runs.emplace(waiting.request.run, run);
    noteLease(upstream, m_limits, now);
    m_port.start({ upstream.info.id, waiting.request.run, waiting.request.spec, upstream.token, clockAt(upstream, now) + m_limits.leaseDuration });
}

void UpstreamOwner::stopRun(OwnedUpstream& upstream, OwnedRun& run, StopCause cause, TimePoint now)
{
    if (run.state == RunState::Stopping)
        return;
    run.state = RunState::Stopping;
    run.stopCause = cause;
    run.stopSentAt = now;
    m_port.recordEvent({ NoteKind::RunStopped, upstream.info.id, run.request.run, causeName(cause), toMilliseconds(now - run.startSentAt), 0 });
    m_port.stop({ upstream.info.id, run.request.run, upstream.token });
}

void UpstreamOwner::requeue(OwnedRun& run, TimePoint now)
{
    insertWaiting({ run.executor, run.request, now });
}

void UpstreamOwner::insertWaiting(Waiting waiting)
{
    const auto place = std::upper_bound(m_queue.begin(), m_queue.end(), waiting, [](const Waiting& left, const Waiting& right) { return waitsBefore(left.request, right.request); });
    m_queue.insert(place, std::move(waiting));
}

void UpstreamOwner::forget(OwnedUpstream& upstream, const TaskRun& run)
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

void UpstreamOwner::loseRuns(OwnedUpstream& upstream)
{
    for (const auto& entry : upstream.runs)
        returnRun(entry.second.executor, entry.first, ReturnReason::Lost);
    upstream.runs.clear();
    upstream.used = {};
}

void UpstreamOwner::seedTypicalNeed(const Resources& need)
{
    if (m_ordinaryNeed == Resources {})
        m_ordinaryNeed = need;
}

void UpstreamOwner::noteNeed(const Resources& need)
{
    const auto follow = [](std::int64_t& mean, std::int64_t value) {
        mean = mean == 0 ? value : mean + static_cast<std::int64_t>(static_cast<double>(value - mean) * needShare);
    };
    follow(m_ordinaryNeed.milliCores, need.milliCores);
    follow(m_ordinaryNeed.memoryMb, need.memoryMb);
    follow(m_ordinaryNeed.accelerators, need.accelerators);
}

CapacityReport UpstreamOwner::capacityReport(TimePoint now) const
{
    std::map<std::pair<std::string, std::string>, KindCapacity> kinds;
    for (const auto& entry : m_upstreams) {
        const OwnedUpstream& upstream = entry.second;
        KindCapacity& kind = kinds[{ upstream.info.service, upstream.info.kind }];
        kind.service = upstream.info.service;
        kind.kind = upstream.info.kind;
        kind.slowness = m_runTimes.slowness(kind.kind);
        if (!m_starting || !takesRuns(upstream, m_limits, now))
            continue;
        // Until the first task has been seen, an upstream counts as room for one.
        const bool unseen = m_ordinaryNeed == Resources {};
        kind.freeTasks += unseen ? 1 : tasksThatFit(upstream.available(), m_ordinaryNeed);
        kind.totalTasks += unseen ? 1 : tasksThatFit(upstream.info.capacity, m_ordinaryNeed);
    }
    CapacityReport report;
    report.typicalNeed = m_ordinaryNeed;
    for (auto& kind : kinds)
        report.kinds.push_back(kind.second);
    std::map<std::pair<std::string, int>, QueueBacklog> queues;
    for (const Waiting& waiting : m_queue) {
        QueueBacklog& queue = queues[{ waiting.request.service, waiting.request.priority }];
        queue.service = waiting.request.service;
        queue.priority = waiting.request.priority;
        ++queue.tasks;
        queue.work += waiting.request.expectedRunTime;
    }
    for (auto& queue : queues)
        report.queues.push_back(queue.second);
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
    const bool waits = std::any_of(m_queue.begin(), m_queue.end(), [&executor](const Waiting& waiting) { return waiting.executor == executor; });
    return waits || std::any_of(m_upstreams.begin(), m_upstreams.end(), [&executor](const auto& upstream) {
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

OwnedUpstream* UpstreamOwner::find(const UpstreamId& upstream)
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

} // namespace egrettrestle
