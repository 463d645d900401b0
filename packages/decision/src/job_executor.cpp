#include <egrettrestle/decision/job_executor.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    Milliseconds scaled(Milliseconds time, double factor)
    {
        return Milliseconds { static_cast<std::int64_t>(static_cast<double>(time.count()) * factor) };
    }

    // Reason of the failure of a job that has crashed too many upstreams.
    constexpr const char* crashesReason = "crashed-upstreams";
    // Reason of the end of a job whose executor shuts down.
    constexpr const char* endReason = "vm-ending";

    /// When each step of a job ends without waits, given the run time by step.
    template <typename RunTimeOf>
    std::vector<Milliseconds> stepEndsOf(const DispatchJob& request, const RunTimeOf& runTimeOf)
    {
        std::vector<Milliseconds> stepEnds;
        for (const JobStep& step : request.steps) {
            Milliseconds begin { 0 };
            for (const std::uint32_t earlier : step.after)
                begin = std::max(begin, stepEnds[earlier]);
            stepEnds.push_back(begin + runTimeOf(step));
        }
        return stepEnds;
    }

    Milliseconds latestOf(const std::vector<Milliseconds>& times)
    {
        return times.empty() ? Milliseconds { 0 } : *std::max_element(times.begin(), times.end());
    }

    RunStatement statementOf(RunOutcome outcome)
    {
        static const std::map<RunOutcome, RunStatement> statements {
            { RunOutcome::Done, RunStatement::EndedDone },
            { RunOutcome::Failed, RunStatement::EndedFailed },
            { RunOutcome::Stopped, RunStatement::EndedStopped },
            { RunOutcome::LeaseExpired, RunStatement::EndedLapsed },
        };
        return statements.at(outcome);
    }

    RunStatement statementOf(ReturnReason reason)
    {
        static const std::map<ReturnReason, RunStatement> statements {
            { ReturnReason::Expired, RunStatement::ReturnedExpired },
            { ReturnReason::Withdrawn, RunStatement::ReturnedWithdrawn },
            { ReturnReason::Lost, RunStatement::ReturnedLost },
            { ReturnReason::Superseded, RunStatement::ReturnedSuperseded },
            { ReturnReason::Unschedulable, RunStatement::ReturnedUnschedulable },
        };
        return statements.at(reason);
    }

    std::uint32_t taskCount(const DispatchJob& request)
    {
        std::uint32_t count = 0;
        for (const JobStep& step : request.steps)
            count += step.count;
        return count;
    }

}

const char* statementName(RunStatement statement)
{
    static const std::map<RunStatement, const char*> names {
        { RunStatement::EndedDone, "ended-done" },
        { RunStatement::EndedFailed, "ended-failed" },
        { RunStatement::EndedStopped, "ended-stopped" },
        { RunStatement::EndedLapsed, "ended-lapsed" },
        { RunStatement::ReturnedExpired, "returned-expired" },
        { RunStatement::ReturnedLost, "returned-lost" },
        { RunStatement::ReturnedSuperseded, "returned-superseded" },
        { RunStatement::ReturnedUnschedulable, "returned-unschedulable" },
        { RunStatement::ReturnedWithdrawn, "returned-withdrawn" },
        { RunStatement::OwnerLost, "owner-lost" },
        { RunStatement::OrphanTimeOver, "orphan-time-over" },
        { RunStatement::WithdrawalUnconfirmed, "withdrawal-unconfirmed" },
    };
    return names.at(statement);
}

JobExecutor::JobExecutor(ExecutorPort& port, CapacityTable& capacities, const CrashTable& crashes, VmId self, ExecutorLimits limits)
    : m_port(port)
    , m_capacities(capacities)
    , m_crashes(crashes)
    , m_self(std::move(self))
    , m_limits(limits)
{
}

void JobExecutor::submit(CallerTicket ticket, const DispatchJob& request, const Route& route, TimePoint now)
{
    const auto existing = m_jobs.find(request.id);
    if (m_ended) {
        // The job may have run if it was here before.
        if (existing == m_jobs.end())
            refuse(ticket, request, route, endReason, now);
        else
            m_port.reply(ticket, { JobOutcome::GaveUp, Milliseconds { 0 }, endReason });
        return;
    }
    if (existing != m_jobs.end()) {
        m_jobByTicket[ticket] = request.id;
        if (existing->second.ending)
            existing->second.resubmissions.push_back({ ticket, request, now });
        else
            existing->second.callers.push_back(ticket);
        return;
    }
    if (request.callerTimeout <= m_limits.replyMargin) {
        refuse(ticket, request, route, "deadline", now);
        return;
    }
    const TaskCrashes crashes = m_crashes.mostCrashesOf(request.id);
    const Forecast expected = forecast(request, route, now);
    const std::string refusal = isConclusive(crashes.confirmed) || m_warmingUp ? std::string() : refusalReason(expected, request, route);
    if (!refusal.empty()) {
        refuse(ticket, request, route, expected, refusal);
        return;
    }
    Job job;
    job.request = request;
    job.route = route;
    job.receivedAt = now;
    job.deadline = now + request.callerTimeout - m_limits.replyMargin;
    job.dueBy = now + objectiveOf(expected, request, route);
    for (const Milliseconds stepEnd : expected.stepEnds)
        job.runAfterStep.push_back(expected.run - stepEnd);
    job.callers.push_back(ticket);
    job.anyStarted = crashes.possible.total > 0;
    // Messages about runs of an earlier submission may still arrive.
    const auto earlier = m_endedJobs.find(request.id);
    const RunNumber lastRun = earlier == m_endedJobs.end() ? 0 : earlier->second.lastRun;
    for (std::uint32_t step = 0; step < request.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < request.steps[step].count; ++index) {
            Task task;
            task.step = step;
            task.index = index;
            task.run = lastRun;
            job.tasks.push_back(std::move(task));
        }
    }
    m_jobByTicket[ticket] = request.id;
    Job& stored = m_jobs.emplace(request.id, std::move(job)).first->second;
    if (isConclusive(crashes.confirmed))
        end(stored, JobOutcome::Failed, crashesReason, now);
    unblockSteps(stored);
    sendUnsent(stored, now);
    finishIfComplete(request.id, now);
}

