#include <egrettrestle/decision/job_executor.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    Milliseconds scaled(Milliseconds time, double factor)
    {
        return Milliseconds { static_cast<std::int64_t>(static_cast<double>(time.count()) * factor) };
    }

    std::uint32_t taskCount(const DispatchJob& request)
    {
        std::uint32_t count = 0;
        for (const JobStep& step : request.steps)
            count += step.count;
        return count;
    }

}

JobExecutor::JobExecutor(ExecutorPort& port, CapacityTable& rooms, VmId self, ExecutorLimits limits)
    : m_port(port)
    , m_rooms(rooms)
    , m_self(std::move(self))
    , m_limits(limits)
{
}

void JobExecutor::submit(CallerTicket ticket, const DispatchJob& request, const Route& route, TimePoint now)
{
    const auto known = m_jobs.find(request.id);
    if (known != m_jobs.end()) {
        m_tickets[ticket] = request.id;
        if (known->second.ending)
            known->second.restarts.emplace_back(ticket, request);
        else
            known->second.callers.push_back(ticket);
        return;
    }
    const Forecast expected = forecast(request, route);
    if (!m_warmingUp && !isTimely(expected, request, route)) {
        refuse(ticket, request, route, expected, expected.room.totalTasks == 0 ? "no-upstream" : "overloaded");
        return;
    }
    Job job;
    job.request = request;
    job.route = route;
    job.receivedAt = now;
    job.deadline = now + request.callerTimeout - m_limits.replyMargin;
    job.callers.push_back(ticket);
    for (std::uint32_t step = 0; step < request.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < request.steps[step].count; ++index) {
            Task task;
            task.step = step;
            task.index = index;
            job.tasks.push_back(std::move(task));
        }
    }
    m_tickets[ticket] = request.id;
    Job& stored = m_jobs.emplace(request.id, std::move(job)).first->second;
    unblockSteps(stored);
    sendUnsent(stored, now);
    settle(request.id, now);
}

JobExecutor::Forecast JobExecutor::forecast(const DispatchJob& request, const Route& route) const
{
    Forecast result;
    std::vector<Milliseconds> ends;
    std::uint32_t widest = 0;
    for (const JobStep& step : request.steps) {
        Milliseconds begin { 0 };
        for (const std::uint32_t earlier : step.after)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + scaled(m_runTimes.expectedRunTime(route.name, step.estimate), m_limits.longestTaskFactor));
        result.run = std::max(result.run, ends.back());
        widest = std::max(widest, step.count);
    }
    result.room = m_rooms.totals(route.service, route.priority);
    const std::int64_t missing = result.room.tasksAhead + widest - result.room.freeTasks;
    if (missing <= 0 || result.room.totalTasks == 0)
        return result;
    // Tasks ahead take the room in turn; what runs now is taken to end evenly over the same time.
    const std::int64_t own = static_cast<std::int64_t>(widest) * m_runTimes.expectedRunTime(route.name, request.steps.front().estimate).count();
    const std::int64_t work = result.room.workAhead.count() + own;
    const double share = static_cast<double>(missing) / static_cast<double>(result.room.tasksAhead + widest);
    result.wait = Milliseconds { static_cast<std::int64_t>(static_cast<double>(work) * share) / result.room.totalTasks };
    return result;
}

bool JobExecutor::isTimely(const Forecast& forecast, const DispatchJob& request, const Route& route) const
{
    if (forecast.room.totalTasks == 0)
        return false;
    if (forecast.wait.count() == 0)
        return true;
    const Milliseconds objective = scaled(forecast.run, route.stretch) + route.targetLatency;
    const Milliseconds end = scaled(forecast.wait, m_limits.waitErrorFactor) + scaled(forecast.run, m_limits.contentionFactor);
    return end <= std::min(objective, request.callerTimeout - m_limits.replyMargin);
}

