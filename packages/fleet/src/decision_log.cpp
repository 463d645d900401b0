#include <egrettrestle/fleet/decision_log.hpp>

#include <algorithm>
#include <map>
#include <variant>

namespace egrettrestle {

bool isOutcome(JobEvent::Kind kind)
{
    return kind == JobEvent::Kind::Answered || kind == JobEvent::Kind::Refused || kind == JobEvent::Kind::GaveUp || kind == JobEvent::Kind::CallerDisconnected;
}

const char* outcomeName(JobEvent::Kind kind)
{
    switch (kind) {
    case JobEvent::Kind::Refused:
        return "refused";
    case JobEvent::Kind::GaveUp:
    case JobEvent::Kind::CallerDisconnected:
        return "given-up";
    default:
        return "complete";
    }
}

std::string labelsToString(const UpstreamInfo& upstream)
{
    std::string text;
    for (const std::string& label : upstream.labels)
        text += (text.empty() ? "" : " ") + label;
    return text;
}

namespace {

    std::string runToString(const TaskRun& run)
    {
        if (run.task.job.empty())
            return {};
        return run.task.job + '.' + std::to_string(run.task.step) + '.' + std::to_string(run.task.index) + '#' + std::to_string(run.number);
    }

    /// Lists runs, each with its route and the number of earlier crashes under its task, separated by spaces.
    std::string runsToString(const std::vector<LostRun>& runs)
    {
        std::string text;
        for (const LostRun& lost : runs)
            text += (text.empty() ? "" : " ") + runToString(lost.run) + '/' + lost.route + '/' + std::to_string(lost.crashes);
        return text;
    }

    // More runs than this are counted in a line, but not listed.
    constexpr std::size_t maxListedRuns = 40;

    std::string noteToString(const RunNote& note)
    {
        std::string text = runToString(note.run) + '/' + note.vm + '/' + note.upstream + '/' + note.basis + '/';
        const char* separator = "";
        for (const auto& age : note.ages) {
            text += separator + std::string(age.first) + '=' + std::to_string(age.second.count());
            separator = ",";
        }
        return text;
    }

    std::string resendToString(const ResentRun& resend)
    {
        RunNote earlier = resend.earlier;
        if (resend.statedBy != earlier.vm)
            earlier.basis += ':' + resend.statedBy;
        return noteToString(earlier) + '>' + std::to_string(resend.run) + '@' + resend.owner;
    }

    /// Lists entries, separated by spaces, and says how many more there are.
    template <typename Entry>
    std::string listToString(const std::vector<Entry>& entries, std::string (*toString)(const Entry&))
    {
        std::string text;
        for (std::size_t index = 0; index < std::min(entries.size(), maxListedRuns); ++index)
            text += (index == 0 ? "" : " ") + toString(entries[index]);
        if (entries.size() > maxListedRuns)
            text += " +" + std::to_string(entries.size() - maxListedRuns);
        return text;
    }

    /// A time that may not be known.
    std::variant<std::string, std::int64_t, double> optionalTime(const std::optional<Milliseconds>& time)
    {
        if (!time)
            return "unknown";
        return time->count();
    }