void JobExecutor::onCrashesRecorded(const std::vector<TaskRef>& tasks, TimePoint now)
{
    for (const TaskRef& task : tasks) {
        const auto entry = m_jobs.find(task.job);
        if (entry == m_jobs.end())
            continue;
        Job& job = entry->second;
        job.anyStarted = true;
        if (job.ending || !isConclusive(m_crashes.crashesOf(task).confirmed))
            continue;
        end(job, JobOutcome::Failed, crashesReason, now);
        finishIfComplete(task.job, now);
    }
}

std::vector<Milliseconds> JobExecutor::expectedStepEnds(const DispatchJob& request, const Route& route) const
{
    return stepEndsOf(request, [this, &route](const JobStep& step) { return scaled(m_runTimeEstimator.expectedRunTime(route.name, step.estimate), m_limits.longestTaskFactor); });
}

Milliseconds JobExecutor::expectedRunTime(const DispatchJob& job, const Route& route) const
{
    return latestOf(expectedStepEnds(job, route));
}

JobExecutor::Forecast JobExecutor::forecast(const DispatchJob& request, const Route& route, TimePoint now) const
{
    Forecast result;
    result.stepEnds = expectedStepEnds(request, route);
    result.run = latestOf(result.stepEnds);
    std::uint32_t widestStep = 0;
    for (const JobStep& step : request.steps)
        widestStep = std::max(widestStep, step.count);
    result.capacity = m_capacities.totals(route.service, route.priority, route.name);
    // A wait that others had is no reason to refuse a job for which capacity is free.
    if (result.capacity.freeTasks < widestStep)
        result.observedWait = m_queueingDelay.expectedWait(route.service, route.priority, now);
    const std::int64_t shortfall = result.capacity.tasksAhead + widestStep - result.capacity.freeTasks;
    if (shortfall <= 0 || result.capacity.totalTasks == 0)
        return result;
    // Tasks ahead use the capacity in turn. Running tasks are assumed to end evenly distributed over the same time.
    const std::int64_t ownWork = static_cast<std::int64_t>(widestStep) * m_runTimeEstimator.expectedRunTime(route.name, request.steps.front().estimate).count();
    const std::int64_t totalWork = result.capacity.workAhead.count() + ownWork;
    const double share = static_cast<double>(shortfall) / static_cast<double>(result.capacity.tasksAhead + widestStep);
    result.wait = Milliseconds { static_cast<std::int64_t>(static_cast<double>(totalWork) * share) / result.capacity.totalTasks };
    return result;
}

std::string JobExecutor::refusalReason(const Forecast& forecast, const DispatchJob& request, const Route& route)
{
    if (forecast.capacity.totalTasks == 0)
        return "no-upstream";
    if (exceedsTimeout(request, route))
        return "exceeds-timeout";
    if (!meetsObjective(forecast, scaled(forecast.wait, m_limits.waitErrorFactor), request, route))
        return "overloaded";
    if (meetsObjective(forecast, forecast.observedWait, request, route))
        return {};
    const Milliseconds tolerated = std::max(Milliseconds { 0 }, objectiveOf(forecast, request, route) - scaled(forecast.run, m_limits.contentionFactor));
    if (!m_queueingDelay.admitsAnyway(route.service, route.priority, tolerated, forecast.observedWait))
        return "queueing-delay";
    return {};
}

bool JobExecutor::exceedsTimeout(const DispatchJob& request, const Route& route) const
{
    const std::vector<Milliseconds> stepEnds = stepEndsOf(request, [this, &route](const JobStep& step) { return m_runTimeEstimator.shortestRunTime(route.name, step.estimate); });
    return latestOf(stepEnds) > request.callerTimeout - m_limits.replyMargin;
}

bool JobExecutor::meetsObjective(const Forecast& forecast, Milliseconds wait, const DispatchJob& request, const Route& route) const
{
    return wait.count() == 0 || wait + scaled(forecast.run, m_limits.contentionFactor) <= objectiveOf(forecast, request, route);
}

void JobExecutor::recordWait(const Job& job, const Task& task, Milliseconds wait, TimePoint now)
{
    // A run that was claimed, or is being withdrawn, has waited for other things than capacity.
    if (task.state == TaskState::Sent && !task.claimSentAt && !task.orphanedUntil)
        m_queueingDelay.record(job.route.service, job.route.priority, wait, now);
}

