#include <egrettrestle/services/executor_service.hpp>

#include <algorithm>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/task_sender.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds schedulerTick { 20 };
    constexpr int mostResends = 3;
    // Run times scatter, so a job is taken only if it would make its deadline with some time to spare.
    constexpr double admissionMargin = 1.25;
    // Likewise a task is started only with half as much time again as it runs on average.
    constexpr double startMargin = 1.5;
    constexpr Milliseconds pauseAfterRefusal { 100 };
    constexpr Milliseconds retryAfterOverload { 500 };
    constexpr Milliseconds retryAfterQuota { 1'000 };

    std::string taskId(const JobRequest& job, std::size_t index)
    {
        return toHex(job.key) + '-' + std::to_string(index);
    }

    JobReply retryLater(int status, const Event& event, std::string detail, Milliseconds retryAfter)
    {
        JobReply reply = refusedReply(status, event, std::move(detail));
        reply.retryAfter = retryAfter;
        return reply;
    }

}

ExecutorService::ExecutorService(Node& node)
    : m_node(node)
{
}

ExecutorService::~ExecutorService()
{
    stop();
}

absl::Status ExecutorService::start()
{
    for (int count = 0; count < m_node.settings.taskThreads; ++count)
        m_threads.emplace_back([this] { runTasks(); });
    return absl::OkStatus();
}

void ExecutorService::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        m_work.notify_all();
    }
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void ExecutorService::setManifest(const Manifest& manifest)
{
    std::vector<UrgencyClassRule> rules;
    for (const UrgencyClass& urgencyClass : manifest.urgencyClasses)
        rules.push_back({ urgencyClass.rank, urgencyClass.reservedShare, urgencyClass.ageAfter });
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_scheduler.setUrgencyClasses(std::move(rules));
}

void ExecutorService::setUpstreams(const std::vector<UpstreamShare>& upstreams)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_scheduler.setUpstreams(upstreams);
    m_work.notify_all();
}

void ExecutorService::setMembers(std::size_t members)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_members = members;
}

std::optional<JobReply> ExecutorService::staticRefusal(const JobRequest& job, const Manifest& manifest)
{
    if (!findCaller(manifest, job.caller))
        return refusedReply(httpStatus::badRequest, events::unknownCaller, "caller " + job.caller + " is not in the manifest");
    if (job.tasks.size() > manifest.limits.maxTasksPerJob) {
        JobReply reply = refusedReply(httpStatus::payloadTooLarge, events::jobTooLarge, std::to_string(job.tasks.size()) + " tasks, at most " + std::to_string(manifest.limits.maxTasksPerJob));
        reply.field = "/tasks";
        return reply;
    }
    if (job.deadline > manifest.limits.maxDeadline) {
        JobReply reply = refusedReply(httpStatus::badRequest, events::badRequest, "at most " + std::to_string(manifest.limits.maxDeadline.count()));
        reply.field = "/deadlineMs";
        return reply;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const TaskRequest& task = job.tasks[index];
        const TaskKind* kind = findTaskKind(manifest, job.service, task.kind);
        const std::string pointer = "/tasks/" + std::to_string(index);
        if (!kind) {
            JobReply reply = refusedReply(httpStatus::badRequest, events::unknownKind, "service " + job.service + " has no kind " + task.kind);
            reply.field = pointer + "/kind";
            return reply;
        }
        if (task.payload.size() > kind->sizeLimitBytes) {
            JobReply reply = refusedReply(httpStatus::payloadTooLarge, events::jobTooLarge, std::to_string(task.payload.size()) + " bytes, at most " + std::to_string(kind->sizeLimitBytes));
            reply.field = pointer + "/payload";
            return reply;
        }
    }
    return std::nullopt;
}

std::optional<JobReply> ExecutorService::admission(const JobRequest& job, const Manifest& manifest, TimePoint deadline)
{
    std::optional<JobReply> refused = staticRefusal(job, manifest);
    if (refused)
        return refused;
    const TimePoint now = SteadyClock::now();
    const TaskKind* kind = findTaskKind(manifest, job.service, job.tasks.front().kind);
    const UrgencyClass* urgencyClass = findUrgencyClass(manifest, kind->urgencyClass);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const ServiceLoad load = m_scheduler.load(job.service, now);
    if (load.slots == 0)
        return retryLater(httpStatus::unavailable, events::noUpstream, "no slot of service " + job.service + " belongs to this VM", retryAfterOverload);
    const Duration runTime = m_scheduler.health().expectedRunTime(kind->name, kind->expectedRunTime);
    const Duration wait = m_scheduler.expectedWait(job.service, urgencyClass->rank, job.tasks.size(), runTime, now);
    if (now + std::chrono::duration_cast<Duration>(admissionMargin * (wait + runTime)) > deadline) {
        const std::string detail = "expected after " + std::to_string(toMilliseconds(wait + runTime).count()) + " ms, deadline in " + std::to_string(toMilliseconds(deadline - now).count()) + " ms";
        return retryLater(httpStatus::unavailable, events::overloaded, detail, std::max(retryAfterOverload, toMilliseconds(wait)));
    }
    return std::nullopt;
}

