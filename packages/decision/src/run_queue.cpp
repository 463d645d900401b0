#include <egrettrestle/decision/run_queue.hpp>

#include <algorithm>
#include <iterator>

namespace egrettrestle {

namespace {

    bool hasPrecedence(const RunRequest& left, const RunRequest& right)
    {
        return left.priority != right.priority ? left.priority < right.priority : left.latestStart < right.latestStart;
    }

}

void RunQueue::add(QueuedRun run)
{
    const auto place = std::upper_bound(m_runs.begin(), m_runs.end(), run, [](const QueuedRun& left, const QueuedRun& right) { return hasPrecedence(left.request, right.request); });
    m_runs.insert(place, std::move(run));
}

bool RunQueue::remove(const VmId& executor, const TaskRun& run)
{
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const QueuedRun& entry) { return entry.request.run == run && entry.executor == executor; });
    if (found == m_runs.end())
        return false;
    m_runs.erase(found);
    return true;
}

std::vector<TaskRun> RunQueue::removeRunsOf(const VmId& executor)
{
    std::vector<TaskRun> removed;
    for (auto entry = m_runs.begin(); entry != m_runs.end();) {
        if (entry->executor == executor) {
            removed.push_back(entry->request.run);
            entry = m_runs.erase(entry);
        } else {
            ++entry;
        }
    }
    return removed;
}

std::vector<QueuedRun> RunQueue::removeExpired(TimePoint now)
{
    std::vector<QueuedRun> expired;
    for (auto entry = m_runs.begin(); entry != m_runs.end();) {
        if (entry->request.latestStart < now) {
            expired.push_back(std::move(*entry));
            entry = m_runs.erase(entry);
        } else {
            ++entry;
        }
    }
    return expired;
}

void RunQueue::beginPass()
{
    m_next = m_runs.begin();
    m_offered = m_runs.end();
}

const QueuedRun* RunQueue::next()
{
    m_offered = m_next;
    if (m_offered == m_runs.end())
        return nullptr;
    ++m_next;
    return &*m_offered;
}

void RunQueue::removeOffered()
{
    m_runs.erase(m_offered);
    m_offered = m_runs.end();
}

} // namespace egrettrestle
