#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/placement_wait.hpp>

namespace egrettrestle {

/// A run that waits at an owner for capacity.
struct QueuedRun {
    VmId executor;
    RunRequest request;
    /// When it was queued.
    TimePoint since;
    /// Whether it can no longer end by RunRequest::dueBy. Kept by RunQueue.
    bool late = false;
    /// The last pass in which it was offered capacity as a run of a route below its guaranteed share. Kept by RunQueue.
    std::uint64_t offeredInPass = 0;
    /// The run's wait for a better place than those that are free.
    PlacementWaitState wait = {};
};

/// The processor capacity of an owner's upstreams of one service, and its use, in thousandths of a core.
struct ServiceCores {
    std::int64_t total = 0;
    std::map<std::string, std::int64_t> usedByRoute;
};

/// By service.
using CoreUsage = std::map<std::string, ServiceCores>;

/// The runs that wait at one owner. They are offered capacity in this order:
///
/// 1. Runs of priority 0.
/// 2. Runs of routes that use less than their guaranteed share of the service's cores, by priority.
/// 3. All others, by priority.
///
/// Within a priority, runs that can still end by their `dueBy` go before those that cannot, the earliest `dueBy` first; the
/// latest start takes its place where it is not given. The guaranteed share is half of an equal share among the service's
/// routes with queued or running tasks. What a route does not use, others may borrow until their runs end.
///
/// A pass over the queue consists of beginPass() and calls of next() until it returns null; removeStarted() or
/// removeOffered() removes the run that was offered last. Nothing else may change the queue during a pass. Not thread-safe.
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

    /// Whether the order depends on the use of cores: several routes of one service wait with a priority other than 0.
    bool needsUsage() const;

    /// Begins a pass over the queue. `usage` is used only if needsUsage().
    void beginPass(CoreUsage usage, TimePoint now);

    /// The next run to be offered capacity; null at the end of the pass.
    QueuedRun* next();

    /// Removes the run that next() returned last, which has been started.
    void removeStarted();

    /// Removes the run that next() returned last, which will not be started.
    void removeOffered();

    /// The smallest processor capacity that any queued run needs; 0 for an empty queue.
    std::int64_t smallestNeed() const { return m_needs.empty() ? 0 : *m_needs.begin(); }

    /// Whether a queued run's executor has reported crashes that the task may have caused.
    bool hasSuspects() const { return m_suspects > 0; }

    Runs::const_iterator begin() const { return m_runs.begin(); }
    Runs::const_iterator end() const { return m_runs.end(); }
    bool empty() const { return m_runs.empty(); }
    std::size_t size() const { return m_runs.size(); }

private:
    enum class Phase {
        Urgent,
        BelowShare,
        Rest,
    };

    /// Inserts the only entry of a list in its place.
    void insert(Runs& entry);
    Runs::iterator erase(Runs::iterator entry);
    /// Moves the runs that have become late since the last call behind those that can be in time.
    void updateLateness(TimePoint now);
    /// Sets the guaranteed share of each service's routes.
    void updateShares();
    bool isBelowShare(const RunRequest& request) const;
    /// Whether next() leaves out an entry in the present phase.
    bool isSkipped(const QueuedRun& run) const;

    /// Ordered by priority, lateness and due time. A list, since entries are large and move within the queue.
    Runs m_runs;
    Runs::iterator m_offered = m_runs.end();
    Runs::iterator m_next = m_runs.end();
    /// The first entry with a priority other than 0, once next() has passed the others.
    Runs::iterator m_firstRoutine = m_runs.end();
    Phase m_phase = Phase::Urgent;
    std::uint64_t m_pass = 0;
    CoreUsage m_usage;
    std::map<std::string, std::int64_t> m_guaranteed;
    /// When the next run becomes late, or earlier.
    TimePoint m_nextLateAt = TimePoint::max();
    /// Number of queued runs by service and route.
    std::map<std::pair<std::string, std::string>, std::size_t> m_routes;
    /// Number of queued runs with a priority other than 0, by service and route.
    std::map<std::pair<std::string, std::string>, std::size_t> m_routineRoutes;
    std::multiset<std::int64_t> m_needs;
    std::size_t m_suspects = 0;
};

} // namespace egrettrestle