std::shared_ptr<RunningJob> ExecutorService::enter(const JobRequest& request, const Manifest& manifest, TimePoint deadline, const TraceContext& trace)
{
    const TimePoint now = SteadyClock::now();
    const std::shared_ptr<RunningJob> job = std::make_shared<RunningJob>();
    job->request = request;
    job->deadline = deadline;
    job->trace = trace;
    job->answers.resize(request.tasks.size());
    job->resends.resize(request.tasks.size());
    job->unanswered = request.tasks.size();
    job->urgencyClass = findTaskKind(manifest, request.service, request.tasks.front().kind)->urgencyClass;
    const CallerRule* rule = findCaller(manifest, request.caller);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_quotas.tryAcquire(rule->name, quotaShare(rule->maxTasksInFlight, rule->startsPerSecond, m_members), request.tasks.size(), now)) {
        job->done = true;
        job->reply = retryLater(httpStatus::tooManyRequests, events::quotaExceeded, "quota of " + rule->name + " at this VM", retryAfterQuota);
        return job;
    }
    job->quotaRule = rule->name;
    job->number.value = m_nextJob++;
    m_jobs[job->number] = job;
    for (std::size_t index = 0; index < request.tasks.size(); ++index) {
        const TaskKind* kind = findTaskKind(manifest, request.service, request.tasks[index].kind);
        QueuedTask task;
        task.task.value = m_nextTask++;
        task.job = job->number;
        task.service = request.service;
        task.kind = kind->name;
        task.rank = findUrgencyClass(manifest, kind->urgencyClass)->rank;
        task.queuedAt = now;
        task.deadline = deadline;
        task.expectedRun = std::chrono::duration_cast<Duration>(startMargin * m_scheduler.health().expectedRunTime(kind->name, kind->expectedRunTime));
        m_tasks[task.task] = { job, index, now };
        m_scheduler.enqueue(std::move(task));
    }
    updateGauges();
    m_work.notify_one();
    return job;
}

JobReply ExecutorService::run(const JobRequest& request, const Manifest& manifest, TimePoint deadline, const TraceContext& trace)
{
    const std::shared_ptr<RunningJob> job = enter(request, manifest, deadline, trace);
    std::unique_lock<std::mutex> lock(m_mutex);
    job->changed.wait_until(lock, deadline, [&job] { return job->done; });
    if (!job->done)
        failJob(*job, httpStatus::gatewayTimeout, events::deadlinePassed, ExecutionStatus::MayHaveExecuted, std::to_string(job->unanswered) + " of " + std::to_string(request.tasks.size()) + " answers missing");
    return job->reply;
}

bool ExecutorService::cancel(const SubmissionKey& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& entry : m_jobs) {
        if (entry.second->request.key == key && !entry.second->done) {
            const std::shared_ptr<RunningJob> job = entry.second;
            failJob(*job, httpStatus::conflict, events::cancelled, ExecutionStatus::MayHaveExecuted, "cancelled by the caller");
            return true;
        }
    }
    return false;
}

std::size_t ExecutorService::openTasks() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_tasks.size();
}

void ExecutorService::runTasks()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        std::optional<Assignment> assignment = m_scheduler.nextAssignment(SteadyClock::now());
        // One idle thread looks at the clock for all; the others sleep until there is work.
        if (assignment) {
            if (m_scheduler.queuedTasks() > 0)
                m_work.notify_one();
            runAssignment(lock, *assignment);
        } else if (m_scheduler.queuedTasks() > 0 && !m_ticking) {
            m_ticking = true;
            m_work.wait_for(lock, schedulerTick);
            m_ticking = false;
        } else {
            m_work.wait(lock);
        }
    }
}

void ExecutorService::runAssignment(std::unique_lock<std::mutex>& lock, const Assignment& assignment)
{
    const TaskPlace place = m_tasks.at(assignment.task.task);
    RunningJob& job = *place.job;
    if (assignment.upstream.empty()) {
        expireTask(place);
        m_tasks.erase(assignment.task.task);
        return;
    }
    const TaskRequest& request = job.request.tasks[place.index];
    lock.unlock();
    {
        Span queueSpan(m_node.spans, "queue", job.trace);
        queueSpan.setAttribute("task", std::to_string(place.index));
        queueSpan.moveStartBack(SteadyClock::now() - place.queuedSince);
    }
    Span span(m_node.spans, "upstream", job.trace);
    UpstreamTask task { taskId(job.request, place.index), request.kind, request.payload, Milliseconds(0) };
    lock.lock();
    // Nothing may come between this look at the job and the send.
    const TimePoint begin = SteadyClock::now();
    task.timeLeft = toMilliseconds(job.deadline - begin);
    const bool mayStart = !job.done && task.timeLeft.count() > 0;
    if (mayStart)
        ++job.started;
    lock.unlock();
    SendReport report;
    if (mayStart) {
        report = sendTask(m_upstreams, assignment.address, task, span.context());
        const SendOutcomeTraits& verdict = sendOutcomeTraits(report.outcome);
        m_node.metrics.countMessage("task", verdict.outcome != SendOutcome::Succeeded, static_cast<double>(task.payload.size() + report.answer.size()));
        if (!verdict.mayResend)
            m_node.metrics.countStart(request.kind);
        span.setAttribute("upstream", assignment.upstream);
        span.setAttribute("outcome", verdict.name);
    }
    lock.lock();
    m_scheduler.releaseSlot(assignment.upstream, assignment.task.rank);
    if (mayStart) {
        settle(assignment, place, sendOutcomeTraits(report.outcome), std::move(report.answer), SteadyClock::now() - begin);
    } else {
        expireTask(place);
        m_tasks.erase(assignment.task.task);
    }
    updateGauges();
    m_work.notify_one();
}