    const Event& eventOf(OwnerEvent::Kind kind)
    {
        static const std::map<OwnerEvent::Kind, const Event*> events {
            { OwnerEvent::Kind::Owned, &events::upstreamOwned },
            { OwnerEvent::Kind::Released, &events::upstreamReleased },
            { OwnerEvent::Kind::Paused, &events::upstreamPaused },
            { OwnerEvent::Kind::Resumed, &events::upstreamResumed },
            { OwnerEvent::Kind::Fenced, &events::upstreamFenced },
            { OwnerEvent::Kind::Restarted, &events::upstreamRestarted },
            { OwnerEvent::Kind::Unreachable, &events::upstreamUnreachable },
            { OwnerEvent::Kind::Reachable, &events::upstreamReachable },
            { OwnerEvent::Kind::RunsLost, &events::runsLost },
            { OwnerEvent::Kind::StartUnanswered, &events::startUnanswered },
            { OwnerEvent::Kind::RunStopped, &events::runStopped },
            { OwnerEvent::Kind::RequestExpired, &events::requestExpired },
            { OwnerEvent::Kind::ClaimHandled, &events::claimHandled },
            { OwnerEvent::Kind::WaitsEnded, &events::waitsEnded },
            { OwnerEvent::Kind::RunsPastEnd, &events::runsPastEnd },
            { OwnerEvent::Kind::RunsUnclaimed, &events::runsUnclaimed },
            { OwnerEvent::Kind::RunsReturnedLost, &events::runsReturnedLost },
            { OwnerEvent::Kind::DescriptionOutdated, &events::descriptionOutdated },
            { OwnerEvent::Kind::DescriptionCurrent, &events::descriptionCurrent },
        };
        return *events.at(kind);
    }

    const Event& eventOf(JobEvent::Kind kind)
    {
        static const std::map<JobEvent::Kind, const Event*> events {
            { JobEvent::Kind::Answered, &events::jobAnswered },
            { JobEvent::Kind::Refused, &events::jobRefused },
            { JobEvent::Kind::GaveUp, &events::jobGivenUp },
            { JobEvent::Kind::Resent, &events::runsSentAgain },
            { JobEvent::Kind::CallerDisconnected, &events::jobGivenUp },
            { JobEvent::Kind::ClaimSent, &events::runClaimed },
            { JobEvent::Kind::RunsWithdrawn, &events::runsWithdrawn },
            { JobEvent::Kind::RunsOutlived, &events::runsOutlived },
        };
        return *events.at(kind);
    }

    const Event& eventOf(EvacuationEvent::Kind kind)
    {
        static const std::map<EvacuationEvent::Kind, const Event*> events {
            { EvacuationEvent::Kind::Begun, &events::evacuationBegun },
            { EvacuationEvent::Kind::Ended, &events::evacuationEnded },
            { EvacuationEvent::Kind::Empty, &events::dataCentreEmpty },
        };
        return *events.at(kind);
    }

    void writeRefusal(EventLog& log, const JobEvent& event)
    {
        log.write(eventOf(event.kind), { { "request", event.job }, { "route", event.route }, { "reason", event.reason }, { "expectedMs", event.expectedRunTime.count() }, { "expectedWaitMs", event.expectedWait.count() }, { "free", event.capacity.freeTasks }, { "total", event.capacity.totalTasks }, { "ahead", event.capacity.tasksAhead }, { "tasks", static_cast<std::int64_t>(event.tasks) } });
    }

    void writeResends(EventLog& log, const JobEvent& event)
    {
        log.write(eventOf(event.kind), { { "request", event.job }, { "route", event.route }, { "ageMs", event.age.count() }, { "delayMs", event.reportDelay.count() }, { "epoch", static_cast<std::int64_t>(event.epoch.value) }, { "count", static_cast<std::int64_t>(event.resends.size()) }, { "runs", listToString(event.resends, resendToString) } });
    }

    void writeWithdrawnRuns(EventLog& log, const JobEvent& event)
    {
        log.write(eventOf(event.kind), { { "request", event.job }, { "route", event.route }, { "reason", event.reason }, { "ageMs", event.age.count() }, { "endInMs", event.endIn.count() }, { "uncheckedMs", event.callersUncheckedFor.value_or(Milliseconds { 0 }).count() }, { "epoch", static_cast<std::int64_t>(event.epoch.value) }, { "count", static_cast<std::int64_t>(event.withdrawnRuns) }, { "runs", listToString(event.runs, noteToString) } });
    }

