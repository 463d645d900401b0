#include <egrettrestle/decision/task_scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace egrettrestle {

namespace {

    bool contains(const std::vector<UpstreamId>& ids, const UpstreamId& id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

}

TaskScheduler::TaskScheduler(HealthPolicy policy)
    : m_health(policy)
{
}

void TaskScheduler::setUrgencyClasses(std::vector<UrgencyClassRule> classes)
{
    std::sort(classes.begin(), classes.end(), [](const UrgencyClassRule& left, const UrgencyClassRule& right) { return left.rank < right.rank; });
    m_classes = std::move(classes);
}

void TaskScheduler::setUpstreams(const std::vector<UpstreamShare>& upstreams)
{
    for (auto& entry : m_upstreams)
        entry.second.listed = false;
    for (const UpstreamShare& share : upstreams) {
        Upstream& upstream = m_upstreams[share.id];
        upstream.share = share;
        upstream.health = &m_health.record(share.id);
        upstream.listed = true;
    }
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const bool unused = !entry->second.listed && entry->second.busy == 0;
        if (unused)
            m_health.remove(entry->first);
        entry = unused ? m_upstreams.erase(entry) : std::next(entry);
    }
    for (auto& entry : m_pools)
        entry.second.upstreams.clear();
    for (auto& entry : m_upstreams) {
        if (entry.second.listed)
            m_pools[entry.second.share.service].upstreams.push_back(&entry.second);
    }
}

void TaskScheduler::enqueue(QueuedTask task)
{
    Pool& pool = m_pools[task.service];
    std::deque<QueuedTask>& queue = pool.queues[task.rank];
    // A task that is queued again after a refusal keeps its position by age.
    const auto position = std::upper_bound(queue.begin(), queue.end(), task, [](const QueuedTask& left, const QueuedTask& right) { return left.queuedAt < right.queuedAt; });
    queue.insert(position, std::move(task));
}

std::vector<TaskNumber> TaskScheduler::removeJob(JobNumber job)
{
    std::vector<TaskNumber> removed;
    for (auto& pool : m_pools) {
        for (auto& entry : pool.second.queues) {
            std::deque<QueuedTask>& queue = entry.second;
            for (const QueuedTask& task : queue) {
                if (task.job == job)
                    removed.push_back(task.task);
            }
            queue.erase(std::remove_if(queue.begin(), queue.end(), [job](const QueuedTask& task) { return task.job == job; }), queue.end());
        }
    }
    return removed;
}

std::optional<Assignment> TaskScheduler::nextAssignment(TimePoint now)
{
    for (auto& entry : m_pools) {
        Pool& pool = entry.second;
        for (auto& queue : pool.queues) {
            if (queue.second.empty() || queue.second.front().deadline - queue.second.front().expectedRun > now)
                continue;
            Assignment expired { std::move(queue.second.front()), {}, {} };
            queue.second.pop_front();
            return expired;
        }
        std::deque<QueuedTask>* queue = nextQueue(pool, now);
        if (!queue)
            continue;
        Upstream* upstream = chooseUpstream(pool, queue->front(), now);
        if (!upstream)
            continue;
        Assignment assignment { std::move(queue->front()), upstream->share.id, upstream->share.address };
        queue->pop_front();
        ++upstream->busy;
        ++pool.busyByRank[assignment.task.rank];
        return assignment;
    }
    return std::nullopt;
}

void TaskScheduler::releaseSlot(const UpstreamId& id, int rank)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    Upstream& upstream = found->second;
    Pool& pool = m_pools[upstream.share.service];
    --upstream.busy;
    --pool.busyByRank[rank];
    if (!upstream.listed && upstream.busy == 0) {
        m_health.remove(id);
        m_upstreams.erase(found);
    }
}

void TaskScheduler::pauseUpstream(const UpstreamId& id, TimePoint until)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end())
        found->second.pausedUntil = until;
}

const UrgencyClassRule* TaskScheduler::rule(int rank) const
{
    for (const UrgencyClassRule& candidate : m_classes) {
        if (candidate.rank == rank)
            return &candidate;
    }
    return nullptr;
}

std::deque<QueuedTask>* TaskScheduler::nextQueue(Pool& pool, TimePoint now)
{
    const std::size_t slots = usableSlots(pool, now);
    std::deque<QueuedTask>* firstQueue = nullptr;
    std::deque<QueuedTask>* agedQueue = nullptr;
    for (auto& entry : pool.queues) {
        if (entry.second.empty() || !canTakeSlot(pool, entry.first, slots))
            continue;
        if (!firstQueue)
            firstQueue = &entry.second;
        const UrgencyClassRule* classRule = rule(entry.first);
        const QueuedTask& head = entry.second.front();
        const bool isAged = classRule && classRule->ageAfter > Duration::zero() && now - head.queuedAt >= classRule->ageAfter;
        if (isAged && (!agedQueue || head.queuedAt < agedQueue->front().queuedAt))
            agedQueue = &entry.second;
    }
    const bool agedIsFirst = firstQueue && agedQueue && agedQueue->front().queuedAt < firstQueue->front().queuedAt;
    return agedIsFirst ? agedQueue : firstQueue;
}