void ExecutorService::expireTask(const TaskPlace& place)
{
    RunningJob& job = *place.job;
    if (!job.done)
        failJob(job, httpStatus::gatewayTimeout, events::deadlinePassed, ExecutionStatus::MayHaveExecuted, "task " + std::to_string(place.index) + " found no slot in time");
}

void ExecutorService::settle(const Assignment& assignment, const TaskPlace& place, const SendOutcomeTraits& verdict, std::string answer, Duration runTime)
{
    RunningJob& job = *place.job;
    const TimePoint now = SteadyClock::now();
    UpstreamHealth& health = m_scheduler.health();
    if (verdict.outcome == SendOutcome::Succeeded) {
        if (health.recordSuccess(assignment.upstream, assignment.task.kind, runTime, now))
            logEvent(events::upstreamRecovered, "upstream=" + assignment.upstream);
    } else if (verdict.countsAsFailure && health.recordFailure(assignment.upstream, verdict.ejectUpstream, now)) {
        logEvent(events::upstreamEjected, "upstream=" + assignment.upstream + " outcome=" + verdict.name);
    }
    if (verdict.outcome == SendOutcome::RefusedNotRun)
        m_scheduler.pauseUpstream(assignment.upstream, now + pauseAfterRefusal);
    if (verdict.outcome == SendOutcome::InvalidReply)
        logEvent(events::wrongAnswer, "upstream=" + assignment.upstream + " task=" + taskId(job.request, place.index));
    if (verdict.mayResend) {
        --job.started;
        resend(assignment, place, verdict);
        return;
    }
    m_tasks.erase(assignment.task.task);
    if (job.done)
        return;
    if (verdict.outcome != SendOutcome::Succeeded) {
        const int status = verdict.outcome == SendOutcome::ReplyTimedOut ? httpStatus::gatewayTimeout : httpStatus::badGateway;
        failJob(job, status, verdict.outcome == SendOutcome::ReplyTimedOut ? events::deadlinePassed : events::jobFailed, ExecutionStatus::MayHaveExecuted,
            "task " + std::to_string(place.index) + " at " + assignment.upstream + ": " + verdict.name);
        return;
    }
    job.answers[place.index] = std::move(answer);
    if (--job.unanswered > 0)
        return;
    JobReply reply;
    reply.outcome = Outcome::Complete;
    reply.httpStatus = httpStatus::ok;
    reply.execution = ExecutionStatus::Executed;
    reply.answers = std::move(job.answers);
    finish(job, std::move(reply));
}

void ExecutorService::resend(const Assignment& assignment, const TaskPlace& place, const SendOutcomeTraits& verdict)
{
    RunningJob& job = *place.job;
    const TaskNumber number = assignment.task.task;
    const bool again = !job.done && ++job.resends[place.index] <= mostResends;
    if (!again) {
        m_tasks.erase(number);
        if (!job.done)
            failJob(job, httpStatus::unavailable, events::noUpstream, ExecutionStatus::MayHaveExecuted, "task " + std::to_string(place.index) + " at " + assignment.upstream + ": " + verdict.name);
        return;
    }
    QueuedTask task = assignment.task;
    task.avoid = { assignment.upstream };
    m_scheduler.enqueue(std::move(task));
}

void ExecutorService::failJob(RunningJob& job, int status, const Event& event, ExecutionStatus ran, const std::string& detail)
{
    // What was never sent anywhere has not run, and then `failed` would say too much.
    if (job.started == 0)
        finish(job, retryLater(httpStatus::unavailable, event.number == events::deadlinePassed.number ? events::overloaded : event, detail, retryAfterOverload));
    else
        finish(job, failedReply(status, event, ran, detail));
}

void ExecutorService::finish(RunningJob& job, JobReply reply)
{
    job.done = true;
    job.reply = std::move(reply);
    for (const TaskNumber task : m_scheduler.removeJob(job.number))
        m_tasks.erase(task);
    m_quotas.release(job.quotaRule, job.request.tasks.size());
    m_jobs.erase(job.number);
    job.changed.notify_all();
}

void ExecutorService::updateGauges()
{
    m_node.metrics.setGauge("queued_tasks", static_cast<double>(m_scheduler.queuedTasks()));
}

} // namespace egrettrestle
