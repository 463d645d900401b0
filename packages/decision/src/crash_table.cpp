#include <egrettrestle/decision/crash_table.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    // Longer than any caller goes on submitting a job again.
    constexpr Seconds retention { 60 };
    // Suspicions that were on their way when the crash was refuted arrive within this time.
    constexpr Seconds lateReportTime { 1 };
    // A fleet in which this many upstreams crash within the retention time forgets the oldest crashes.
    constexpr std::size_t maxEntries = 4'096;

}

bool isConclusive(const CrashCount& crashes)
{
    return crashes.total >= 3 || (crashes.total >= 2 && crashes.alone > 0);
}

bool needsUpstreamAlone(const CrashCount& crashes)
{
    return crashes.total >= 2;
}

void CrashTable::record(const UpstreamCrash& crash, TimePoint now)
{
    const bool isKnown = m_crashes.count(crash.incarnation) > 0;
    Entry& entry = m_crashes[crash.incarnation];
    const bool wasRefuted = entry.evidence == CrashEvidence::Refuted;
    const bool isLate = wasRefuted && crash.evidence == CrashEvidence::Suspected && now - entry.refutedAt < lateReportTime;
    const bool isOverruled = entry.evidence == CrashEvidence::Confirmed && crash.evidence == CrashEvidence::Refuted;
    if (isLate || isOverruled)
        return;
    const bool isNew = !isKnown || wasRefuted;
    if (!entry.exposuresRecorded && !crash.exposures.empty()) {
        entry.exposuresRecorded = true;
        m_detector.record(crash.exposures);
    }
    if (!isKnown)
        m_order.emplace_back(now, crash.incarnation);
    if (crash.evidence == CrashEvidence::Refuted) {
        remove(crash.incarnation);
        Entry& refuted = m_crashes[crash.incarnation];
        refuted.evidence = CrashEvidence::Refuted;
        refuted.refutedAt = now;
        return;
    }
    if (wasRefuted || crash.evidence == CrashEvidence::Confirmed)
        entry.evidence = crash.evidence;
    for (const TaskRef& task : crash.suspects) {
        std::vector<UpstreamIncarnation>& incarnations = m_crashesByTask[task];
        if (std::find(incarnations.begin(), incarnations.end(), crash.incarnation) != incarnations.end())
            continue;
        incarnations.push_back(crash.incarnation);
        entry.suspects.push_back(task);
    }
    // A later owner may not know all runs that were there.
    entry.alone = entry.suspects.size() == 1 && (isNew ? crash.alone : entry.alone);
    if (m_crashes.size() > maxEntries) {
        remove(m_order.front().second);
        m_order.pop_front();
    }
}

void CrashTable::remove(const UpstreamIncarnation& incarnation)
{
    const auto found = m_crashes.find(incarnation);
    if (found == m_crashes.end())
        return;
    for (const TaskRef& task : found->second.suspects) {
        std::vector<UpstreamIncarnation>& incarnations = m_crashesByTask[task];
        incarnations.erase(std::remove(incarnations.begin(), incarnations.end(), incarnation), incarnations.end());
        if (incarnations.empty())
            m_crashesByTask.erase(task);
    }
    m_crashes.erase(found);
}

TaskCrashes CrashTable::sum(const std::vector<UpstreamIncarnation>& incarnations) const
{
    TaskCrashes crashes;
    const auto add = [](CrashCount& count, const Entry& entry) {
        ++count.total;
        count.alone += entry.alone ? 1 : 0;
    };
    for (const UpstreamIncarnation& incarnation : incarnations) {
        const Entry& entry = m_crashes.at(incarnation);
        add(crashes.possible, entry);
        if (entry.evidence == CrashEvidence::Confirmed)
            add(crashes.confirmed, entry);
    }
    return crashes;
}

TaskCrashes CrashTable::allCrashesOf(const TaskRef& task) const
{
    const auto found = m_crashesByTask.find(task);
    return found == m_crashesByTask.end() ? TaskCrashes {} : sum(found->second);
}

bool CrashTable::isExplainedByAnother(const Entry& entry, const TaskRef& task) const
{
    return std::any_of(entry.suspects.begin(), entry.suspects.end(), [this, &task](const TaskRef& other) { return !(other == task) && isConclusive(allCrashesOf(other).possible); });
}

TaskCrashes CrashTable::crashesOf(const TaskRef& task) const
{
    const auto found = m_crashesByTask.find(task);
    if (found == m_crashesByTask.end())
        return {};
    const TaskCrashes all = sum(found->second);
    if (isConclusive(all.possible) && all.possible.alone > 1)
        return all;
    std::vector<UpstreamIncarnation> unexplained;
    for (const UpstreamIncarnation& incarnation : found->second) {
        if (!isExplainedByAnother(m_crashes.at(incarnation), task))
            unexplained.push_back(incarnation);
    }
    return sum(unexplained);
}

TaskCrashes CrashTable::mostCrashesOf(const std::string& job) const
{
    TaskCrashes most;
    for (auto entry = m_crashesByTask.lower_bound(TaskRef { job, 0, 0 }); entry != m_crashesByTask.end() && entry->first.job == job; ++entry) {
        const TaskCrashes crashes = crashesOf(entry->first);
        const bool conclusive = isConclusive(crashes.confirmed);
        if (conclusive != isConclusive(most.confirmed) ? conclusive : crashes.possible.total > most.possible.total)
            most = crashes;
    }
    return most;
}

bool CrashTable::isSuspected(const UpstreamIncarnation& incarnation) const
{
    const auto found = m_crashes.find(incarnation);
    return found != m_crashes.end() && found->second.evidence == CrashEvidence::Suspected;
}

std::vector<TaskRef> CrashTable::suspectsOf(const UpstreamIncarnation& incarnation) const
{
    const auto found = m_crashes.find(incarnation);
    return found == m_crashes.end() ? std::vector<TaskRef> {} : found->second.suspects;
}

std::vector<UpstreamCrash> CrashTable::reportsFor(const TaskRef& task) const
{
    std::vector<UpstreamCrash> crashes;
    const auto found = m_crashesByTask.find(task);
    if (found == m_crashesByTask.end())
        return crashes;
    for (const UpstreamIncarnation& incarnation : found->second)
        crashes.push_back({ incarnation, m_crashes.at(incarnation).evidence, { task }, m_crashes.at(incarnation).alone });
    return crashes;
}

std::vector<UpstreamCrash> CrashTable::reportsOfRepeatedCrashes() const
{
    std::vector<UpstreamCrash> reports;
    for (const auto& entry : m_crashesByTask) {
        if (!needsUpstreamAlone(crashesOf(entry.first).possible))
            continue;
        const std::vector<UpstreamCrash> reportsOfTask = reportsFor(entry.first);
        reports.insert(reports.end(), reportsOfTask.begin(), reportsOfTask.end());
    }
    return reports;
}

void CrashTable::expire(TimePoint now)
{
    m_detector.decay(now);
    while (!m_order.empty() && now - m_order.front().first > retention) {
        remove(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace egrettrestle