void JobExecutor::updateWaiting(TimePoint now)
{
    std::map<std::pair<std::string, int>, std::vector<Milliseconds>> waiting;
    for (const auto& entry : m_jobs) {
        const Job& job = entry.second;
        std::vector<Milliseconds>* ages = nullptr;
        for (const Task& task : job.tasks) {
            // A run that is late already waits behind those that can be in time, which a new one can.
            if (job.ending || task.state != TaskState::Sent || task.claimSentAt || task.orphanedUntil || now > job.dueBy)
                continue;
            if (!ages)
                ages = &waiting[{ job.route.service, job.route.priority }];
            ages->push_back(toMilliseconds(now - task.sentAt));
        }
    }
    m_queueingDelay.setWaiting(std::move(waiting));
}

Milliseconds JobExecutor::objectiveOf(const Forecast& forecast, const DispatchJob& request, const Route& route) const
{
    return std::min(scaled(forecast.run, route.stretch) + route.targetLatency, request.callerTimeout - m_limits.replyMargin);
}

double JobExecutor::maxSlowness(const Job& job, std::uint32_t step, TimePoint now) const
{
    const Milliseconds expected = m_runTimeEstimator.expectedRunTime(job.route.name, job.request.steps[step].estimate);
    const Milliseconds left = toMilliseconds(job.dueBy - job.runAfterStep[step] - now);
    if (expected.count() <= 0 || left.count() <= 0)
        return 0;
    return static_cast<double>(left.count()) / static_cast<double>(expected.count());
}

void JobExecutor::refuse(CallerTicket ticket, const DispatchJob& request, const Route& route, const Forecast& forecast, const std::string& reason)
{
    const JobResult reply { JobOutcome::Refused, std::max({ m_limits.minRetryAfter, forecast.wait, forecast.observedWait }), reason };
    JobEvent event;
    event.kind = JobEvent::Kind::Refused;
    event.job = request.id;
    event.route = route.name;
    event.reason = reason;
    event.expectedRunTime = forecast.run;
    event.expectedWait = std::max(forecast.wait, forecast.observedWait);
    event.capacity = forecast.capacity;
    event.tasks = taskCount(request);
    m_port.recordEvent(event);
    m_port.reply(ticket, reply);
}

void JobExecutor::unblockSteps(Job& job)
{
    std::vector<bool> stepDone(job.request.steps.size(), true);
    for (const Task& task : job.tasks)
        stepDone[task.step] = stepDone[task.step] && task.state == TaskState::Done;
    for (Task& task : job.tasks) {
        const std::vector<std::uint32_t>& after = job.request.steps[task.step].after;
        const bool ready = std::all_of(after.begin(), after.end(), [&stepDone](std::uint32_t step) { return stepDone[step]; });
        if (task.state == TaskState::Blocked && ready)
            task.state = TaskState::Unsent;
    }
}

void JobExecutor::sendUnsent(Job& job, TimePoint now)
{
    // After the deadline tick() ends the job; it may come late.
    if (m_callersUncheckedSince || now >= job.deadline)
        return;
    // Fills one owner before picking the next, since the tasks sent to one owner share messages.
    std::optional<VmId> owner;
    bool ownerIsFast = false;
    for (Task& task : job.tasks) {
        if (task.state != TaskState::Unsent || job.ending)
            continue;
        // The task waits for the confirmation of the crashes, or for an upstream to answer again.
        if (isConclusive(m_crashes.crashesOf({ job.request.id, task.step, task.index }).possible))
            continue;
        const VmId movingTo = endMove(task);
        OwnerQuery query = queryFor(job, task, now);
        if (!movingTo.empty() && m_capacities.placesFor(movingTo, query) > 0) {
            sendTask(job, task, movingTo, now);
            continue;
        }
        const bool unsuitable = owner && std::find(task.unsuitableOwners.begin(), task.unsuitableOwners.end(), *owner) != task.unsuitableOwners.end();
        OwnerQuery fillQuery = query;
        if (!ownerIsFast)
            fillQuery.maxSlowness = 0;
        if (!owner || unsuitable || !query.rack.empty() || m_capacities.placesFor(*owner, fillQuery) <= 0) {
            owner = m_capacities.chooseOwner(query);
            ownerIsFast = owner && m_capacities.placesFor(*owner, query) > 0;
        }
        if (owner)
            sendTask(job, task, *owner, now);
    }
}

OwnerQuery JobExecutor::queryFor(Job& job, const Task& task, TimePoint now) const
{
    return { m_self, job.route.service, task.unsuitableOwners, preferredRack(job, task.step), job.route.name, job.request.steps[task.step].need, maxSlowness(job, task.step, now) };
}

VmId JobExecutor::endMove(Task& task)
{
    VmId owner;
    owner.swap(task.movingTo);
    if (!owner.empty())
        m_capacities.releaseMove(owner);
    return owner;
}

const std::string& JobExecutor::preferredRack(Job& job, std::uint32_t step) const
{
    const JobStep& jobStep = job.request.steps[step];
    job.racks.resize(job.request.steps.size());
    if (job.racks[step].empty())
        job.racks[step] = jobStep.dataRack.empty() && jobStep.sameRack && jobStep.count > 1 ? m_capacities.rackWithMostCapacity(job.route.service) : jobStep.dataRack;
    return job.racks[step];
}

