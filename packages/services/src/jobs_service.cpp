#include <egrettrestle/services/jobs_service.hpp>

#include <algorithm>
#include <thread>

#include <egrettrestle/base/event.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds connectTimeout { 250 };
    constexpr Milliseconds claimPatience { 3'000 };
    constexpr Milliseconds lookUpPatience { 1'000 };
    constexpr Milliseconds retryAfterUnavailable { 500 };
    // The reply has to travel back before the caller's own deadline.
    constexpr Milliseconds replyMargin { 2 };
    constexpr Milliseconds stopPollInterval { 10 };

    bool isOurs(const ClaimReply& answer, const ClaimsService& claims)
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

JobsService::JobsService(Node& node)
    : m_node(node)
    , m_table(node.settings.answerMemoryBytes)
{
}

absl::Status JobsService::start()
{
    m_claims = &m_node.kernel.find<ClaimsService>(serviceNames::claims);
    m_manifest = &m_node.kernel.find<ManifestService>(serviceNames::manifest);
    m_executor = &m_node.kernel.find<ExecutorService>(serviceNames::executor);
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

void JobsService::noteOtherView(const DataCentreId& dataCentre, const View& view)
{
    const std::lock_guard<std::mutex> lock(m_otherMutex);
    View& known = m_otherViews[dataCentre];
    if (view.epoch > known.epoch)
        known = view;
}

void JobsService::stamp(JobReply& reply) const
{
    if (reply.epochStamp.empty())
        reply.epochStamp = makeEpochStamp(m_node.settings.dataCentre, m_claims->epoch());
}

JobReply JobsService::submit(const JobRequest& job, JobSource source, const TraceContext& trace)
{
    ++m_inFlight;
    JobReply reply = submitCounted(job, source, trace);
    --m_inFlight;
    return reply;
}

JobReply JobsService::submitCounted(const JobRequest& job, JobSource source, const TraceContext& trace)
{
    const TimePoint begin = SteadyClock::now();
    const TimePoint deadline = begin + job.deadline - replyMargin;
    const std::shared_ptr<const Manifest> manifest = m_manifest->current();
    if (!manifest)
        return failedReply(httpStatus::unavailable, events::noManifest, ExecutionStatus::MayHaveExecuted, "this VM knows no manifest yet");
    const DataCentreId home = homeDataCentre(*manifest, job.dataCentre, job.caller, job.key);
    if (home.empty()) {
        JobReply reply = refusedReply(httpStatus::badRequest, events::badRequest, "data centre " + job.dataCentre + " is not in the manifest");
        reply.field = "/dataCentre";
        return reply;
    }
    if (home != m_node.settings.dataCentre) {
        if (source != JobSource::Caller)
            return unknownOutcome("the VMs do not agree on the home of this submission");
        return forwardHome(job, home, deadline, trace);
    }
    JobReply reply = submitHere(job, *manifest, source, deadline, trace);
    stamp(reply);
    if (source == JobSource::OtherVm)
        return reply;
    const TaskKind* kind = findTaskKind(*manifest, job.service, job.tasks.front().kind);
    const std::string urgencyClass = kind ? kind->urgencyClass : "none";
    m_node.metrics.countJob(urgencyClass, outcomeName(reply.outcome), reply.reason);
    m_node.metrics.observeResponse(urgencyClass, SteadyClock::now() - begin);
    if (reply.outcome == Outcome::Failed)
        logEvent(events::jobFailed, "caller=" + job.caller + " submission=" + job.submission + " reason=" + reply.reason + " event=" + std::to_string(reply.event) + " trace=" + trace.traceId + " detail=" + reply.detail);
    return reply;
}

JobReply JobsService::submitHere(const JobRequest& job, const Manifest& manifest, JobSource source, TimePoint deadline, const TraceContext& trace)
{
    const bool joinOnly = source == JobSource::OtherVm;
    EntryResult entry = m_table.enter(job.key, job.bodyDigest, joinOnly, deadline);
    switch (entry.verdict) {
    case EntryVerdict::Answered:
        return *std::move(entry.reply);
    case EntryVerdict::AnswerDropped:
        return failedReply(httpStatus::badGateway, events::answerDropped, ExecutionStatus::Executed, "the answer is kept no longer");
    case EntryVerdict::Conflict:
        return conflictReply();
    case EntryVerdict::StillActive:
        return failedReply(httpStatus::gatewayTimeout, events::deadlinePassed, ExecutionStatus::MayHaveExecuted, "the first request under this submission id goes on");
    case EntryVerdict::NotKnown:
        return unknownOutcome("the VM that holds this submission's claim knows nothing of it");
    case EntryVerdict::Owner:
        break;
    }
    return own(job, manifest, deadline, trace);
}

JobReply JobsService::own(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace)
{
    if (m_draining)
        return refuseIfNew(job, withRetry(refusedReply(httpStatus::unavailable, events::refusedDraining, "this VM is leaving"), Milliseconds(0)), deadline, trace);
    std::optional<JobReply> refused = m_executor->admission(job, manifest, deadline);
    if (refused)
        return refuseIfNew(job, *refused, deadline, trace);
    ClaimReply answer;
    {
        Span span(m_node.spans, "claim", trace);
        answer = m_claims->ask(claimRequest(job, ClaimRequestKind::Claim), std::min(deadline, SteadyClock::now() + claimPatience));
        span.setAttribute("verdict", std::to_string(static_cast<int>(answer.outcome)));
    }
    if (isOurs(answer, *m_claims))
        return runClaimed(job, manifest, deadline, trace);
    return notGranted(job, answer, deadline, trace);
}

JobReply JobsService::refuseIfNew(const JobRequest& job, const JobReply& refused, TimePoint deadline, const TraceContext& trace)
{
    if (job.firstTry)
        return leaveForgotten(job, refused);
    // "Not run" has to be true of an earlier request under this submission id too.
    const TimePoint patience = std::max(deadline, SteadyClock::now() + lookUpPatience);
    ClaimReply known;
    {
        Span span(m_node.spans, "lookup", trace);
        known = m_claims->lookUp(claimRequest(job, ClaimRequestKind::Lookup), patience);
    }
    const bool neverRan = known.outcome == ClaimOutcome::NotFound
        || (known.outcome == ClaimOutcome::AlreadyClaimed && known.state == ClaimState::Released);
    if (neverRan)
        return leaveForgotten(job, refused);
    // Only this VM could have started a submission that it holds, and it has not.
    if (known.outcome == ClaimOutcome::AlreadyClaimed && m_claims->isOwn(known.holder))
        return leaveNotStarted(job, refused);
    if (known.outcome == ClaimOutcome::Unavailable)
        return leaveForgotten(job, unknownOutcome("would be refused (" + refused.reason + "), but no holder of its claim can be asked whether it ran before"));
    return notGranted(job, known, deadline, trace);
}

JobReply JobsService::runClaimed(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace)
{
    JobReply reply = m_executor->run(job, manifest, deadline, trace);
    stamp(reply);
    m_table.leave(job.key, reply.outcome == Outcome::Refused ? SubmissionState::NotStarted : SubmissionState::Ended, reply);
    return reply;
}

JobReply JobsService::notGranted(const JobRequest& job, const ClaimReply& answer, TimePoint deadline, const TraceContext& trace)
{
    switch (answer.outcome) {
    case ClaimOutcome::Conflict:
        return leaveForgotten(job, conflictReply());
    case ClaimOutcome::AlreadyClaimed:
        if (answer.state == ClaimState::Released)
            return leaveForgotten(job, withRetry(refusedReply(httpStatus::unavailable, events::claimUnavailable, "given back twice without a start; use a new submission id"), retryAfterUnavailable));
        if (m_claims->isOwn(answer.holder))
            return leaveNotStarted(job, withRetry(refusedReply(httpStatus::unavailable, events::claimUnavailable, "the claim was not confirmed in time"), retryAfterUnavailable));
        return joinHolder(job, answer.holder, deadline, trace);
    case ClaimOutcome::Unavailable:
    case ClaimOutcome::Stale:
        break;
    default:
        return leaveForgotten(job, unknownOutcome("claims of that time were lost with the VMs that held them"));
    }
    const JobReply unavailable = withRetry(refusedReply(httpStatus::unavailable, events::claimUnavailable, "a holder of this claim cannot be reached; a new submission id may find others"), retryAfterUnavailable);
    if (job.firstTry)
        return leaveNotStarted(job, unavailable);
    // One of the holders may still tell that nothing ran.
    const ClaimReply known = m_claims->lookUp(claimRequest(job, ClaimRequestKind::Lookup), std::max(deadline, SteadyClock::now() + lookUpPatience));
    if (known.outcome == ClaimOutcome::NotFound)
        return leaveNotStarted(job, unavailable);
    // A record of this VM's own says so too, but only where its memory is confirmed to be the latest.
    const bool ownRecord = known.outcome == ClaimOutcome::AlreadyClaimed && m_claims->isOwn(known.holder);
    if (ownRecord && (known.state == ClaimState::Acknowledged || m_claims->epochIsCurrent(m_claims->epoch())))
        return leaveNotStarted(job, unavailable);
    if (ownRecord)
        return leaveNotStarted(job, unknownOutcome("only one holder of this submission's claim can be asked, and nobody confirms that it is one still"));
    if (known.outcome == ClaimOutcome::AlreadyClaimed || known.outcome == ClaimOutcome::Conflict)
        return notGranted(job, known, deadline, trace);
    return leaveNotStarted(job, unknownOutcome("neither holder of this submission's claim can be asked"));
}

JobReply JobsService::joinHolder(const JobRequest& job, Incarnation holder, TimePoint deadline, const TraceContext& trace)
{
    const View view = m_claims->view();
    const Member* member = findMember(view, holder);
    if (!member)
        return leaveForgotten(job, failedReply(httpStatus::badGateway, events::holderGone, ExecutionStatus::MayHaveExecuted, "the VM that held this submission is gone"));
    Span span(m_node.spans, "join", trace);
    std::optional<JobReply> reply = send(member->peerAddress, peerPaths::jobs, job, deadline, span.context());
    if (!reply)
        return leaveForgotten(job, failedReply(httpStatus::badGateway, events::holderGone, ExecutionStatus::MayHaveExecuted, "VM " + member->id + " holds this submission and does not answer"));
    return leaveForgotten(job, *std::move(reply));
}

JobReply JobsService::leaveNotStarted(const JobRequest& job, JobReply reply)
{
    stamp(reply);
    m_table.leave(job.key, SubmissionState::NotStarted, reply);
    return reply;
}

JobReply JobsService::leaveForgotten(const JobRequest& job, JobReply reply)
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
    // Only the caller's own stamp counts: a resubmission that carries a lower one could be served in an older epoch.
    request.firstSent = parseEpochStamp(job.epochStamp, m_node.settings.dataCentre);
    return request;
}

std::optional<JobReply> JobsService::send(const std::string& address, const std::string& path, const JobRequest& job, TimePoint deadline, const TraceContext& trace)
{
    const Milliseconds left = toMilliseconds(deadline - SteadyClock::now());
    if (left.count() <= 0)
        return std::nullopt;
    JobRequest onward = job;
    onward.deadline = left;
    if (path == peerPaths::jobs)
        onward.firstTry = false;
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.headers.push_back({ "traceparent", traceParent(trace) });
    request.headers.push_back({ "X-Egrettrestle-Forwarded", m_node.settings.dataCentre });
    request.body = jobText(onward);
    // The holder answers at the deadline at the latest; a little more lets that answer arrive.
    constexpr Milliseconds grace { 100 };
    const HttpResult result = m_node.peers.call(address, request, { connectTimeout, left + grace });
    m_node.metrics.countMessage("forward", !result.ok(), static_cast<double>(request.body.size() + result.response.body.size()));
    return result.ok() ? parseReply(result.response.body, result.response.status) : std::nullopt;
}

JobReply JobsService::forwardHome(const JobRequest& job, const DataCentreId& home, TimePoint deadline, const TraceContext& trace)
{
    View view;
    {
        const std::lock_guard<std::mutex> lock(m_otherMutex);
        const auto found = m_otherViews.find(home);
        if (found != m_otherViews.end())
            view = found->second;
    }
    Span span(m_node.spans, "forward", trace);
    span.setAttribute("dataCentre", home);
    // Any VM of the home will do, and asking another after a lost reply is safe: its claim decides.
    std::rotate(view.members.begin(), view.members.begin() + static_cast<std::ptrdiff_t>(view.members.empty() ? 0 : job.key.low % view.members.size()), view.members.end());
    JobRequest onward = job;
    for (const Member& member : view.members) {
        std::optional<JobReply> reply = send(member.callerAddress, "/v1/jobs", onward, deadline, span.context());
        const bool tryNext = !reply || (reply->event == events::refusedDraining.number);
        if (!tryNext)
            return *std::move(reply);
        onward.firstTry = false;
    }
    return failedReply(httpStatus::badGateway, events::homeUnreachable, ExecutionStatus::MayHaveExecuted, "home data centre " + home + " cannot be reached");
}

void JobsService::releaseUnused(TimePoint deadline)
{
    for (const SubmissionKey& key : m_table.notStarted()) {
        ClaimRequest request;
        request.kind = ClaimRequestKind::Release;
        request.key = key;
        request.bodyDigest = m_table.body(key);
        // Forgotten first: what is released must never start here.
        m_table.forget(key);
        m_claims->ask(request, deadline);
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
    const ClaimReply known = m_claims->lookUp(request, SteadyClock::now() + lookUpPatience);
    const View view = m_claims->view();
    const Member* holder = known.holder.value != 0 ? findMember(view, known.holder) : nullptr;
    if (!holder || m_claims->isOwn(known.holder))
        return false;
    HttpRequest onward;
    onward.method = "POST";
    onward.path = peerPaths::cancel;
    onward.query = "caller=" + encodeQuery(caller) + "&submission=" + encodeQuery(submission);
    const HttpResult result = m_node.peers.call(holder->peerAddress, onward, { connectTimeout, lookUpPatience });
    m_node.metrics.countMessage("forward", !result.ok(), 0);
    return result.ok() && result.response.status == httpStatus::accepted;
}

std::string JobsService::status(const std::string& caller, const std::string& submission)
{
    const SubmissionKey key = submissionKey(caller, submission);
    const std::optional<SubmissionState> here = m_table.state(key);
    if (here)
        return *here == SubmissionState::Active ? "active" : *here == SubmissionState::Ended ? "ended"
                                                                                             : "not-started";
    ClaimRequest request;
    request.key = key;
    const ClaimReply known = m_claims->lookUp(request, SteadyClock::now() + lookUpPatience);
    if (known.outcome == ClaimOutcome::NotFound)
        return "not-known";
    return known.outcome == ClaimOutcome::AlreadyClaimed || known.outcome == ClaimOutcome::Conflict ? "claimed-elsewhere" : "unknown";
}

} // namespace egrettrestle