void JobExecutor::refuse(CallerTicket ticket, const DispatchJob& request, const Route& route, const Forecast& forecast, const std::string& reason)
{
    const JobResult reply { JobOutcome::Refused, std::max(m_limits.minRetryAfter, forecast.wait), reason };
    JobEvent note;
    note.kind = JobEvent::Kind::Refused;
    note.job = request.id;
    note.route = route.name;
    note.reason = reason;
    note.expectedRunTime = forecast.run;
    note.expectedWait = forecast.wait;
    note.room = forecast.room;
    note.tasks = taskCount(request);
    m_port.recordEvent(note);
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
    // Tasks that go to one owner share their messages, so an owner is filled before the next is picked.
    std::optional<VmId> owner;
    for (Task& task : job.tasks) {
        if (task.state != TaskState::Unsent || job.ending)
            continue;
        const bool unfit = owner && std::find(task.unfitOwners.begin(), task.unfitOwners.end(), *owner) != task.unfitOwners.end();
        const std::string& rack = rackOf(job, task.step);
        if (!owner || unfit || !rack.empty() || m_rooms.freeTasks(*owner, job.route.service) <= 0)
            owner = m_rooms.chooseOwner(m_self, job.route.service, task.unfitOwners, rack);
        if (owner)
            sendTask(job, task, *owner, now);
    }
}

const std::string& JobExecutor::rackOf(Job& job, std::uint32_t step) const
{
    const JobStep& wanted = job.request.steps[step];
    job.racks.resize(job.request.steps.size());
    if (job.racks[step].empty())
        job.racks[step] = wanted.dataRack.empty() && wanted.sameRack && wanted.count > 1 ? m_rooms.rackWithMostCapacity(job.route.service) : wanted.dataRack;
    return job.racks[step];
}

void JobExecutor::sendTask(Job& job, Task& task, const VmId& owner, TimePoint now)
{
    const JobStep& step = job.request.steps[task.step];
    ++task.run;
    task.state = TaskState::Sent;
    task.owner = owner;
    task.upstream.clear();
    task.startEpoch = {};
    task.claimedAt.reset();
    task.lostAt.reset();
    task.sentAt = now;
    RunRequest request;
    request.run = runOf(job, task);
    request.spec = job.request.spec;
    request.service = job.route.service;
    request.route = job.route.name;
    request.need = step.need;
    request.priority = job.route.priority;
    request.estimate = step.estimate;
    request.expectedRunTime = m_runTimes.expectedRunTime(job.route.name, step.estimate);
    request.latestStart = std::max(now, job.deadline - scaled(request.expectedRunTime, m_limits.minRemainingShare));
    request.requiredLabel = step.requiredLabel;
    request.dataRack = rackOf(job, task.step);
    request.maxPerUpstream = step.maxPerUpstream;
    request.avoid = task.avoid;
    m_rooms.recordRequest(owner);
    m_port.send(owner, { std::move(request), {}, {}, {}, {}, {} });
}

void JobExecutor::onCallerDisconnected(CallerTicket ticket, TimePoint now)
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end())
        return;
    const std::string id = found->second;
    m_tickets.erase(found);
    const auto entry = m_jobs.find(id);
    if (entry == m_jobs.end())
        return;
    Job& job = entry->second;
    job.callers.erase(std::remove(job.callers.begin(), job.callers.end(), ticket), job.callers.end());
    job.restarts.erase(std::remove_if(job.restarts.begin(), job.restarts.end(), [ticket](const auto& restart) { return restart.first == ticket; }), job.restarts.end());
    if (!job.callers.empty() || job.ending)
        return;
    noteJob(JobEvent::Kind::CallerDisconnected, job, "connection-closed", now);
    end(job, JobOutcome::GaveUp, "caller-left", now);
    settle(id, now);
}

bool JobExecutor::cancel(const std::string& id, TimePoint now)
{
    const auto entry = m_jobs.find(id);
    if (entry == m_jobs.end() || entry->second.ending)
        return false;
    end(entry->second, JobOutcome::GaveUp, "cancelled", now);
    settle(id, now);
    return true;
}