void JobExecutor::sendTask(Job& job, Task& task, const VmId& owner, TimePoint now)
{
    const JobStep& step = job.request.steps[task.step];
    const VmId earlierOwner = task.owner;
    const TimePoint earlierSentAt = task.sentAt;
    ++task.run;
    task.state = TaskState::Sent;
    task.owner = owner;
    task.upstream.clear();
    task.startEpoch = {};
    task.claimSentAt.reset();
    task.claimConfirmedAt.reset();
    task.claimedFrom.clear();
    task.orphanedUntil.reset();
    task.sentAt = now;
    task.movingTo.clear();
    noteResend(job, task, earlierOwner, earlierSentAt, now);
    RunRequest request;
    request.run = runOf(job, task);
    request.spec = job.request.spec;
    request.service = job.route.service;
    request.route = job.route.name;
    request.need = step.need;
    request.priority = job.route.priority;
    request.estimate = step.estimate;
    request.expectedRunTime = m_runTimeEstimator.expectedRunTime(job.route.name, step.estimate);
    request.latestStart = std::max(now, job.deadline - scaled(request.expectedRunTime, m_limits.minRemainingShare));
    request.dueBy = job.dueBy - job.runAfterStep[task.step];
    request.requiredLabel = step.requiredLabel;
    request.dataRack = preferredRack(job, task.step);
    request.maxPerUpstream = step.maxPerUpstream;
    request.avoid = task.avoid;
    request.crashes = m_crashes.crashesOf(request.run.task).possible;
    m_capacities.recordRequest(owner);
    m_port.send(owner, { std::move(request), {}, {}, {}, {}, {} });
}

void JobExecutor::onCallerDisconnected(CallerTicket ticket, TimePoint now)
{
    const auto found = m_jobByTicket.find(ticket);
    if (found == m_jobByTicket.end())
        return;
    const std::string id = found->second;
    m_jobByTicket.erase(found);
    const auto entry = m_jobs.find(id);
    if (entry == m_jobs.end())
        return;
    Job& job = entry->second;
    job.callers.erase(std::remove(job.callers.begin(), job.callers.end(), ticket), job.callers.end());
    job.resubmissions.erase(std::remove_if(job.resubmissions.begin(), job.resubmissions.end(), [ticket](const Resubmission& resubmission) { return resubmission.ticket == ticket; }), job.resubmissions.end());
    if (!job.callers.empty() || job.ending)
        return;
    recordJobEvent(JobEvent::Kind::CallerDisconnected, job, "connection-closed", now);
    end(job, JobOutcome::GaveUp, "caller-left", now);
    finishIfComplete(id, now);
}

bool JobExecutor::cancel(const std::string& id, TimePoint now)
{
    const auto entry = m_jobs.find(id);
    if (entry == m_jobs.end() || entry->second.ending)
        return false;
    end(entry->second, JobOutcome::GaveUp, "cancelled", now);
    finishIfComplete(id, now);
    return true;
}

void JobExecutor::endAll(TimePoint now)
{
    m_ended = true;
    std::vector<std::string> ids;
    for (auto& entry : m_jobs) {
        Job& job = entry.second;
        ids.push_back(entry.first);
        for (const Resubmission& resubmission : job.resubmissions) {
            m_jobByTicket.erase(resubmission.ticket);
            m_port.reply(resubmission.ticket, { JobOutcome::GaveUp, Milliseconds { 0 }, endReason });
        }
        job.resubmissions.clear();
        if (!job.ending)
            end(job, job.anyStarted ? JobOutcome::GaveUp : JobOutcome::Refused, endReason, now);
    }
    for (const std::string& id : ids)
        finishIfComplete(id, now);
}

void JobExecutor::abandonAll(TimePoint now)
{
    for (auto& entry : m_jobs)
        reply(entry.second, { JobOutcome::GaveUp, Milliseconds { 0 }, endReason }, now);
}

JobExecutor::Task* JobExecutor::findTask(const TaskRun& run, Job*& job)
{
    const auto entry = m_jobs.find(run.task.job);
    if (entry == m_jobs.end())
        return nullptr;
    job = &entry->second;
    for (Task& task : job->tasks) {
        if (task.step == run.task.step && task.index == run.task.index)
            return task.run == run.number ? &task : nullptr;
    }
    return nullptr;
}

JobExecutor::Task* JobExecutor::findTask(const TaskRun& run, const VmId& owner, Job*& job)
{
    Task* task = findTask(run, job);
    return task && task->owner == owner ? task : nullptr;
}

void JobExecutor::onStarted(const VmId& owner, const RunStarted& started, TimePoint now)
{
    Job* job = nullptr;
    Task* task = findTask(started.run, owner, job);
    if (!task || task->state == TaskState::Done)
        return;
    job->anyStarted = true;
    recordWait(*job, *task, toMilliseconds(now - task->sentAt), now);
    task->upstream = started.upstream;
    task->startEpoch = std::max(task->startEpoch, started.epoch);
    task->orphanedUntil.reset();
    const bool claimConfirmed = task->claimSentAt.has_value();
    task->claimSentAt.reset();
    if (claimConfirmed) {
        task->claimConfirmedAt = now;
        task->claimedFrom.clear();
    }
    if (claimConfirmed && task->state == TaskState::Withdrawn && job->ending)
        withdrawTask(*job, *task, false);
    const bool startedBeforeWithdrawal = task->state == TaskState::Withdrawn && !job->ending;
    if (task->state == TaskState::Sent || startedBeforeWithdrawal) {
        endMove(*task);
        task->state = TaskState::Running;
    }
    claimIfOwnerChanged(*job, *task, now);
}

