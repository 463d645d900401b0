#pragma once

#include <deque>
#include <iterator>
#include <map>
#include <utility>

#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// Remembers, for a time, records of runs that an owner no longer holds. `Record` has the members `run` and `upstream`. Two
/// executors may number the runs of one task alike, because a job that is submitted again to another VM begins at 1 there; so
/// a run is identified by its executor or its upstream as well.
template <typename Record>
class RecentRuns {
public:
    explicit RecentRuns(Milliseconds retention)
        : m_retention(retention)
    {
    }

    /// Adds a record. `executor` is empty if it is not known.
    void add(const VmId& executor, const Record& record, TimePoint now)
    {
        m_entries.insert({ record.run, { executor, record, now } });
        m_times.emplace_back(now, record.run);
    }

    /// Removes the records of an executor's run.
    void remove(const VmId& executor, const TaskRun& run)
    {
        removeIf(run, [&executor](const Entry& entry) { return entry.executor == executor; });
    }

    /// Removes the records of the runs at an upstream, whose next process accepts their numbers again.
    void removeAt(const UpstreamId& upstream)
    {
        for (auto entry = m_entries.begin(); entry != m_entries.end();)
            entry = entry->second.record.upstream == upstream ? m_entries.erase(entry) : std::next(entry);
    }

    /// The record of an executor's run; null if there is none.
    const Record* find(const VmId& executor, const TaskRun& run) const
    {
        return findIf(run, [&executor](const Entry& entry) { return entry.executor == executor; });
    }

    /// The record of the run at an upstream, whoever its executor is; null if there is none. An upstream starts each number
    /// of a task once.
    const Record* findAt(const UpstreamId& upstream, const TaskRun& run) const
    {
        return findIf(run, [&upstream](const Entry& entry) { return entry.record.upstream == upstream; });
    }

    /// Removes the records that are older than the retention time.
    void expire(TimePoint now)
    {
        const auto isOld = [this, now](TimePoint at) { return now - at > m_retention; };
        while (!m_times.empty() && isOld(m_times.front().first)) {
            removeIf(m_times.front().second, [&isOld](const Entry& entry) { return isOld(entry.at); });
            m_times.pop_front();
        }
    }

private:
    struct Entry {
        VmId executor;
        Record record;
        TimePoint at;
    };

    template <typename Predicate>
    const Record* findIf(const TaskRun& run, Predicate matches) const
    {
        const auto range = m_entries.equal_range(run);
        for (auto entry = range.first; entry != range.second; ++entry) {
            if (matches(entry->second))
                return &entry->second.record;
        }
        return nullptr;
    }

    template <typename Predicate>
    void removeIf(const TaskRun& run, Predicate matches)
    {
        const auto range = m_entries.equal_range(run);
        for (auto entry = range.first; entry != range.second;)
            entry = matches(entry->second) ? m_entries.erase(entry) : std::next(entry);
    }

    Milliseconds m_retention;
    std::multimap<TaskRun, Entry> m_entries;
    /// When each record was added, oldest first.
    std::deque<std::pair<TimePoint, TaskRun>> m_times;
};

} // namespace egrettrestle
