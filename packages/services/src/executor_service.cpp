#include <egrettrestle/services/executor_service.hpp>

#include <algorithm>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/task_sender.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds schedulerPollInterval { 20 };
    constexpr int maxResends = 3;
    // Run times vary, so a job is admitted only if this multiple of its expected duration ends before the deadline.
    constexpr double admissionMargin = 1.25;
    // For the same reason a task is started only if this multiple of its average run time is left.
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

ExecutorService::ExecutorService(ServiceContext& context)
    : m_context(context)
{
}

ExecutorService::~ExecutorService()
{
    stop();
}

absl::Status ExecutorService::start()
{
    for (int count = 0; count < m_context.settings.taskThreads; ++count)
        m_threads.emplace_back([this] { runTasks(); });
    return absl::OkStatus();
}

void ExecutorService::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        m_workAvailable.notify_all();
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
    m_workAvailable.notify_all();
}

void ExecutorService::setMemberCount(std::size_t members)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_memberCount = members;
}

std::optional<JobReply> ExecutorService::manifestRefusal(const JobRequest& job, const Manifest& manifest)
{
    if (!findCaller(manifest, job.caller))
        return refusedReply(httpStatus::badRequest, events::unknownCaller, "caller " + job.caller + " is not in the manifest");
    if (job.tasks.size() > manifest.limits.maxTasksPerJob) {
        JobReply reply = refusedReply(httpStatus::payloadTooLarge, events::jobTooLarge, std::to_string(job.tasks.size()) + " tasks; the limit is " + std::to_string(manifest.limits.maxTasksPerJob));
        reply.field = "/tasks";
        return reply;
    }
    if (job.deadline > manifest.limits.maxDeadline) {
        JobReply reply = refusedReply(httpStatus::badRequest, events::badRequest, "the limit in milliseconds is " + std::to_string(manifest.limits.maxDeadline.count()));
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
            JobReply reply = refusedReply(httpStatus::payloadTooLarge, events::jobTooLarge, std::to_string(task.payload.size()) + " bytes; the limit is " + std::to_string(kind->sizeLimitBytes));
            reply.field = pointer + "/payload";
            return reply;
        }
    }
    return std::nullopt;
}

std::optional<JobReply> ExecutorService::checkAdmission(const JobRequest& job, const Manifest& manifest, TimePoint deadline)
{
    std::optional<JobReply> refused = manifestRefusal(job, manifest);
    if (refused)
        return refused;
    const TimePoint now = SteadyClock::now();
    const TaskKind* kind = findTaskKind(manifest, job.service, job.tasks.front().kind);
    const UrgencyClass* urgencyClass = findUrgencyClass(manifest, kind->urgencyClass);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const ServiceLoad load = m_scheduler.load(job.service, now);
    if (load.slots == 0)
        return retryLater(httpStatus::unavailable, events::noUpstream, "service " + job.service + " has no slot on this VM", retryAfterOverload);
    const Duration runTime = m_scheduler.health().expectedRunTime(kind->name, kind->expectedRunTime);
    const Duration wait = m_scheduler.expectedWait(job.service, urgencyClass->rank, job.tasks.size(), runTime, now);
    if (now + std::chrono::duration_cast<Duration>(admissionMargin * (wait + runTime)) > deadline) {
        const std::string detail = "expected to take " + std::to_string(toMilliseconds(wait + runTime).count()) + " ms, deadline in " + std::to_string(toMilliseconds(deadline - now).count()) + " ms";
        return retryLater(httpStatus::unavailable, events::overloaded, detail, std::max(retryAfterOverload, toMilliseconds(wait)));
    }
    return std::nullopt;
}