void JobExecutor::onEnded(const VmId& owner, const RunEnded& ended, TimePoint now)
{
    Job* job = nullptr;
    Task* task = findTask(ended.run, job);
    // That a run has ended at its upstream is true whoever owns the upstream now. The new owner may not learn of an end that
    // an earlier one has acknowledged to the upstream.
    if (!task || task->state == TaskState::Done || (task->owner != owner && task->upstream != ended.upstream))
        return;
    // Both the earlier and the present owner may report it.
    if (ended.outcome != RunOutcome::Done && task->endedRun == ended.run.number)
        return;
    task->endedRun = ended.run.number;
    noteOver(*job, *task, { statementOf(ended.outcome), owner, now, task->run, ended.upstream });
    job->anyStarted = true;
    const JobStep& step = job->request.steps[task->step];
    // The message about the start may not have been sent.
    if (ended.duration.count() > 0)
        recordWait(*job, *task, toMilliseconds(now - task->sentAt) - ended.duration, now);
    if (ended.outcome == RunOutcome::Done) {
        task->state = TaskState::Done;
        if (ended.duration.count() > 0)
            m_runTimeEstimator.record(job->route.name, ended.kind, step.estimate, ended.duration);
        unblockSteps(*job);
        sendUnsent(*job, now);
    } else if (job->ending) {
        task->state = TaskState::Unsent;
    } else {
        if (ended.outcome == RunOutcome::Failed)
            ++task->failures;
        task->avoid.push_back(ended.upstream);
        if (task->failures >= job->route.maxAttempts)
            end(*job, JobOutcome::Failed, "attempts-used", now);
        else
            resend(*job, *task, now);
    }
    finishIfComplete(ended.run.task.job, now);
}

void JobExecutor::onReturned(const VmId& owner, const RunReturned& returned, TimePoint now)
{
    Job* job = nullptr;
    Task* task = findTask(returned.run, owner, job);
    if (!task || task->state == TaskState::Done)
        return;
    // The restarted owner does not know whether its previous incarnation has started the run, which may still be running.
    if (task->orphanedUntil)
        return;
    if (returned.reason == ReturnReason::Expired)
        recordWait(*job, *task, toMilliseconds(now - task->sentAt), now);
    noteOver(*job, *task, { statementOf(returned.reason), owner, now, task->run, task->upstream });
    task->state = TaskState::Unsent;
    // The start order may have been executed before the run was lost.
    if (returned.reason == ReturnReason::Lost)
        job->anyStarted = true;
    if (returned.reason == ReturnReason::Superseded)
        task->run += m_limits.runNumberStride;
    if (returned.reason == ReturnReason::Unschedulable)
        task->unsuitableOwners.push_back(owner);
    if (returned.reason == ReturnReason::Expired && !job->ending)
        end(*job, job->anyStarted ? JobOutcome::GaveUp : JobOutcome::Refused, "no-room-in-time", now);
    if (!job->ending)
        resend(*job, *task, now);
    finishIfComplete(returned.run.task.job, now);
}

void JobExecutor::resend(Job& job, Task& task, TimePoint now)
{
    ++job.resent;
    task.state = TaskState::Unsent;
    sendUnsent(job, now);
}

void JobExecutor::onOwnerChanged(const UpstreamId& upstream, const VmId& owner, TimePoint now)
{
    m_owners[upstream] = owner;
    for (auto& entry : m_jobs) {
        for (Task& task : entry.second.tasks) {
            std::vector<VmId>& unsuitable = task.unsuitableOwners;
            unsuitable.erase(std::remove(unsuitable.begin(), unsuitable.end(), owner), unsuitable.end());
            if (task.upstream == upstream)
                claimIfOwnerChanged(entry.second, task, now);
        }
    }
}

void JobExecutor::onOwnersChanged(const std::map<UpstreamId, VmId>& owners, FencingToken epoch, const std::set<VmId>& stableOwners, TimePoint now)
{
    const bool newView = epoch > m_epoch;
    for (const auto& changed : owners) {
        if (changed.second.empty())
            m_owners.erase(changed.first);
        else
            m_owners[changed.first] = changed.second;
    }
    m_epoch = epoch;
    for (auto& entry : m_jobs) {
        for (Task& task : entry.second.tasks) {
            if (newView)
                task.unsuitableOwners.clear();
            const auto owner = m_owners.find(task.upstream);
            const bool mayBeRunning = task.state == TaskState::Running || task.state == TaskState::Withdrawn;
            if (!mayBeRunning || owner == m_owners.end() || m_epoch < task.startEpoch)
                continue;
            const bool ownerUnchanged = owner->second == task.owner;
            if (ownerUnchanged && (!newView || stableOwners.count(task.owner) > 0))
                continue;
            passToOwner(entry.second, task, owner->second, now);
        }
    }
}

void JobExecutor::claimIfOwnerChanged(Job& job, Task& task, TimePoint now)
{
    const bool mayBeRunning = task.state == TaskState::Running || task.state == TaskState::Withdrawn;
    const auto owner = m_owners.find(task.upstream);
    // The run was started under a later view than this VM's, which therefore does not know the run's present owner.
    if (!mayBeRunning || owner == m_owners.end() || owner->second == task.owner || m_epoch < task.startEpoch)
        return;
    passToOwner(job, task, owner->second, now);
}

