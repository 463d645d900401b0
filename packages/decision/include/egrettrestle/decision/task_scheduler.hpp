#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/decision/upstream_health.hpp>

namespace egrettrestle {

/// Identifies a task within one process of the daemon.
using TaskNumber = StrongNumber<struct TaskNumberTag>;

/// Identifies a job within one process of the daemon.
using JobNumber = StrongNumber<struct JobNumberTag>;

/// A task that is waiting for a slot.
struct QueuedTask {
    TaskNumber task;
    JobNumber job;
    std::string service;
    std::string kind;
    /// The rank of its urgency class; lower ranks are served first.
    int rank = 0;
    TimePoint queuedAt;
    TimePoint deadline;
    /// Expected run time. A task with less time than this to its deadline is not started, because it could not finish.
    Duration expectedRun {};
    /// Upstreams that have refused the task.
    std::vector<UpstreamId> avoid;
};

/// An upstream and the part of its slots that this VM may use.
struct UpstreamShare {
    UpstreamId id;
    std::string service;
    std::string address;
    /// The number of slots that are assigned to this VM.
    std::size_t slots = 0;
    /// The upstream is shutting down and gets no new tasks.
    bool draining = false;
};

/// Scheduling parameters of one urgency class, as in the manifest.
struct UrgencyClassRule {
    int rank = 0;
    double reservedShare = 0;
    Duration ageAfter {};
};

/// A task and the upstream to send it to.
struct Assignment {
    QueuedTask task;
    UpstreamId upstream;
    std::string address;
};

/// The scheduler's state of one service, for admission control and metrics.
struct ServiceLoad {
    /// Slots that can be used now.
    std::size_t slots = 0;
    /// Slots in use.
    std::size_t busy = 0;
    /// Tasks that are waiting.
    std::size_t queued = 0;
    /// Upstreams that are ejected or being probed.
    std::size_t ejectedUpstreams = 0;
};

/// Queues tasks by urgency class and assigns them to upstreams: in strict order of ranks, with slots reserved for the
/// urgent ranks and ageing for the others. Does no I/O; not thread-safe. Calls are linear in the upstreams of a service.
class TaskScheduler {
public:
    explicit TaskScheduler(HealthPolicy policy = {});

    /// @name configuration
    /// @{
    /// Replaces the urgency classes.
    void setUrgencyClasses(std::vector<UrgencyClassRule> classes);
    /// Replaces the list of upstreams. Tasks running at an upstream that is no longer listed keep their slot until they end.
    void setUpstreams(const std::vector<UpstreamShare>& upstreams);
    /// @}
    /// @name queue
    /// @{
    /// Adds a task to the queue of its rank, in the order of `queuedAt`.
    void enqueue(QueuedTask task);
    /// Removes a job's waiting tasks from the queues and returns their numbers.
    std::vector<TaskNumber> removeJob(JobNumber job);
    /// Removes the next task to start from its queue and takes a slot for it; returns nothing if no task can start. A task
    /// that can no longer meet its deadline is returned with an empty upstream and no slot, and must not be started.
    std::optional<Assignment> nextAssignment(TimePoint now);
    /// Frees the slot that an assignment took.
    void releaseSlot(const UpstreamId& upstream, int rank);
    /// Assigns no tasks to an upstream until a point in time. For an upstream that has reported that it has no free slot,
    /// since trying again at once would only cost messages.
    void pauseUpstream(const UpstreamId& upstream, TimePoint until);
    /// @}
    /// @name observers
    /// @{
    /// The current state of a service; all zero for one without upstreams and tasks.
    ServiceLoad load(const std::string& service, TimePoint now) const;
    /// The number of waiting tasks of all services.
    std::size_t queuedTasks() const;
    /// How long the last of a job's `tasks` of a rank would wait for a slot if they were queued now. Based on the measured
    /// run times of the tasks ahead, and on `runTime` for the job's own tasks and for kinds without measurements.
    Duration expectedWait(const std::string& service, int rank, std::size_t tasks, Duration runTime, TimePoint now) const;
    UpstreamHealth& health() { return m_health; }
    const UpstreamHealth& health() const { return m_health; }
    /// @}

private:
    /// A listed upstream, or one that is no longer listed but still runs tasks.
    struct Upstream {
        UpstreamShare share;
        const UpstreamHealthRecord* health = nullptr;
        std::size_t busy = 0;
        TimePoint pausedUntil {};
        bool listed = true;
    };

    /// Queues and upstreams of one service; queues are ordered by rank.
    struct Pool {
        std::map<int, std::deque<QueuedTask>> queues;
        std::map<int, std::size_t> busyByRank;
        std::vector<Upstream*> upstreams;
    };

    std::deque<QueuedTask>* nextQueue(Pool& pool, TimePoint now);
    bool canTakeSlot(const Pool& pool, int rank, std::size_t slots) const;
    std::size_t usableSlots(const Pool& pool, TimePoint now) const;
    Upstream* chooseUpstream(const Pool& pool, const QueuedTask& task, TimePoint now) const;
    std::size_t availableSlots(const Upstream& upstream, bool belowMinimum, TimePoint now) const;
    bool belowMinAvailable(const Pool& pool, TimePoint now) const;
    const UrgencyClassRule* rule(int rank) const;

    UpstreamHealth m_health;
    std::vector<UrgencyClassRule> m_classes;
    std::map<UpstreamId, Upstream> m_upstreams;
    std::map<std::string, Pool> m_pools;
};

} // namespace egrettrestle
