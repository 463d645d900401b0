#include <egrettrestle/decision/upstream_owner.hpp>

#include <algorithm>

/// The part of the owner that reports on what it considers runs as over, and the runs that contradict it.
namespace egrettrestle {

namespace {

    using EventKind = OwnerEvent::Kind;

    /// The state of a run's stop, and how long ago it was ordered or takes effect.
    RunNote noteOfStop(const OwnedRun& run, TimePoint now)
    {
        RunNote note;
        note.run = run.request.run;
        note.vm = run.executor;
        note.basis = run.state == RunState::Stopping ? "stop-unanswered" : "not-stopped";
        if (run.state == RunState::Stopping)
            note.ages.emplace_back("stopSent", toMilliseconds(now - run.stopSentAt));
        if (run.stopAcceptedAt) {
            note.basis = "stop-accepted";
            note.ages.emplace_back("stopEffective", toMilliseconds(now - *run.stopAcceptedAt));
        }
        return note;
    }

    /// Why a run is not known as one of the executor that has withdrawn it from a polled upstream.
    const char* basisOfUnknownRun(const OwnedUpstream& upstream, const TaskRun& run)
    {
        return upstream.runs.count(run) > 0 ? "there-for-another-executor" : "not-listed";
    }

}

void UpstreamOwner::reportFoundRuns(OwnedUpstream& upstream, const PollReply& reply, bool restarted, TimePoint sentAt, TimePoint now)
{
    reportRunsPastEnd(upstream, reply, sentAt, now);
    reportUnclaimedRuns(upstream, reply, restarted, sentAt, now);
}

void UpstreamOwner::reportRunsPastEnd(OwnedUpstream& upstream, const PollReply& reply, TimePoint sentAt, TimePoint now)
{
    std::vector<RunNote> listed;
    for (const TaskRun& id : reply.running) {
        const auto found = upstream.runs.find(id);
        // A poll that was sent earlier may have been answered in time.
        if (found == upstream.runs.end() || !found->second.endBy || sentAt <= *found->second.endBy)
            continue;
        OwnedRun& run = found->second;
        const bool known = run.shownPastEnd.has_value();
        run.shownPastEnd = toMilliseconds(sentAt - *run.endBy);
        if (known)
            continue;
        listed.push_back(noteOfStop(run, now));
        listed.back().ages.emplace_back("late", *run.shownPastEnd);
    }
    std::vector<RunNote> ended;
    for (const RunEndRecord& end : reply.ended) {
        const auto found = upstream.runs.find(end.run);
        if (end.sequenceNumber <= upstream.acknowledgedEnd || found == upstream.runs.end() || !found->second.endBy || now <= *found->second.endBy)
            continue;
        const OwnedRun& run = found->second;
        ended.push_back(noteOfStop(run, now));
        ended.back().ages.emplace_back("late", run.shownPastEnd.value_or(Milliseconds { 0 }));
        ended.back().ages.emplace_back("lateAtMost", toMilliseconds(now - *run.endBy));
    }
    const auto report = [&](const char* cause, std::vector<RunNote> notes) {
        if (!notes.empty())
            m_port.recordEvent({ EventKind::RunsPastEnd, upstream.info.id, {}, cause, toMilliseconds(now - sentAt), notes.size(), {}, evidenceOf(upstream, now), std::move(notes) });
    };
    report("listed", std::move(listed));
    report("ended", std::move(ended));
}

void UpstreamOwner::reportUnclaimedRuns(const OwnedUpstream& upstream, const PollReply& reply, bool restarted, TimePoint sentAt, TimePoint now)
{
    std::vector<RunNote> notes;
    for (const TaskRun& run : reply.running) {
        if (upstream.runs.count(run) == 0 && !m_recentEnds.findAt(upstream.info.id, run))
            notes.push_back({ run, {}, {}, {}, {} });
    }
    if (notes.empty())
        return;
    const char* firstPollCause = upstream.synced ? "later-poll" : "first-poll";
    m_port.recordEvent({ EventKind::RunsUnclaimed, upstream.info.id, {}, restarted ? "restarted" : firstPollCause, toMilliseconds(now - sentAt), notes.size(), {}, evidenceOf(upstream, now), std::move(notes) });
}

void UpstreamOwner::reportReturnedRuns(const OwnedUpstream& upstream, const char* cause, std::vector<RunNote> notes, TimePoint sentAt, TimePoint now)
{
    if (!notes.empty())
        m_port.recordEvent({ EventKind::RunsReturnedLost, upstream.info.id, {}, cause, toMilliseconds(now - sentAt), notes.size(), {}, evidenceOf(upstream, now), std::move(notes) });
}

void UpstreamOwner::noteUnknownRun(const VmId& executor, const RunWithdrawal& withdrawal, TimePoint now)
{
    RunNote note { withdrawal.run, executor, withdrawal.upstream, "no-upstream-named", {} };
    const OwnedUpstream* upstream = findUpstream(withdrawal.upstream);
    if (upstream) {
        note.ages.emplace_back("poll", toMilliseconds(now - upstream->lastSuccessfulPoll));
        note.basis = basisOfUnknownRun(*upstream, withdrawal.run);
    }
    m_unknownRuns.push_back(std::move(note));
}

void UpstreamOwner::reportUnknownRuns()
{
    if (m_unknownRuns.empty())
        return;
    OwnerEvent event;
    event.kind = EventKind::RunsReturnedLost;
    event.cause = "unknown-run";
    event.count = m_unknownRuns.size();
    event.notes.swap(m_unknownRuns);
    m_port.recordEvent(event);
}

} // namespace egrettrestle
