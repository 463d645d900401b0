#pragma once

#include <cstddef>
#include <list>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// A run that waits at an owner for capacity.
struct QueuedRun {
    VmId executor;
    RunRequest request;
    /// When it was queued.
    TimePoint since;
};

/// The runs that wait at one owner, in the order in which they are offered capacity. A pass over the queue consists of
/// beginPass() and calls of next() until it returns null; removeOffered() removes the run that was offered last. Nothing
/// else may change the queue during a pass. Not thread-safe.
class RunQueue {
public:
    using Runs = std::list<QueuedRun>;

    /// Adds a run behind those of the same precedence.
    void add(QueuedRun run);

    /// Removes the run of an executor; false if it is not queued.
    bool remove(const VmId& executor, const TaskRun& run);

    /// Removes all runs of an executor and returns them in order.
    std::vector<TaskRun> removeRunsOf(const VmId& executor);

    /// Removes the runs whose latest start has passed and returns them in order.
    std::vector<QueuedRun> removeExpired(TimePoint now);

    /// Begins a pass over the queue.
    void beginPass();

    /// The next run to be offered capacity; null at the end of the pass.
    const QueuedRun* next();

    /// Removes the run that next() returned last.
    void removeOffered();

    Runs::const_iterator begin() const { return m_runs.begin(); }
    Runs::const_iterator end() const { return m_runs.end(); }
    bool empty() const { return m_runs.empty(); }
    std::size_t size() const { return m_runs.size(); }

private:
    /// A list, since entries are large and move within the queue.
    Runs m_runs;
    Runs::iterator m_offered = m_runs.end();
    Runs::iterator m_next = m_runs.end();
};

} // namespace egrettrestle