std::shared_ptr<RunningJob> ExecutorService::enqueue(const JobRequest& request, const Manifest& manifest, TimePoint deadline, const TraceContext& trace)
{
    const TimePoint now = SteadyClock::now();
    const std::shared_ptr<RunningJob> job = std::make_shared<RunningJob>();
    job->request = request;
    job->deadline = deadline;
    job->trace = trace;
    job->answers.resize(request.tasks.size());
    job->resends.resize(request.tasks.size());
    job->unansweredTasks = request.tasks.size();
    job->urgencyClass = findTaskKind(manifest, request.service, request.tasks.front().kind)->urgencyClass;
    const CallerRule* rule = findCaller(manifest, request.caller);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_quotas.tryAcquire(rule->name, quotaShare(rule->maxTasksInFlight, rule->startsPerSecond, m_memberCount), request.tasks.size(), now)) {
        job->done = true;
        job->reply = retryLater(httpStatus::tooManyRequests, events::quotaExceeded, "quota of caller rule " + rule->name + " on this VM is used up", retryAfterQuota);
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
    m_workAvailable.notify_one();
    return job;
}

JobReply ExecutorService::run(const JobRequest& request, const Manifest& manifest, TimePoint deadline, const TraceContext& trace)
{
    const std::shared_ptr<RunningJob> job = enqueue(request, manifest, deadline, trace);
    std::unique_lock<std::mutex> lock(m_mutex);
    job->changed.wait_until(lock, deadline, [&job] { return job->done; });
    if (!job->done)
        failJob(*job, httpStatus::gatewayTimeout, events::deadlinePassed, ExecutionStatus::MayHaveExecuted, std::to_string(job->unansweredTasks) + " of " + std::to_string(request.tasks.size()) + " answers are missing");
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

std::size_t ExecutorService::unfinishedTasks() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_tasks.size();
}

void ExecutorService::runTasks()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        std::optional<Assignment> assignment = m_scheduler.nextAssignment(SteadyClock::now());
        // While queued tasks cannot start yet, one idle thread polls the scheduler; the others sleep until notified.
        if (assignment) {
            if (m_scheduler.queuedTasks() > 0)
                m_workAvailable.notify_one();
            runAssignment(lock, *assignment);
        } else if (m_scheduler.queuedTasks() > 0 && !m_pollerWaiting) {
            m_pollerWaiting = true;
            m_workAvailable.wait_for(lock, schedulerPollInterval);
            m_pollerWaiting = false;
        } else {
            m_workAvailable.wait(lock);
        }
    }
}

void ExecutorService::runAssignment(std::unique_lock<std::mutex>& lock, const Assignment& assignment)
{
    const TaskRef taskRef = m_tasks.at(assignment.task.task);
    RunningJob& job = *taskRef.job;
    if (assignment.upstream.empty()) {
        expireTask(taskRef);
        m_tasks.erase(assignment.task.task);
        return;
    }
    const TaskRequest& request = job.request.tasks[taskRef.index];
    lock.unlock();
    {
        Span queueSpan(m_context.spans, "queue", job.trace);
        queueSpan.setAttribute("task", std::to_string(taskRef.index));
        queueSpan.moveStartBack(SteadyClock::now() - taskRef.queuedSince);
    }
    Span span(m_context.spans, "upstream", job.trace);
    UpstreamTask task { taskId(job.request, taskRef.index), request.kind, request.payload, Milliseconds(0) };
    lock.lock();
    // Checked and counted in one critical section, with nothing but the unlocking before the send: a job that fails
    // after this point is answered `failed`, never `refused`.
    const TimePoint begin = SteadyClock::now();
    task.timeLeft = toMilliseconds(job.deadline - begin);
    const bool mayStart = !job.done && task.timeLeft.count() > 0;
    if (mayStart)
        ++job.startedTasks;
    lock.unlock();
    SendReport report;
    if (mayStart) {
        report = sendTask(m_upstreamClient, assignment.address, task, span.context());
        const SendOutcomeTraits& traits = sendOutcomeTraits(report.outcome);
        m_context.metrics.countMessage("task", traits.outcome != SendOutcome::Succeeded, static_cast<double>(task.payload.size() + report.answer.size()));
        if (!traits.mayResend)
            m_context.metrics.countStart(request.kind);
        span.setAttribute("upstream", assignment.upstream);
        span.setAttribute("outcome", traits.name);
    }
    lock.lock();
    m_scheduler.releaseSlot(assignment.upstream, assignment.task.rank);
    if (mayStart) {
        handleOutcome(assignment, taskRef, sendOutcomeTraits(report.outcome), std::move(report.answer), SteadyClock::now() - begin);
    } else {
        expireTask(taskRef);
        m_tasks.erase(assignment.task.task);
    }
    updateGauges();
    m_workAvailable.notify_one();
}