    void writeOutlivedRun(EventLog& log, const JobEvent& event)
    {
        log.write(eventOf(event.kind), { { "request", event.job }, { "route", event.route }, { "reason", event.reason }, { "ageMs", event.age.count() }, { "sinceEndMs", event.sinceEnd.count() }, { "lateMs", event.late.count() }, { "count", static_cast<std::int64_t>(event.withdrawnRuns) }, { "runs", listToString(event.runs, noteToString) } });
    }

    void writeJob(EventLog& log, const JobEvent& event)
    {
        log.write(eventOf(event.kind), { { "request", event.job }, { "route", event.route }, { "outcome", outcomeName(event.kind) }, { "reason", event.reason }, { "ageMs", event.age.count() }, { "tasks", static_cast<std::int64_t>(event.tasks) }, { "resent", static_cast<std::int64_t>(event.resentTasks) } });
    }

    using JobEventWriter = void (*)(EventLog&, const JobEvent&);

    JobEventWriter writerOf(JobEvent::Kind kind)
    {
        static const std::map<JobEvent::Kind, JobEventWriter> writers {
            { JobEvent::Kind::Refused, writeRefusal },
            { JobEvent::Kind::Resent, writeResends },
            { JobEvent::Kind::RunsWithdrawn, writeWithdrawnRuns },
            { JobEvent::Kind::RunsOutlived, writeOutlivedRun },
        };
        const auto found = writers.find(kind);
        return found == writers.end() ? writeJob : found->second;
    }

}

void writeEvent(EventLog& log, const OwnerEvent& event)
{
    const std::string runs = event.notes.empty() ? runsToString(event.runs) : listToString(event.notes, noteToString);
    if (event.evidence) {
        const UpstreamEvidence& evidence = *event.evidence;
        log.write(eventOf(event.kind), { { "request", event.run.task.job }, { "run", runToString(event.run) }, { "upstream", event.upstream }, { "cause", event.cause }, { "ageMs", event.age.count() }, { "count", static_cast<std::int64_t>(event.count) }, { "token", static_cast<std::int64_t>(evidence.token.value) }, { "startedAt", evidence.startedAt.count() }, { "synced", evidence.synced ? "yes" : "no" }, { "pollMs", evidence.pollAge.count() }, { "clockMs", optionalTime(evidence.clockAge) }, { "leaseExpiredMs", evidence.leaseExpiredFor.count() }, { "runs", runs } });
        return;
    }
    if (event.description) {
        const DescriptionEvidence& evidence = *event.description;
        const UpstreamInfo& info = evidence.description;
        log.write(eventOf(event.kind), { { "upstream", event.upstream }, { "cause", event.cause }, { "ageMs", event.age.count() }, { "count", static_cast<std::int64_t>(event.count) }, { "startedAt", evidence.startedAt.count() }, { "describedStart", info.startedAt.count() }, { "describedMs", evidence.age.count() }, { "service", info.service }, { "labels", labelsToString(info) }, { "milliCores", info.capacity.milliCores }, { "state", info.draining ? "draining" : "ready" }, { "runs", runs } });
        return;
    }
    log.write(eventOf(event.kind), { { "request", event.run.task.job }, { "run", runToString(event.run) }, { "upstream", event.upstream }, { "cause", event.cause }, { "ageMs", event.age.count() }, { "count", static_cast<std::int64_t>(event.count) }, { "runs", runs } });
}

void writeEvent(EventLog& log, const JobEvent& event)
{
    writerOf(event.kind)(log, event);
}

void writeEvent(EventLog& log, const EvacuationEvent& event)
{
    log.write(eventOf(event.kind), { { "dataCentre", event.dataCentre }, { "revision", static_cast<std::int64_t>(event.revision) }, { "source", event.source == EvacuationSource::Store ? "store" : "peer" }, { "upstreams", static_cast<std::int64_t>(event.upstreams) }, { "owned", static_cast<std::int64_t>(event.ownUpstreams) }, { "runs", static_cast<std::int64_t>(event.ownRuns) } });
}

} // namespace egrettrestle