bool TaskScheduler::canTakeSlot(const Pool& pool, int rank, std::size_t slots) const
{
    // The slots reserved for more urgent classes may be used neither by this rank nor by less urgent ones.
    double reserved = 0;
    for (const UrgencyClassRule& classRule : m_classes) {
        if (classRule.rank < rank)
            reserved += classRule.reservedShare;
    }
    if (reserved <= 0)
        return true;
    std::size_t busy = 0;
    for (const auto& entry : pool.busyByRank) {
        if (entry.first >= rank)
            busy += entry.second;
    }
    const std::size_t reservedSlots = static_cast<std::size_t>(std::ceil(reserved * static_cast<double>(slots)));
    // If all slots are reserved, as with a single slot, one of them still serves every rank.
    const std::size_t allowed = slots > reservedSlots ? slots - reservedSlots : 1;
    return busy < allowed;
}

bool TaskScheduler::belowMinAvailable(const Pool& pool, TimePoint now) const
{
    std::size_t listed = 0;
    std::size_t healthy = 0;
    for (const Upstream* upstream : pool.upstreams) {
        if (upstream->share.draining)
            continue;
        ++listed;
        if (m_health.state(*upstream->health, now) == UpstreamState::Healthy)
            ++healthy;
    }
    return static_cast<double>(healthy) < m_health.policy().minAvailableShare * static_cast<double>(listed);
}

std::size_t TaskScheduler::availableSlots(const Upstream& upstream, bool belowMinimum, TimePoint now) const
{
    if (upstream.share.draining || !upstream.listed)
        return 0;
    const UpstreamState state = m_health.state(*upstream.health, now);
    // If too few upstreams are healthy, slow ones are used as well, but not failing ones, which would only cost messages.
    if (state == UpstreamState::Healthy || (belowMinimum && m_health.isSlow(*upstream.health)))
        return upstream.share.slots;
    return state == UpstreamState::Probing ? std::min<std::size_t>(1, upstream.share.slots) : 0;
}

std::size_t TaskScheduler::usableSlots(const Pool& pool, TimePoint now) const
{
    const bool belowMinimum = belowMinAvailable(pool, now);
    std::size_t slots = 0;
    for (const Upstream* upstream : pool.upstreams)
        slots += availableSlots(*upstream, belowMinimum, now);
    return slots;
}

TaskScheduler::Upstream* TaskScheduler::chooseUpstream(const Pool& pool, const QueuedTask& task, TimePoint now) const
{
    const bool belowMinimum = belowMinAvailable(pool, now);
    Upstream* best = nullptr;
    double bestScore = 0;
    for (Upstream* upstream : pool.upstreams) {
        const std::size_t available = availableSlots(*upstream, belowMinimum, now);
        if (upstream->busy >= available || now < upstream->pausedUntil || contains(task.avoid, upstream->share.id))
            continue;
        const double utilisation = static_cast<double>(upstream->busy) / static_cast<double>(available);
        const double score = m_health.slowness(*upstream->health) * (1 + utilisation);
        if (!best || score < bestScore) {
            best = upstream;
            bestScore = score;
        }
    }
    return best;
}

ServiceLoad TaskScheduler::load(const std::string& service, TimePoint now) const
{
    ServiceLoad load;
    const auto found = m_pools.find(service);
    if (found == m_pools.end())
        return load;
    load.slots = usableSlots(found->second, now);
    for (const auto& entry : found->second.busyByRank)
        load.busy += entry.second;
    for (const auto& entry : found->second.queues)
        load.queued += entry.second.size();
    for (const Upstream* upstream : found->second.upstreams) {
        if (m_health.state(*upstream->health, now) != UpstreamState::Healthy)
            ++load.ejectedUpstreams;
    }
    return load;
}

std::size_t TaskScheduler::queuedTasks() const
{
    std::size_t count = 0;
    for (const auto& pool : m_pools) {
        for (const auto& entry : pool.second.queues)
            count += entry.second.size();
    }
    return count;
}

Duration TaskScheduler::expectedWait(const std::string& service, int rank, std::size_t tasks, Duration runTime, TimePoint now) const
{
    const auto found = m_pools.find(service);
    if (found == m_pools.end())
        return Duration::zero();
    const Pool& pool = found->second;
    double reserved = 0;
    for (const UrgencyClassRule& classRule : m_classes) {
        if (classRule.rank < rank)
            reserved += classRule.reservedShare;
    }
    const double slots = std::max(1.0, std::floor((1 - reserved) * static_cast<double>(usableSlots(pool, now))));
    double busy = 0;
    for (const auto& entry : pool.busyByRank) {
        if (reserved <= 0 || entry.first >= rank)
            busy += static_cast<double>(entry.second);
    }
    double queuedSeconds = 0;
    double tasksAhead = 0;
    for (const auto& entry : pool.queues) {
        if (entry.first > rank || entry.second.empty())
            continue;
        const Duration runTimePerTask = m_health.expectedRunTime(entry.second.front().kind, runTime);
        queuedSeconds += static_cast<double>(entry.second.size()) * toSeconds(runTimePerTask);
        tasksAhead += static_cast<double>(entry.second.size());
    }
    const double free = std::max(0.0, slots - busy);
    // The job's last task starts once the tasks ahead in the queue and the job's other tasks have got slots.
    const double waiting = tasksAhead + static_cast<double>(tasks) - free;
    if (waiting <= 0)
        return Duration::zero();
    const double ownSeconds = std::max(0.0, static_cast<double>(tasks) - 1) * toSeconds(runTime);
    const double runningSeconds = std::min(busy, slots) * toSeconds(runTime) / 2;
    const double seconds = (queuedSeconds + ownSeconds + runningSeconds) / slots;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace egrettrestle
