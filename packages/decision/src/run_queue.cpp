#include <egrettrestle/decision/run_queue.hpp>

#include <algorithm>
#include <iterator>

namespace egrettrestle {

namespace {

    // Guaranteed part of an equal share of a service's cores. The other half goes by priority, so that a burst of urgent work
    // still gets more than routine work.
    constexpr double guaranteedPart = 0.5;

    TimePoint orderingTime(const RunRequest& request) { return request.dueBy.value_or(request.latestStart); }

    /// The last time at which the run can start and be in time.
    TimePoint lateAfter(const RunRequest& request) { return request.dueBy ? *request.dueBy - request.expectedRunTime : TimePoint::max(); }

    bool hasPrecedence(const QueuedRun& left, const QueuedRun& right)
    {
        if (left.request.priority != right.request.priority)
            return left.request.priority < right.request.priority;
        return left.late != right.late ? right.late : orderingTime(left.request) < orderingTime(right.request);
    }

    std::pair<std::string, std::string> routeOf(const RunRequest& request) { return { request.service, request.route }; }

    using RouteCounts = std::map<std::pair<std::string, std::string>, std::size_t>;

    void removeOne(RouteCounts& counts, const RunRequest& request)
    {
        const auto found = counts.find(routeOf(request));
        if (found != counts.end() && --found->second == 0)
            counts.erase(found);
    }

}

void RunQueue::insert(Runs& entry)
{
    const QueuedRun& run = entry.front();
    auto place = m_runs.end();
    // Most runs are due after those that wait already.
    while (place != m_runs.begin() && hasPrecedence(run, *std::prev(place)))
        --place;
    m_runs.splice(place, entry);
}

void RunQueue::add(QueuedRun run)
{
    const TimePoint lateAt = lateAfter(run.request);
    run.late = run.since > lateAt;
    if (!run.late)
        m_nextLateAt = std::min(m_nextLateAt, lateAt);
    ++m_routes[routeOf(run.request)];
    if (run.request.priority != 0)
        ++m_routineRoutes[routeOf(run.request)];
    m_needs.insert(run.request.need.milliCores);
    m_suspects += run.request.crashes.total > 0 ? 1 : 0;
    Runs entry;
    entry.push_back(std::move(run));
    insert(entry);
}

RunQueue::Runs::iterator RunQueue::erase(Runs::iterator entry)
{
    const RunRequest& request = entry->request;
    removeOne(m_routes, request);
    if (request.priority != 0)
        removeOne(m_routineRoutes, request);
    m_needs.erase(m_needs.find(request.need.milliCores));
    m_suspects -= request.crashes.total > 0 ? 1 : 0;
    if (m_firstRoutine == entry)
        ++m_firstRoutine;
    return m_runs.erase(entry);
}

bool RunQueue::remove(const VmId& executor, const TaskRun& run)
{
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const QueuedRun& entry) { return entry.request.run == run && entry.executor == executor; });
    if (found == m_runs.end())
        return false;
    erase(found);
    return true;
}

std::vector<TaskRun> RunQueue::removeRunsOf(const VmId& executor)
{
    std::vector<TaskRun> removed;
    for (auto entry = m_runs.begin(); entry != m_runs.end();) {
        if (entry->executor != executor) {
            ++entry;
            continue;
        }
        removed.push_back(entry->request.run);
        entry = erase(entry);
    }
    return removed;
}

std::vector<QueuedRun> RunQueue::removeExpired(TimePoint now)
{
    std::vector<QueuedRun> expired;
    for (auto entry = m_runs.begin(); entry != m_runs.end();) {
        if (entry->request.latestStart >= now) {
            ++entry;
            continue;
        }
        expired.push_back(*entry);
        entry = erase(entry);
    }
    return expired;
}

void RunQueue::updateLateness(TimePoint now)
{
    if (now <= m_nextLateAt)
        return;
    m_nextLateAt = TimePoint::max();
    Runs late;
    for (auto entry = m_runs.begin(); entry != m_runs.end();) {
        const auto current = entry++;
        const TimePoint lateAt = lateAfter(current->request);
        if (current->late)
            continue;
        if (now <= lateAt) {
            m_nextLateAt = std::min(m_nextLateAt, lateAt);
            continue;
        }
        current->late = true;
        late.splice(late.end(), m_runs, current);
    }
    while (!late.empty()) {
        Runs entry;
        entry.splice(entry.end(), late, late.begin());
        insert(entry);
    }
}

bool RunQueue::needsUsage() const
{
    // Sorted by service.
    return std::adjacent_find(m_routineRoutes.begin(), m_routineRoutes.end(), [](const auto& left, const auto& right) { return left.first.first == right.first.first; }) != m_routineRoutes.end();
}

void RunQueue::updateShares()
{
    for (const auto& route : m_routes)
        m_usage[route.first.first].usedByRoute[route.first.second];
    m_guaranteed.clear();
    for (const auto& service : m_usage) {
        const double equalShare = static_cast<double>(service.second.total) / static_cast<double>(std::max<std::size_t>(1, service.second.usedByRoute.size()));
        m_guaranteed[service.first] = static_cast<std::int64_t>(equalShare * guaranteedPart);
    }
}

void RunQueue::beginPass(CoreUsage usage, TimePoint now)
{
    updateLateness(now);
    m_usage.clear();
    if (needsUsage()) {
        m_usage = std::move(usage);
        updateShares();
    }
    ++m_pass;
    m_phase = Phase::Urgent;
    m_next = m_runs.begin();
    m_firstRoutine = m_runs.end();
    m_offered = m_runs.end();
}

bool RunQueue::isBelowShare(const RunRequest& request) const
{
    const ServiceCores& cores = m_usage.at(request.service);
    return cores.usedByRoute.at(request.route) < m_guaranteed.at(request.service);
}

bool RunQueue::isSkipped(const QueuedRun& run) const
{
    return m_phase == Phase::BelowShare ? !isBelowShare(run.request) : run.offeredInPass == m_pass;
}

QueuedRun* RunQueue::next()
{
    if (m_phase == Phase::Urgent) {
        if (m_next != m_runs.end() && m_next->request.priority == 0) {
            m_offered = m_next++;
            return &*m_offered;
        }
        m_firstRoutine = m_next;
        m_phase = m_usage.empty() ? Phase::Rest : Phase::BelowShare;
    }
    while (true) {
        while (m_next != m_runs.end() && isSkipped(*m_next))
            ++m_next;
        if (m_next != m_runs.end() || m_phase == Phase::Rest)
            break;
        m_phase = Phase::Rest;
        m_next = m_firstRoutine;
    }
    m_offered = m_next;
    if (m_offered == m_runs.end())
        return nullptr;
    ++m_next;
    m_offered->offeredInPass = m_pass;
    return &*m_offered;
}

void RunQueue::removeStarted()
{
    const auto service = m_usage.find(m_offered->request.service);
    if (service != m_usage.end())
        service->second.usedByRoute[m_offered->request.route] += m_offered->request.need.milliCores;
    removeOffered();
}

void RunQueue::removeOffered()
{
    erase(m_offered);
    m_offered = m_runs.end();
}

} // namespace egrettrestle