void JobExecutor::passToOwner(Job& job, Task& task, const VmId& owner, TimePoint now)
{
    if (task.owner != owner && task.claimedFrom.empty())
        task.claimedFrom = task.owner;
    task.owner = owner;
    sendClaim(job, task, now);
}

void JobExecutor::sendClaim(Job& job, Task& task, TimePoint now)
{
    task.claimSentAt = now;
    task.orphanedUntil.reset();
    recordJobEvent(JobEvent::Kind::ClaimSent, job, task.upstream, now);
    m_port.send(task.owner, { {}, {}, {}, {}, {}, RunClaim { runOf(job, task), task.upstream, m_epoch, job.request.steps[task.step].need } });
    if (task.state == TaskState::Withdrawn)
        withdrawTask(job, task, false);
}

void JobExecutor::onOwnerLost(const VmId& owner, TimePoint now)
{
    std::vector<std::string> affectedJobs;
    for (auto& entry : m_jobs) {
        Job& job = entry.second;
        for (Task& task : job.tasks) {
            // A run with a pending claim was started by another owner, which may still keep it running.
            if (!isOutstanding(task) || task.owner != owner || task.claimSentAt)
                continue;
            job.anyStarted = true;
            // The owner's silence says nothing about the time before it had the run: the last lease may be one that the earlier
            // owner has granted.
            if (task.claimConfirmedAt && now < *task.claimConfirmedAt + m_limits.ownerLossTimeout) {
                task.orphanedUntil = *task.claimConfirmedAt + m_limits.ownerLossTimeout;
                continue;
            }
            noteOver(job, task, { RunStatement::OwnerLost, m_self, now, task.run, task.upstream });
            task.state = TaskState::Unsent;
            affectedJobs.push_back(entry.first);
            if (!job.ending)
                resend(job, task, now);
        }
    }
    for (const std::string& id : affectedJobs)
        finishIfComplete(id, now);
}

void JobExecutor::onOwnerRestarted(const VmId& owner, TimePoint now)
{
    for (auto& entry : m_jobs) {
        for (Task& task : entry.second.tasks) {
            if (!isOutstanding(task) || task.owner != owner)
                continue;
            const auto newOwner = m_owners.find(task.upstream);
            if (newOwner == m_owners.end()) {
                task.orphanedUntil = now + m_limits.orphanedRunTimeout;
                continue;
            }
            task.owner = newOwner->second;
            sendClaim(entry.second, task, now);
        }
    }
}

void JobExecutor::withdrawTask(const Job& job, Task& task, bool onlyIfWaiting)
{
    task.state = TaskState::Withdrawn;
    const RunWithdrawal withdrawal { runOf(job, task), onlyIfWaiting, task.upstream, job.runsEndBy };
    // The owner before extends the lease until it adopts the view, or the new one has polled the upstream.
    if (!task.claimedFrom.empty() && task.claimedFrom != task.owner)
        m_port.send(task.claimedFrom, { {}, {}, {}, {}, withdrawal, {} });
    m_port.send(task.owner, { {}, {}, {}, {}, withdrawal, {} });
}

void JobExecutor::end(Job& job, JobOutcome outcome, const std::string& reason, TimePoint now)
{
    job.ending = true;
    // A caller without an answer leaves when its time is over, whenever that is noticed here.
    const TimePoint callersLeftBy = job.deadline + m_limits.replyMargin;
    job.runsEndBy = std::min(m_callersUncheckedSince.value_or(now), callersLeftBy) + m_limits.withdrawnRunLimit;
    job.finalReply = { outcome, outcome == JobOutcome::Refused ? m_limits.minRetryAfter : Milliseconds { 0 }, reason };
    recordWithdrawnRuns(job, now);
    for (Task& task : job.tasks) {
        // An owner leaves a run alone that had started before it was to be moved.
        if (isOutstanding(task))
            withdrawTask(job, task, false);
    }
    // A refusal promises that nothing has run, so it has to wait until every owner has confirmed that.
    if (outcome != JobOutcome::Refused)
        reply(job, job.finalReply, now);
}

void JobExecutor::reply(Job& job, const JobResult& reply, TimePoint now)
{
    if (job.replied)
        return;
    job.replied = true;
    recordJobEvent(reply.outcome == JobOutcome::GaveUp ? JobEvent::Kind::GaveUp : JobEvent::Kind::Answered, job, reply.reason, now);
    for (const CallerTicket ticket : job.callers) {
        m_jobByTicket.erase(ticket);
        m_port.reply(ticket, reply);
    }
    job.callers.clear();
}