void JobExecutor::endAll(TimePoint now)
{
    std::vector<std::string> ids;
    for (auto& entry : m_jobs) {
        Job& job = entry.second;
        ids.push_back(entry.first);
        for (const auto& restart : job.restarts) {
            m_tickets.erase(restart.first);
            m_port.reply(restart.first, { JobOutcome::GaveUp, Milliseconds { 0 }, "vm-ending" });
        }
        job.restarts.clear();
        if (!job.ending)
            end(job, job.anyStarted ? JobOutcome::GaveUp : JobOutcome::Refused, "vm-ending", now);
    }
    for (const std::string& id : ids)
        settle(id, now);
}

void JobExecutor::abandonAll(TimePoint now)
{
    for (auto& entry : m_jobs)
        reply(entry.second, { JobOutcome::GaveUp, Milliseconds { 0 }, "vm-ending" }, now);
}

JobExecutor::Task* JobExecutor::findTask(const TaskRun& run, const VmId& owner, Job*& job)
{
    const auto entry = m_jobs.find(run.task.job);
    if (entry == m_jobs.end())
        return nullptr;
    job = &entry->second;
    for (Task& task : job->tasks) {
        if (task.step == run.task.step && task.index == run.task.index)
            return task.run == run.number && task.owner == owner ? &task : nullptr;
    }
    return nullptr;
}

void JobExecutor::onStarted(const VmId& owner, const RunStarted& started, TimePoint now)
{
    Job* job = nullptr;
    Task* task = findTask(started.run, owner, job);
    if (!task || task->state == TaskState::Done)
        return;
    job->anyStarted = true;
    task->upstream = started.upstream;
    task->startEpoch = std::max(task->startEpoch, started.epoch);
    task->lostAt.reset();
    const bool claimAnswered = task->claimedAt.has_value();
    task->claimedAt.reset();
    if (claimAnswered && task->state == TaskState::Withdrawn && job->ending)
        withdrawTask(*job, *task, false);
    const bool moveCameLate = task->state == TaskState::Withdrawn && !job->ending;
    if (task->state == TaskState::Sent || moveCameLate)
        task->state = TaskState::Running;
    claimIfMoved(*job, *task, now);
}

void JobExecutor::onEnded(const VmId& owner, const RunEnded& ended, TimePoint now)
{
    Job* job = nullptr;
    Task* task = findTask(ended.run, owner, job);
    if (!task || task->state == TaskState::Done)
        return;
    job->anyStarted = true;
    const JobStep& step = job->request.steps[task->step];
    if (ended.outcome == RunOutcome::Done) {
        task->state = TaskState::Done;
        if (ended.duration.count() > 0)
            m_runTimes.record(job->route.name, ended.kind, step.estimate, ended.duration);
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
    settle(ended.run.task.job, now);
}

void JobExecutor::onReturned(const VmId& owner, const RunReturned& returned, TimePoint now)
{
    Job* job = nullptr;
    Task* task = findTask(returned.run, owner, job);
    if (!task || task->state == TaskState::Done)
        return;
    // A new life of the owner does not know what the one before had started.
    if (task->lostAt && returned.reason == ReturnReason::Withdrawn)
        return;
    task->state = TaskState::Unsent;
    // The order to start may have been carried out before the run was lost.
    if (returned.reason == ReturnReason::Lost)
        job->anyStarted = true;
    if (returned.reason == ReturnReason::Superseded)
        task->run += m_limits.runNumberStride;
    if (returned.reason == ReturnReason::Unschedulable)
        task->unfitOwners.push_back(owner);
    if (returned.reason == ReturnReason::Expired && !job->ending)
        end(*job, job->anyStarted ? JobOutcome::GaveUp : JobOutcome::Refused, "no-room-in-time", now);
    if (!job->ending)
        resend(*job, *task, now);
    settle(returned.run.task.job, now);
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
            if (task.upstream == upstream)
                claimIfMoved(entry.second, task, now);
        }
    }
}