void ExecutorService::expireTask(const TaskRef& taskRef)
{
    RunningJob& job = *taskRef.job;
    if (!job.done)
        failJob(job, httpStatus::gatewayTimeout, events::deadlinePassed, ExecutionStatus::MayHaveExecuted, "task " + std::to_string(taskRef.index) + " got no free slot before the deadline");
}

void ExecutorService::handleOutcome(const Assignment& assignment, const TaskRef& taskRef, const SendOutcomeTraits& traits, std::string answer, Duration runTime)
{
    RunningJob& job = *taskRef.job;
    const TimePoint now = SteadyClock::now();
    UpstreamHealth& health = m_scheduler.health();
    if (traits.outcome == SendOutcome::Succeeded) {
        if (health.recordSuccess(assignment.upstream, assignment.task.kind, runTime, now))
            logEvent(events::upstreamRecovered, "upstream=" + assignment.upstream);
    } else if (traits.countsAsFailure && health.recordFailure(assignment.upstream, traits.ejectUpstream, now)) {
        logEvent(events::upstreamEjected, "upstream=" + assignment.upstream + " outcome=" + traits.name);
    }
    if (traits.outcome == SendOutcome::RefusedNotRun)
        m_scheduler.pauseUpstream(assignment.upstream, now + pauseAfterRefusal);
    if (traits.outcome == SendOutcome::InvalidReply)
        logEvent(events::wrongAnswer, "upstream=" + assignment.upstream + " task=" + taskId(job.request, taskRef.index));
    if (traits.mayResend) {
        --job.startedTasks;
        resend(assignment, taskRef, traits);
        return;
    }
    m_tasks.erase(assignment.task.task);
    if (job.done)
        return;
    if (traits.outcome != SendOutcome::Succeeded) {
        const int status = traits.outcome == SendOutcome::ReplyTimedOut ? httpStatus::gatewayTimeout : httpStatus::badGateway;
        failJob(job, status, traits.outcome == SendOutcome::ReplyTimedOut ? events::deadlinePassed : events::jobFailed, ExecutionStatus::MayHaveExecuted,
            "task " + std::to_string(taskRef.index) + " at " + assignment.upstream + ": " + traits.name);
        return;
    }
    job.answers[taskRef.index] = std::move(answer);
    if (--job.unansweredTasks > 0)
        return;
    JobReply reply;
    reply.outcome = Outcome::Complete;
    reply.httpStatus = httpStatus::ok;
    reply.execution = ExecutionStatus::Executed;
    reply.answers = std::move(job.answers);
    finishJob(job, std::move(reply));
}

void ExecutorService::resend(const Assignment& assignment, const TaskRef& taskRef, const SendOutcomeTraits& traits)
{
    RunningJob& job = *taskRef.job;
    const TaskNumber number = assignment.task.task;
    const bool mayResendAgain = !job.done && ++job.resends[taskRef.index] <= maxResends;
    if (!mayResendAgain) {
        m_tasks.erase(number);
        if (!job.done)
            failJob(job, httpStatus::unavailable, events::noUpstream, ExecutionStatus::MayHaveExecuted, "task " + std::to_string(taskRef.index) + " at " + assignment.upstream + ": " + traits.name);
        return;
    }
    QueuedTask task = assignment.task;
    task.avoid = { assignment.upstream };
    m_scheduler.enqueue(std::move(task));
}

void ExecutorService::failJob(RunningJob& job, int status, const Event& event, ExecutionStatus execution, const std::string& detail)
{
    // If no task was sent, nothing has run: the job is refused rather than failed.
    if (job.startedTasks == 0)
        finishJob(job, retryLater(httpStatus::unavailable, event.number == events::deadlinePassed.number ? events::overloaded : event, detail, retryAfterOverload));
    else
        finishJob(job, failedReply(status, event, execution, detail));
}

void ExecutorService::finishJob(RunningJob& job, JobReply reply)
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
    m_context.metrics.setGauge("queued_tasks", static_cast<double>(m_scheduler.queuedTasks()));
}

} // namespace egrettrestle