void JobExecutor::finishIfComplete(const std::string& id, TimePoint now)
{
    const auto entry = m_jobs.find(id);
    if (entry == m_jobs.end())
        return;
    Job& job = entry->second;
    const bool allDone = std::all_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.state == TaskState::Done; });
    if (allDone && !job.ending) {
        job.ending = true;
        job.finalReply = { JobOutcome::Succeeded, Milliseconds { 0 }, "done" };
    }
    const bool anyOutstanding = std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return isOutstanding(task); });
    if (!job.ending || anyOutstanding)
        return;
    if (job.finalReply.outcome == JobOutcome::Refused && job.anyStarted)
        job.finalReply = { JobOutcome::GaveUp, Milliseconds { 0 }, job.finalReply.reason };
    reply(job, job.finalReply, now);
    recordResends(job, now);
    std::vector<Resubmission> resubmissions = std::move(job.resubmissions);
    const Route route = job.route;
    rememberRunNumbers(job, now);
    m_jobs.erase(entry);
    for (Resubmission& resubmission : resubmissions) {
        m_jobByTicket.erase(resubmission.ticket);
        // Its caller has been waiting since then.
        resubmission.request.callerTimeout -= toMilliseconds(now - resubmission.receivedAt);
        submit(resubmission.ticket, resubmission.request, route, now);
    }
}

void JobExecutor::rememberRunNumbers(const Job& job, TimePoint now)
{
    EndedJob& ended = m_endedJobs[job.request.id];
    ended.endedAt = now;
    for (const Task& task : job.tasks)
        ended.lastRun = std::max(ended.lastRun, task.run);
    m_endedJobTimes.emplace_back(now, job.request.id);
}

void JobExecutor::forgetRunNumbers(TimePoint now)
{
    while (!m_endedJobTimes.empty() && now - m_endedJobTimes.front().first > m_limits.runNumberRetention) {
        const auto ended = m_endedJobs.find(m_endedJobTimes.front().second);
        if (ended != m_endedJobs.end() && now - ended->second.endedAt > m_limits.runNumberRetention)
            m_endedJobs.erase(ended);
        m_endedJobTimes.pop_front();
    }
}

void JobExecutor::reserveMoves(TimePoint now)
{
    m_capacities.clearMoves();
    for (const auto& entry : m_jobs) {
        for (const Task& task : entry.second.tasks) {
            if (task.state == TaskState::Withdrawn && !task.movingTo.empty() && now - task.movedAt < m_limits.moveReservation)
                m_capacities.reserveMove(task.movingTo);
        }
    }
}

void JobExecutor::moveQueuedTasks(Job& job, TimePoint now)
{
    // The tasks of a step are alike, so for most of them one search without result is enough.
    std::optional<std::uint32_t> stepWithoutPlace;
    for (Task& task : job.tasks) {
        if (task.state != TaskState::Sent || task.orphanedUntil || now - task.sentAt < m_limits.moveAfter || stepWithoutPlace == task.step)
            continue;
        OwnerQuery query = queryFor(job, task, now);
        if (m_capacities.placesBeyondQueue(task.owner, query) > 0)
            continue;
        query.except.push_back(task.owner);
        const std::optional<VmId> target = m_capacities.ownerWithCapacity(query);
        if (!target) {
            stepWithoutPlace = task.step;
            continue;
        }
        task.movingTo = *target;
        task.movedAt = now;
        m_capacities.reserveMove(*target);
        withdrawTask(job, task, true);
    }
}

void JobExecutor::tick(TimePoint now)
{
    forgetRunNumbers(now);
    reserveMoves(now);
    std::vector<std::string> ids;
    ids.reserve(m_jobs.size());
    for (const auto& entry : m_jobs)
        ids.push_back(entry.first);
    for (const std::string& id : ids) {
        const auto entry = m_jobs.find(id);
        if (entry == m_jobs.end())
            continue;
        Job& job = entry->second;
        recordResends(job, now);
        // An owner that has not confirmed a withdrawal this long after the deadline is lost, and none of its runs is
        // left.
        for (Task& task : job.tasks) {
            if (job.ending && task.state == TaskState::Withdrawn && now - job.deadline > m_limits.ownerLossTimeout) {
                noteOver(job, task, { RunStatement::WithdrawalUnconfirmed, m_self, now, task.run, task.upstream });
                task.state = TaskState::Unsent;
                job.anyStarted = true;
            }
            if (task.orphanedUntil && isOutstanding(task) && now > *task.orphanedUntil) {
                noteOver(job, task, { RunStatement::OrphanTimeOver, m_self, now, task.run, task.upstream });
                job.anyStarted = true;
                task.state = TaskState::Unsent;
            }
            const bool claimOverdue = task.claimSentAt && now - *task.claimSentAt > m_limits.claimRetryInterval;
            if (claimOverdue && (task.state == TaskState::Running || task.state == TaskState::Withdrawn))
                sendClaim(job, task, now);
        }
        if (!job.ending && now >= job.deadline) {
            end(job, job.anyStarted ? JobOutcome::GaveUp : JobOutcome::Refused, "deadline", now);
        } else if (!job.ending) {
            sendUnsent(job, now);
            moveQueuedTasks(job, now);
            if (cannotBePlaced(job))
                end(job, JobOutcome::Refused, "no-upstream", now);
        }
        finishIfComplete(id, now);
    }
    updateWaiting(now);
}

bool JobExecutor::hasTasksAt(const VmId& owner) const
{
    return std::any_of(m_jobs.begin(), m_jobs.end(), [&owner](const auto& entry) {
        return std::any_of(entry.second.tasks.begin(), entry.second.tasks.end(), [&owner](const Task& task) { return isOutstanding(task) && task.owner == owner; });
    });
}

std::set<VmId> JobExecutor::ownersWithTasks() const
{
    std::set<VmId> owners;
    for (const auto& entry : m_jobs) {
        for (const Task& task : entry.second.tasks) {
            if (isOutstanding(task))
                owners.insert(task.owner);
        }
    }
    return owners;
}