void JobExecutor::onOwnersChanged(std::map<UpstreamId, VmId> owners, FencingToken epoch, const std::set<VmId>& settled, TimePoint now)
{
    const bool newView = epoch > m_epoch;
    m_owners = std::move(owners);
    m_epoch = epoch;
    for (auto& entry : m_jobs) {
        for (Task& task : entry.second.tasks) {
            const auto owner = m_owners.find(task.upstream);
            const bool atWork = task.state == TaskState::Running || task.state == TaskState::Withdrawn;
            if (!atWork || owner == m_owners.end() || m_epoch < task.startEpoch)
                continue;
            const bool stays = owner->second == task.owner;
            if (stays && (!newView || settled.count(task.owner) > 0))
                continue;
            task.owner = owner->second;
            sendClaim(entry.second, task, now);
        }
    }
}

void JobExecutor::claimIfMoved(Job& job, Task& task, TimePoint now)
{
    const bool atWork = task.state == TaskState::Running || task.state == TaskState::Withdrawn;
    const auto owner = m_owners.find(task.upstream);
    // With an older view than the owner's, this VM does not know where the run belongs.
    if (!atWork || owner == m_owners.end() || owner->second == task.owner || m_epoch < task.startEpoch)
        return;
    task.owner = owner->second;
    sendClaim(job, task, now);
}

void JobExecutor::sendClaim(Job& job, Task& task, TimePoint now)
{
    task.claimedAt = now;
    noteJob(JobEvent::Kind::ClaimSent, job, task.upstream, now);
    m_port.send(task.owner, { {}, {}, {}, {}, {}, RunClaim { runOf(job, task), task.upstream, m_epoch } });
    if (task.state == TaskState::Withdrawn)
        withdrawTask(job, task, false);
}

void JobExecutor::onOwnerLost(const VmId& owner, TimePoint now)
{
    std::vector<std::string> touched;
    for (auto& entry : m_jobs) {
        Job& job = entry.second;
        for (Task& task : job.tasks) {
            // A run that is being claimed came from another owner, who may keep it at work.
            if (!isOut(task) || task.owner != owner || task.claimedAt)
                continue;
            task.state = TaskState::Unsent;
            job.anyStarted = true;
            touched.push_back(entry.first);
            if (!job.ending)
                resend(job, task, now);
        }
    }
    for (const std::string& id : touched)
        settle(id, now);
}

void JobExecutor::onOwnerRestarted(const VmId& owner, TimePoint now)
{
    for (auto& entry : m_jobs) {
        for (Task& task : entry.second.tasks) {
            if (!isOut(task) || task.owner != owner)
                continue;
            const auto next = m_owners.find(task.upstream);
            if (next == m_owners.end()) {
                task.lostAt = now + m_limits.orphanedRunTimeout;
                continue;
            }
            task.owner = next->second;
            sendClaim(entry.second, task, now);
        }
    }
}

void JobExecutor::withdrawTask(const Job& job, Task& task, bool onlyIfWaiting)
{
    task.state = TaskState::Withdrawn;
    m_port.send(task.owner, { {}, {}, {}, {}, RunWithdrawal { runOf(job, task), onlyIfWaiting, task.upstream }, {} });
}

void JobExecutor::end(Job& job, JobOutcome outcome, const std::string& reason, TimePoint now)
{
    job.ending = true;
    job.finalReply = { outcome, outcome == JobOutcome::Refused ? m_limits.minRetryAfter : Milliseconds { 0 }, reason };
    for (Task& task : job.tasks) {
        if (task.state == TaskState::Sent || task.state == TaskState::Running)
            withdrawTask(job, task, false);
    }
    // A refusal is true only once every owner has said that nothing ran.
    if (outcome != JobOutcome::Refused)
        reply(job, job.finalReply, now);
}

void JobExecutor::reply(Job& job, const JobResult& reply, TimePoint now)
{
    if (job.replied)
        return;
    job.replied = true;
    noteJob(reply.outcome == JobOutcome::GaveUp ? JobEvent::Kind::GaveUp : JobEvent::Kind::Answered, job, reply.reason, now);
    for (const CallerTicket ticket : job.callers) {
        m_tickets.erase(ticket);
        m_port.reply(ticket, reply);
    }
    job.callers.clear();
}

