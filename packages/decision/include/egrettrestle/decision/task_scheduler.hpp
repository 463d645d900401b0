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

/// Names a task within one daemon.
using TaskNumber = StrongNumber<struct TaskNumberTag>;

/// Names a job within one daemon.
using JobNumber = StrongNumber<struct JobNumberTag>;

/// A task that waits for a slot.
struct QueuedTask {
    TaskNumber task;
    JobNumber job;
    std::string service;
    std::string kind;
    /// The rank of its urgency class; lower ranks go first.
    int rank = 0;
    TimePoint queuedAt;
    TimePoint deadline;
    /// How long it is expected to run. With less time left than that it is not started: it would only take a slot.
    Duration expectedRun {};
    /// Upstreams that refused it already.
    std::vector<UpstreamId> avoid;
};

/// An upstream as this VM may use it.
struct UpstreamShare {
    UpstreamId id;
    std::string service;
    std::string address;
    /// The slots that belong to this VM.
    std::size_t slots = 0;
    bool draining = false;
};

/// The rules for one urgency class.
struct UrgencyClassRule {
    int rank = 0;
    double reservedShare = 0;
    Duration ageAfter {};
};

/// A task and the upstream that is to run it.
struct Assignment {
    QueuedTask task;
    UpstreamId upstream;
    std::string address;
};

/// How the scheduler sees a service, for admission and metrics.
struct ServiceLoad {
    std::size_t slots = 0;
    std::size_t busy = 0;
    std::size_t queued = 0;
    std::size_t ejectedUpstreams = 0;
};

/// Queues tasks by urgency class and gives them to upstreams. Strict order of ranks, slots reserved for urgent ranks,
/// ageing for the others. Pure; calls must not overlap. Costs are linear in the upstreams of a service.
class TaskScheduler {
public:
    explicit TaskScheduler(HealthPolicy policy = {});

    /// @name configuration
    /// @{
    void setUrgencyClasses(std::vector<UrgencyClassRule> classes);
    /// Replaces the list of upstreams. Tasks that run at one that is gone keep their slot there until they end.
    void setUpstreams(const std::vector<UpstreamShare>& upstreams);
    /// @}
    /// @name queue
    /// @{
    void enqueue(QueuedTask task);
    /// Takes a job's waiting tasks out of the queues and names them.
    std::vector<TaskNumber> removeJob(JobNumber job);
    /// The next task to start now, or nothing. Expired tasks are given with an empty upstream: they must not start.
    std::optional<Assignment> nextAssignment(TimePoint now);
    /// Frees the slot that an assignment took.
    void releaseSlot(const UpstreamId& upstream, int rank);
    /// Gives an upstream nothing until a moment: it has said that it has no slot, so trying again at once costs messages.
    void pauseUpstream(const UpstreamId& upstream, TimePoint until);
    /// @}
    /// @name observers
    /// @{
    ServiceLoad load(const std::string& service, TimePoint now) const;
    std::size_t queuedTasks() const;
    /// How long a task of a rank would wait for a slot if it came now, by the learned run times of what is ahead.
    Duration expectedWait(const std::string& service, int rank, std::size_t tasks, Duration runTime, TimePoint now) const;
    UpstreamHealth& health() { return m_health; }
    const UpstreamHealth& health() const { return m_health; }
    /// @}

private:
    struct Upstream {
        UpstreamShare share;
        const UpstreamHealthRecord* health = nullptr;
        std::size_t busy = 0;
        TimePoint pausedUntil {};
        bool listed = true;
    };

    struct Pool {
        std::map<int, std::deque<QueuedTask>> queues;
        std::map<int, std::size_t> busyByRank;
        std::vector<Upstream*> upstreams;
    };

    std::deque<QueuedTask>* nextQueue(Pool& pool, TimePoint now);
    bool mayUseSlot(const Pool& pool, int rank, std::size_t slots) const;
    std::size_t usableSlots(const Pool& pool, TimePoint now) const;
    Upstream* chooseUpstream(const Pool& pool, const QueuedTask& task, TimePoint now) const;
    std::size_t slotsOpen(const Upstream& upstream, bool floorReached, TimePoint now) const;
    bool floorReached(const Pool& pool, TimePoint now) const;
    const UrgencyClassRule* rule(int rank) const;

    UpstreamHealth m_health;
    std::vector<UrgencyClassRule> m_classes;
    std::map<UpstreamId, Upstream> m_upstreams;
    std::map<std::string, Pool> m_pools;
};

} // namespace egrettrestle