bool JobExecutor::cannotBePlaced(const Job& job) const
{
    const bool neverPlaced = !job.anyStarted && std::none_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return isOutstanding(task); });
    if (!neverPlaced || m_warmingUp)
        return false;
    return m_capacities.totals(job.route.service, job.route.priority).totalTasks == 0 || (m_evacuating && wasReturnedByAllOwners(job));
}

bool JobExecutor::wasReturnedByAllOwners(const Job& job) const
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [this, &job](const Task& task) {
        return task.state == TaskState::Unsent && !task.unsuitableOwners.empty() && !m_capacities.chooseOwner({ m_self, job.route.service, task.unsuitableOwners, {}, job.route.name });
    });
}

void JobExecutor::setEvacuating(bool evacuating)
{
    m_evacuating = evacuating;
    for (auto& entry : m_jobs) {
        for (Task& task : entry.second.tasks)
            task.unsuitableOwners.clear();
    }
}

std::size_t JobExecutor::notStarted(const std::string& route) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&route](const auto& entry) {
        return entry.second.route.name == route && !entry.second.anyStarted && !entry.second.ending;
    }));
}

TaskRun JobExecutor::runOf(const Job& job, const Task& task) const
{
    return { { job.request.id, task.step, task.index }, task.run };
}

void JobExecutor::noteOver(const Job& job, Task& task, const RunOver& over)
{
    // Of several statements about one run the first one counts.
    if (!task.over)
        task.over = over;
    if (job.ending)
        recordOutlivedRun(job, task, over);
}

void JobExecutor::noteResend(Job& job, Task& task, const VmId& earlierOwner, TimePoint earlierSentAt, TimePoint now)
{
    if (!task.over)
        return;
    if (job.resendsAt != now)
        recordResends(job, now);
    job.resendsAt = now;
    const RunOver over = *task.over;
    task.over.reset();
    TaskRun earlier = runOf(job, task);
    earlier.number = over.run;
    const RunNote note { earlier, earlierOwner, over.upstream, statementName(over.statement), { { "sent", toMilliseconds(now - earlierSentAt) }, { "stated", toMilliseconds(now - over.statedAt) } } };
    job.resends.push_back({ note, over.statedBy, task.run, task.owner });
}

void JobExecutor::recordResends(Job& job, TimePoint now)
{
    if (job.resends.empty())
        return;
    JobEvent event = jobEvent(JobEvent::Kind::Resent, job, {}, now);
    event.resends.swap(job.resends);
    event.reportDelay = toMilliseconds(now - job.resendsAt);
    event.epoch = m_epoch;
    m_port.recordEvent(event);
}

void JobExecutor::recordWithdrawnRuns(Job& job, TimePoint now)
{
    job.endedAt = now;
    JobEvent event = jobEvent(JobEvent::Kind::RunsWithdrawn, job, job.finalReply.reason, now);
    for (const Task& task : job.tasks) {
        if (isOutstanding(task))
            event.runs.push_back({ runOf(job, task), task.owner, task.upstream, task.upstream.empty() ? "requested" : "started", { { "sent", toMilliseconds(now - task.sentAt) } } });
    }
    job.withdrawnRuns = event.runs.size();
    if (event.runs.empty())
        return;
    event.withdrawnRuns = job.withdrawnRuns;
    event.endIn = toMilliseconds(*job.runsEndBy - now);
    if (m_callersUncheckedSince)
        event.callersUncheckedFor = toMilliseconds(now - *m_callersUncheckedSince);
    event.epoch = m_epoch;
    m_port.recordEvent(event);
}

void JobExecutor::recordOutlivedRun(const Job& job, const Task& task, const RunOver& over)
{
    const TimePoint now = over.statedAt;
    const auto outstanding = std::count_if(job.tasks.begin(), job.tasks.end(), [](const Task& other) { return isOutstanding(other); });
    // The task itself still counts as outstanding.
    if (outstanding > 1 || !isOutstanding(task) || !job.runsEndBy || now <= *job.runsEndBy)
        return;
    JobEvent event = jobEvent(JobEvent::Kind::RunsOutlived, job, job.finalReply.reason, now);
    event.runs.push_back({ runOf(job, task), task.owner, over.upstream, statementName(over.statement), { { "sent", toMilliseconds(now - task.sentAt) } } });
    event.withdrawnRuns = job.withdrawnRuns;
    event.sinceEnd = toMilliseconds(now - job.endedAt);
    event.late = toMilliseconds(now - *job.runsEndBy);
    m_port.recordEvent(event);
}

void JobExecutor::recordJobEvent(JobEvent::Kind kind, const Job& job, const std::string& reason, TimePoint now)
{
    m_port.recordEvent(jobEvent(kind, job, reason, now));
}

JobEvent JobExecutor::jobEvent(JobEvent::Kind kind, const Job& job, const std::string& reason, TimePoint now) const
{
    JobEvent event;
    event.kind = kind;
    event.job = job.request.id;
    event.route = job.route.name;
    event.reason = reason;
    event.age = toMilliseconds(now - job.receivedAt);
    event.tasks = job.tasks.size();
    event.resentTasks = job.resent;
    return event;
}

} // namespace egrettrestle