void JobExecutor::settle(const std::string& id, TimePoint now)
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
    const bool anyOut = std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return isOut(task); });
    if (!job.ending || anyOut)
        return;
    if (job.finalReply.outcome == JobOutcome::Refused && job.anyStarted)
        job.finalReply = { JobOutcome::GaveUp, Milliseconds { 0 }, job.finalReply.reason };
    reply(job, job.finalReply, now);
    const std::vector<std::pair<CallerTicket, DispatchJob>> restarts = std::move(job.restarts);
    const Route route = job.route;
    m_jobs.erase(entry);
    for (const auto& restart : restarts) {
        m_tickets.erase(restart.first);
        submit(restart.first, restart.second, route, now);
    }
}

void JobExecutor::moveWaiting(Job& job, TimePoint now)
{
    for (Task& task : job.tasks) {
        if (task.state != TaskState::Sent || task.lostAt || now - task.sentAt < m_limits.moveAfter || m_rooms.freeTasks(task.owner, job.route.service) > 0)
            continue;
        if (!m_rooms.ownerWithCapacity(job.route.service, task.owner))
            return;
        withdrawTask(job, task, true);
    }
}

void JobExecutor::tick(TimePoint now)
{
    std::vector<std::string> ids;
    ids.reserve(m_jobs.size());
    for (const auto& entry : m_jobs)
        ids.push_back(entry.first);
    for (const std::string& id : ids) {
        const auto entry = m_jobs.find(id);
        if (entry == m_jobs.end())
            continue;
        Job& job = entry->second;
        // An owner that never answers a withdrawal is silent; by then nothing that it ran is left.
        for (Task& task : job.tasks) {
            if (job.ending && task.state == TaskState::Withdrawn && now - job.deadline > m_limits.ownerLossTimeout) {
                task.state = TaskState::Unsent;
                job.anyStarted = true;
            }
            if (task.lostAt && isOut(task) && now > *task.lostAt) {
                job.anyStarted = true;
                task.state = TaskState::Unsent;
            }
            const bool unanswered = task.claimedAt && now - *task.claimedAt > m_limits.claimRetryInterval;
            if (unanswered && (task.state == TaskState::Running || task.state == TaskState::Withdrawn))
                sendClaim(job, task, now);
        }
        if (!job.ending && now >= job.deadline) {
            end(job, job.anyStarted ? JobOutcome::GaveUp : JobOutcome::Refused, "deadline", now);
        } else if (!job.ending) {
            sendUnsent(job, now);
            moveWaiting(job, now);
            if (isHopeless(job))
                end(job, JobOutcome::Refused, "no-upstream", now);
        }
        settle(id, now);
    }
}

bool JobExecutor::hasTasksAt(const VmId& owner) const
{
    return std::any_of(m_jobs.begin(), m_jobs.end(), [&owner](const auto& entry) {
        return std::any_of(entry.second.tasks.begin(), entry.second.tasks.end(), [&owner](const Task& task) { return isOut(task) && task.owner == owner; });
    });
}

/// Whether nothing of a job is out and no owner has upstreams for it.
bool JobExecutor::isHopeless(const Job& job) const
{
    const bool untouched = !job.anyStarted && std::none_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return isOut(task); });
    return untouched && !m_warmingUp && m_rooms.totals(job.route.service, job.route.priority).totalTasks == 0;
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

void JobExecutor::noteJob(JobEvent::Kind kind, const Job& job, const std::string& reason, TimePoint now)
{
    JobEvent note;
    note.kind = kind;
    note.job = job.request.id;
    note.route = job.route.name;
    note.reason = reason;
    note.age = toMilliseconds(now - job.receivedAt);
    note.tasks = job.tasks.size();
    note.resentTasks = job.resent;
    m_port.recordEvent(note);
}

} // namespace egrettrestle
