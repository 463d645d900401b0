#include <egrettrestle/services/jobs_service.hpp>

#include <algorithm>
#include <thread>

#include <egrettrestle/base/event.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds connectTimeout { 250 };
    constexpr Milliseconds claimTimeLimit { 3'000 };
    constexpr Milliseconds lookupTimeout { 1'000 };
    constexpr Milliseconds retryAfterUnavailable { 500 };
    // Subtracted from the caller's deadline, so that the reply reaches the caller in time.
    constexpr Milliseconds replyMargin { 2 };
    constexpr Milliseconds stopPollInterval { 10 };

    bool allowsStart(const ClaimReply& answer, const ClaimsService& claims)
    {
        if (answer.outcome == ClaimOutcome::Granted)
            return true;
        return answer.outcome == ClaimOutcome::AlreadyClaimed && answer.state == ClaimState::Acknowledged && claims.isOwn(answer.holder);
    }

    JobReply withRetry(JobReply reply, Milliseconds after)
    {
        reply.retryAfter = after;
        return reply;
    }

    JobReply unknownOutcome(std::string detail)
    {
        return failedReply(httpStatus::badGateway, events::outcomeUnknown, ExecutionStatus::MayHaveExecuted, std::move(detail));
    }

}

JobsService::JobsService(ServiceContext& context)
    : m_context(context)
    , m_table(context.settings.answerMemoryBytes)
{
}

absl::Status JobsService::start()
{
    m_claims = &m_context.kernel.find<ClaimsService>(serviceNames::claims);
    m_manifest = &m_context.kernel.find<ManifestService>(serviceNames::manifest);
    m_executor = &m_context.kernel.find<ExecutorService>(serviceNames::executor);
    return absl::OkStatus();
}

void JobsService::stop()
{
    while (m_inFlight > 0)
        std::this_thread::sleep_for(stopPollInterval);
}

void JobsService::drain()
{
    if (!m_draining.exchange(true))
        logEvent(events::draining, "jobs_in_flight=" + std::to_string(m_inFlight));
}

bool JobsService::ready() const
{
    return !m_draining && m_manifest->current() && m_claims->incarnation().value != 0;
}

void JobsService::updateRemoteView(const DataCentreId& dataCentre, const View& view)
{
    const std::lock_guard<std::mutex> lock(m_remoteViewsMutex);
    View& known = m_remoteViews[dataCentre];
    if (view.epoch > known.epoch)
        known = view;
}

void JobsService::addEpochStamp(JobReply& reply) const
{
    if (reply.epochStamp.empty())
        reply.epochStamp = makeEpochStamp(m_context.settings.dataCentre, m_claims->epoch());
}

JobReply JobsService::submit(const JobRequest& job, JobSource source, const TraceContext& trace)
{
    ++m_inFlight;
    JobReply reply = processSubmission(job, source, trace);
    --m_inFlight;
    return reply;
}

JobReply JobsService::processSubmission(const JobRequest& job, JobSource source, const TraceContext& trace)
{
    const TimePoint begin = SteadyClock::now();
    const TimePoint deadline = begin + job.deadline - replyMargin;
    const std::shared_ptr<const Manifest> manifest = m_manifest->current();
    if (!manifest)
        return failedReply(httpStatus::unavailable, events::noManifest, ExecutionStatus::MayHaveExecuted, "this VM has no manifest yet");
    const DataCentreId home = homeDataCentre(*manifest, job.dataCentre, job.caller, job.key);
    if (home.empty()) {
        JobReply reply = refusedReply(httpStatus::badRequest, events::badRequest, "data centre " + job.dataCentre + " is not in the manifest");
        reply.field = "/dataCentre";
        return reply;
    }
    if (home != m_context.settings.dataCentre) {
        if (source != JobSource::Caller)
            return unknownOutcome("the VMs disagree on the home data centre of this submission");
        return forwardToHome(job, home, deadline, trace);
    }
    JobReply reply = submitAtHome(job, *manifest, source, deadline, trace);
    addEpochStamp(reply);
    if (source == JobSource::OtherVm)
        return reply;
    const TaskKind* kind = findTaskKind(*manifest, job.service, job.tasks.front().kind);
    const std::string urgencyClass = kind ? kind->urgencyClass : "none";
    m_context.metrics.countJob(urgencyClass, outcomeName(reply.outcome), reply.reason);
    m_context.metrics.observeResponse(urgencyClass, SteadyClock::now() - begin);
    if (reply.outcome == Outcome::Failed)
        logEvent(events::jobFailed, "caller=" + job.caller + " submission=" + job.submission + " reason=" + reply.reason + " event=" + std::to_string(reply.event) + " trace=" + trace.traceId + " detail=" + reply.detail);
    return reply;
}

JobReply JobsService::submitAtHome(const JobRequest& job, const Manifest& manifest, JobSource source, TimePoint deadline, const TraceContext& trace)
{
    const bool joinOnly = source == JobSource::OtherVm;
    AcquireResult entry = m_table.acquire(job.key, job.bodyDigest, joinOnly, deadline);
    switch (entry.outcome) {
    case AcquireOutcome::Answered:
        return *std::move(entry.reply);
    case AcquireOutcome::AnswerDropped:
        return failedReply(httpStatus::badGateway, events::answerDropped, ExecutionStatus::Executed, "the job has run, but its answer is no longer stored");
    case AcquireOutcome::Conflict:
        return conflictReply();
    case AcquireOutcome::WaitTimedOut:
        return failedReply(httpStatus::gatewayTimeout, events::deadlinePassed, ExecutionStatus::MayHaveExecuted, "the first request under this submission id is still being processed");
    case AcquireOutcome::NotFound:
        return unknownOutcome("the VM that holds this submission's claim has no record of the submission");
    case AcquireOutcome::Acquired:
        break;
    }
    return runAsOwner(job, manifest, deadline, trace);
}

JobReply JobsService::runAsOwner(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace)
{
    if (m_draining)
        return refuseIfNeverRan(job, withRetry(refusedReply(httpStatus::unavailable, events::refusedDraining, "this VM is draining"), Milliseconds(0)), deadline, trace);
    std::optional<JobReply> refused = m_executor->checkAdmission(job, manifest, deadline);
    if (refused)
        return refuseIfNeverRan(job, *refused, deadline, trace);
    ClaimReply answer;
    {
        Span span(m_context.spans, "claim", trace);
        answer = m_claims->callPrimary(claimRequest(job, ClaimRequestKind::Claim), std::min(deadline, SteadyClock::now() + claimTimeLimit));
        span.setAttribute("verdict", std::to_string(static_cast<int>(answer.outcome)));
    }
    if (allowsStart(answer, *m_claims))
        return runClaimed(job, manifest, deadline, trace);
    return handleNotGranted(job, answer, deadline, trace);
}

JobReply JobsService::refuseIfNeverRan(const JobRequest& job, const JobReply& refused, TimePoint deadline, const TraceContext& trace)
{
    if (job.firstTry)
        return finishForgotten(job, refused);
    // A refusal states that the submission has not run, which must hold for earlier requests under this id too.
    const TimePoint lookupDeadline = std::max(deadline, SteadyClock::now() + lookupTimeout);
    ClaimReply known;
    {
        Span span(m_context.spans, "lookup", trace);
        known = m_claims->lookUp(claimRequest(job, ClaimRequestKind::Lookup), lookupDeadline);
    }
    const bool neverRan = known.outcome == ClaimOutcome::NotFound
        || (known.outcome == ClaimOutcome::AlreadyClaimed && known.state == ClaimState::Released);
    if (neverRan)
        return finishForgotten(job, refused);
    // Only the holder of a claim may start its submission. This VM holds the claim and has not started it.
    if (known.outcome == ClaimOutcome::AlreadyClaimed && m_claims->isOwn(known.holder))
        return finishNotStarted(job, refused);
    if (known.outcome == ClaimOutcome::Unavailable)
        return finishForgotten(job, unknownOutcome("would be refused (" + refused.reason + "), but no replica of its claim can be reached to check whether it ran before"));
    return handleNotGranted(job, known, deadline, trace);
}

JobReply JobsService::runClaimed(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace)
{
    JobReply reply = m_executor->run(job, manifest, deadline, trace);
    addEpochStamp(reply);
    m_table.finish(job.key, reply.outcome == Outcome::Refused ? SubmissionState::NotStarted : SubmissionState::Ended, reply);
    return reply;
}

JobReply JobsService::handleNotGranted(const JobRequest& job, const ClaimReply& answer, TimePoint deadline, const TraceContext& trace)
{
    switch (answer.outcome) {
    case ClaimOutcome::Conflict:
        return finishForgotten(job, conflictReply());
    case ClaimOutcome::AlreadyClaimed:
        if (answer.state == ClaimState::Released)
            return finishForgotten(job, withRetry(refusedReply(httpStatus::unavailable, events::claimUnavailable, "the claim was released twice without a start; use a new submission id"), retryAfterUnavailable));
        if (m_claims->isOwn(answer.holder))
            return finishNotStarted(job, withRetry(refusedReply(httpStatus::unavailable, events::claimUnavailable, "the claim was not confirmed in time"), retryAfterUnavailable));
        return forwardToHolder(job, answer.holder, deadline, trace);
    case ClaimOutcome::Unavailable:
    case ClaimOutcome::Stale:
        break;
    default:
        return finishForgotten(job, unknownOutcome("the claims of that time were lost with the VMs that held them"));
    }
    const JobReply unavailable = withRetry(refusedReply(httpStatus::unavailable, events::claimUnavailable, "a replica of this claim cannot be reached; a new submission id may have other replicas"), retryAfterUnavailable);
    if (job.firstTry)
        return finishNotStarted(job, unavailable);
    // A lookup at either replica may still confirm that nothing ran.
    const ClaimReply known = m_claims->lookUp(claimRequest(job, ClaimRequestKind::Lookup), std::max(deadline, SteadyClock::now() + lookupTimeout));
    if (known.outcome == ClaimOutcome::NotFound)
        return finishNotStarted(job, unavailable);
    // A record that names this VM as the holder confirms it too. Unless it is acknowledged, this VM's records must be
    // confirmed to be the latest.
    const bool ownRecord = known.outcome == ClaimOutcome::AlreadyClaimed && m_claims->isOwn(known.holder);
    if (ownRecord && (known.state == ClaimState::Acknowledged || m_claims->epochIsCurrent(m_claims->epoch())))
        return finishNotStarted(job, unavailable);
    if (ownRecord)
        return finishNotStarted(job, unknownOutcome("only one replica of this submission's claim can be reached, and the store does not confirm that it still is one"));
    if (known.outcome == ClaimOutcome::AlreadyClaimed || known.outcome == ClaimOutcome::Conflict)
        return handleNotGranted(job, known, deadline, trace);
    return finishNotStarted(job, unknownOutcome("neither replica of this submission's claim can be reached"));
}

JobReply JobsService::forwardToHolder(const JobRequest& job, Incarnation holder, TimePoint deadline, const TraceContext& trace)
{
    const View view = m_claims->view();
    const Member* member = findMember(view, holder);
    if (!member)
        return finishForgotten(job, failedReply(httpStatus::badGateway, events::holderGone, ExecutionStatus::MayHaveExecuted, "the VM that held this submission's claim is no longer a member"));
    Span span(m_context.spans, "join", trace);
    std::optional<JobReply> reply = forward(member->peerAddress, peerPaths::jobs, job, deadline, span.context());
    if (!reply)
        return finishForgotten(job, failedReply(httpStatus::badGateway, events::holderGone, ExecutionStatus::MayHaveExecuted, "VM " + member->id + " holds this submission's claim and does not answer"));
    return finishForgotten(job, *std::move(reply));
}

JobReply JobsService::finishNotStarted(const JobRequest& job, JobReply reply)
{
    addEpochStamp(reply);
    m_table.finish(job.key, SubmissionState::NotStarted, reply);
    return reply;
}

JobReply JobsService::finishForgotten(const JobRequest& job, JobReply reply)
{
    m_table.forget(job.key);
    return reply;
}

ClaimRequest JobsService::claimRequest(const JobRequest& job, ClaimRequestKind kind) const
{
    ClaimRequest request;
    request.kind = kind;
    request.key = job.key;
    request.bodyDigest = job.bodyDigest;
    // Only the caller's own stamp is used, never this VM's epoch: a resubmission that carries a lower stamp could be
    // served in an older epoch.
    request.firstSent = parseEpochStamp(job.epochStamp, m_context.settings.dataCentre);
    return request;
}

std::optional<JobReply> JobsService::forward(const std::string& address, const std::string& path, const JobRequest& job, TimePoint deadline, const TraceContext& trace)
{
    const Milliseconds remaining = toMilliseconds(deadline - SteadyClock::now());
    if (remaining.count() <= 0)
        return std::nullopt;
    JobRequest outgoing = job;
    outgoing.deadline = remaining;
    if (path == peerPaths::jobs)
        outgoing.firstTry = false;
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.headers.push_back({ "traceparent", traceParent(trace) });
    request.headers.push_back({ "X-Egrettrestle-Forwarded", m_context.settings.dataCentre });
    request.body = jobText(outgoing);
    // The holder replies at the deadline at the latest; this time lets the reply arrive.
    constexpr Milliseconds grace { 100 };
    const HttpResult result = m_context.peers.call(address, request, { connectTimeout, remaining + grace });
    m_context.metrics.countMessage("forward", !result.ok(), static_cast<double>(request.body.size() + result.response.body.size()));
    return result.ok() ? parseReply(result.response.body, result.response.status) : std::nullopt;
}

JobReply JobsService::forwardToHome(const JobRequest& job, const DataCentreId& home, TimePoint deadline, const TraceContext& trace)
{
    View view;
    {
        const std::lock_guard<std::mutex> lock(m_remoteViewsMutex);
        const auto found = m_remoteViews.find(home);
        if (found != m_remoteViews.end())
            view = found->second;
    }
    Span span(m_context.spans, "forward", trace);
    span.setAttribute("dataCentre", home);
    // Any VM of the home data centre can process the job. Trying another one after a lost reply is safe, since the
    // claim prevents a second start.
    std::rotate(view.members.begin(), view.members.begin() + static_cast<std::ptrdiff_t>(view.members.empty() ? 0 : job.key.low % view.members.size()), view.members.end());
    JobRequest outgoing = job;
    for (const Member& member : view.members) {
        std::optional<JobReply> reply = forward(member.callerAddress, "/v1/jobs", outgoing, deadline, span.context());
        const bool tryNext = !reply || (reply->event == events::refusedDraining.number);
        if (!tryNext)
            return *std::move(reply);
        outgoing.firstTry = false;
    }
    return failedReply(httpStatus::badGateway, events::homeUnreachable, ExecutionStatus::MayHaveExecuted, "home data centre " + home + " cannot be reached");
}

void JobsService::releaseUnusedClaims(TimePoint deadline)
{
    for (const SubmissionKey& key : m_table.notStarted()) {
        ClaimRequest request;
        request.kind = ClaimRequestKind::Release;
        request.key = key;
        request.bodyDigest = m_table.bodyDigest(key);
        // Removed before the release, since a released submission must never start here.
        m_table.forget(key);
        m_claims->callPrimary(request, deadline);
    }
}

bool JobsService::cancel(const std::string& caller, const std::string& submission, bool forwarded)
{
    const SubmissionKey key = submissionKey(caller, submission);
    if (m_executor->cancel(key))
        return true;
    if (forwarded || m_table.state(key))
        return false;
    ClaimRequest request;
    request.key = key;
    const ClaimReply known = m_claims->lookUp(request, SteadyClock::now() + lookupTimeout);
    const View view = m_claims->view();
    const Member* holder = known.holder.value != 0 ? findMember(view, known.holder) : nullptr;
    if (!holder || m_claims->isOwn(known.holder))
        return false;
    HttpRequest outgoing;
    outgoing.method = "POST";
    outgoing.path = peerPaths::cancel;
    outgoing.query = "caller=" + encodeQuery(caller) + "&submission=" + encodeQuery(submission);
    const HttpResult result = m_context.peers.call(holder->peerAddress, outgoing, { connectTimeout, lookupTimeout });
    m_context.metrics.countMessage("forward", !result.ok(), 0);
    return result.ok() && result.response.status == httpStatus::accepted;
}

std::string JobsService::status(const std::string& caller, const std::string& submission)
{
    const SubmissionKey key = submissionKey(caller, submission);
    const std::optional<SubmissionState> localState = m_table.state(key);
    if (localState)
        return *localState == SubmissionState::Active ? "active" : *localState == SubmissionState::Ended ? "ended"
                                                                                                         : "not-started";
    ClaimRequest request;
    request.key = key;
    const ClaimReply known = m_claims->lookUp(request, SteadyClock::now() + lookupTimeout);
    if (known.outcome == ClaimOutcome::NotFound)
        return "not-known";
    return known.outcome == ClaimOutcome::AlreadyClaimed || known.outcome == ClaimOutcome::Conflict ? "claimed-elsewhere" : "unknown";
}

} // namespace egrettrestle
