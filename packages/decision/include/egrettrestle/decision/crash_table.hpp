#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/route_crash_detector.hpp>

namespace egrettrestle {

/// Crashes of the upstreams that started a task. A crash is confirmed by a new incarnation of the upstream; until then it
/// is also possible that the upstream is cut off.
struct TaskCrashes {
    CrashCount confirmed;
    /// Confirmed crashes and those that are still possible.
    CrashCount possible;
};

/// Whether crashes prove that a task causes them: others may have caused those at which it was not alone, but hardly three.
bool isConclusive(const CrashCount& crashes);

/// Whether the next run of a task has to be the only one on its upstream, so that a crash is conclusive.
bool needsUpstreamAlone(const CrashCount& crashes);

/// The upstreams that have crashed under each task, as reported by their owners: the delivery count of a poison message.
/// Every VM keeps a copy, so that a task's count survives the loss of its executor and a submission to another VM. A crash
/// counts once, however many VMs report it. Bounded in size and time. Not thread-safe.
class CrashTable {
public:
    /// Stores a report. A refuted crash counts for no task, but the same incarnation may crash later. A confirmed crash is
    /// never refuted, since another incarnation has taken its place.
    void record(const UpstreamCrash& crash, TimePoint now);

    /// The crashes that a task may have caused. Those that another task explains, whose crashes are conclusive, do not count.
    TaskCrashes crashesOf(const TaskRef& task) const;

    /// Whether a crash of the incarnation is suspected, and neither confirmed nor refuted.
    bool isSuspected(const UpstreamIncarnation& incarnation) const;

    /// The tasks for which an incarnation's crash counts.
    std::vector<TaskRef> suspectsOf(const UpstreamIncarnation& incarnation) const;

    /// The crashes of the job's task with most of them.
    TaskCrashes mostCrashesOf(const std::string& job) const;

    /// The reports that count for a task, each with this task as its only suspect.
    std::vector<UpstreamCrash> reportsFor(const TaskRef& task) const;

    /// The reports that count for tasks under which several upstreams may have crashed. A VM that lacks them would start
    /// these tasks anew.
    std::vector<UpstreamCrash> reportsOfRepeatedCrashes() const;

    /// Whether the tasks of a route crash upstreams at present.
    bool isCrashing(const std::string& route) const { return m_detector.isCrashing(route); }

    /// Removes reports that are older than the retention time, and lets the evidence against routes fade.
    void expire(TimePoint now);

    std::size_t size() const { return m_crashes.size(); }

private:
    struct Entry {
        CrashEvidence evidence = CrashEvidence::Suspected;
        std::vector<TaskRef> suspects;
        bool alone = false;
        bool exposuresRecorded = false;
        TimePoint refutedAt {};
    };

    /// The crashes of all upstreams on which a task was, whatever else was there.
    TaskCrashes allCrashesOf(const TaskRef& task) const;
    TaskCrashes sum(const std::vector<UpstreamIncarnation>& incarnations) const;
    /// Whether another suspect of a crash has conclusive crashes.
    bool isExplainedByAnother(const Entry& entry, const TaskRef& task) const;
    void remove(const UpstreamIncarnation& incarnation);

    std::map<UpstreamIncarnation, Entry> m_crashes;
    /// Incarnations with an unrefuted crash, by suspect.
    std::map<TaskRef, std::vector<UpstreamIncarnation>> m_crashesByTask;
    RouteCrashDetector m_detector;
    /// When each entry of `m_crashes` was made, oldest first.
    std::deque<std::pair<TimePoint, UpstreamIncarnation>> m_order;
};

} // namespace egrettrestle
