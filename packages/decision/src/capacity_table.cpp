#include <egrettrestle/decision/capacity_table.hpp>

#include <algorithm>
#include <limits>

namespace egrettrestle {

namespace {

    bool isExcluded(const OwnerQuery& query, const VmId& owner)
    {
        return std::find(query.except.begin(), query.except.end(), owner) != query.except.end();
    }

}

void CapacityTable::update(const VmId& owner, CapacityReport report)
{
    m_owners[owner].report = std::move(report);
}

std::uint64_t CapacityTable::recordRequest(const VmId& owner)
{
    return ++m_owners[owner].requestsSent;
}

void CapacityTable::removeOwner(const VmId& owner)
{
    m_owners.erase(owner);
}

void CapacityTable::setLocalOwners(std::set<VmId> owners)
{
    m_localOwners = std::move(owners);
}

void CapacityTable::setReachable(const VmId& owner, bool reachable)
{
    const auto found = m_owners.find(owner);
    if (found != m_owners.end())
        found->second.reachable = reachable;
}

bool CapacityTable::isComplete(const VmId& owner, FencingToken epoch) const
{
    const auto found = m_owners.find(owner);
    return found != m_owners.end() && found->second.report.completeAtEpoch >= epoch;
}

const RouteCapacity* CapacityTable::confinedRoute(const Entry& entry, const std::string& route)
{
    const auto found = std::find_if(entry.report.confinedRoutes.begin(), entry.report.confinedRoutes.end(), [&route](const RouteCapacity& capacity) { return capacity.route == route; });
    return found == entry.report.confinedRoutes.end() ? nullptr : &*found;
}

std::int64_t CapacityTable::freeTasksOf(const Entry& entry, const std::string& service, const std::string& route)
{
    const RouteCapacity* confined = confinedRoute(entry, route);
    std::int64_t free = 0;
    for (const KindCapacity& kind : entry.report.kinds) {
        if (kind.service == service)
            free += kind.freeTasks;
    }
    const std::uint64_t requestsInTransit = entry.requestsSent > entry.report.requestsReceived ? entry.requestsSent - entry.report.requestsReceived : 0;
    if (confined)
        return std::int64_t { confined->freeTasks } - static_cast<std::int64_t>(requestsInTransit) - confined->queuedTasks;
    return free - static_cast<std::int64_t>(requestsInTransit) - queuedTasksOf(entry, service);
}

std::int64_t CapacityTable::totalTasksOf(const Entry& entry, const std::string& service, const std::string& route)
{
    if (const RouteCapacity* confined = confinedRoute(entry, route))
        return confined->totalTasks;
    std::int64_t total = 0;
    for (const KindCapacity& kind : entry.report.kinds) {
        if (kind.service == service)
            total += kind.totalTasks;
    }
    return total;
}

std::int64_t CapacityTable::queuedTasksOf(const Entry& entry, const std::string& service)
{
    std::int64_t tasks = 0;
    for (const QueueBacklog& queue : entry.report.queues) {
        if (queue.service == service)
            tasks += queue.tasks;
    }
    return tasks;
}

std::int64_t CapacityTable::freeTasks(const VmId& owner, const std::string& service, const std::string& route) const
{
    const auto found = m_owners.find(owner);
    return found == m_owners.end() ? 0 : freeTasksOf(found->second, service, route);
}

CapacityTotals CapacityTable::totals(const std::string& service, int priority, const std::string& route) const
{
    CapacityTotals totals;
    for (const auto& owner : m_owners) {
        const Entry& entry = owner.second;
        if (!entry.reachable)
            continue;
        totals.freeTasks += std::max<std::int64_t>(0, freeTasksOf(entry, service, route));
        totals.totalTasks += totalTasksOf(entry, service, route);
        if (const RouteCapacity* confined = confinedRoute(entry, route)) {
            totals.tasksAhead += confined->queuedTasks;
            totals.workAhead += confined->queuedWork;
            continue;
        }
        for (const QueueBacklog& queue : entry.report.queues) {
            if (queue.service != service || queue.priority > priority)
                continue;
            totals.tasksAhead += queue.tasks;
            totals.workAhead += queue.work;
        }
    }
    return totals;
}

void CapacityTable::setPlacement(const UpstreamInfo& upstream, const VmId& owner)
{
    m_placements[upstream.id] = { owner, upstream.service, upstream.rack };
}

std::set<VmId> CapacityTable::ownersIn(const std::string& service, const std::string& rack) const
{
    std::set<VmId> owners;
    for (const auto& entry : m_placements) {
        if (entry.second.service == service && entry.second.rack == rack)
            owners.insert(entry.second.owner);
    }
    return owners;
}

std::string CapacityTable::rackWithMostCapacity(const std::string& service) const
{
    std::map<VmId, std::int64_t> upstreamsByOwner;
    for (const auto& entry : m_placements)
        upstreamsByOwner[entry.second.owner] += entry.second.service == service ? 1 : 0;
    std::map<std::string, double> capacityByRack;
    for (const auto& entry : m_placements) {
        const Placement& placement = entry.second;
        if (placement.service == service)
            capacityByRack[placement.rack] += static_cast<double>(std::max<std::int64_t>(0, freeTasks(placement.owner, service))) / static_cast<double>(upstreamsByOwner[placement.owner]);
    }
    const auto mostCapacity = std::max_element(capacityByRack.begin(), capacityByRack.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    return mostCapacity == capacityByRack.end() ? std::string() : mostCapacity->first;
}

std::optional<VmId> CapacityTable::chooseOwner(const OwnerQuery& query) const
{
    const VmId& self = query.self;
    const std::string& service = query.service;
    const std::string& route = query.route;
    const std::set<VmId> rackOwners = query.rack.empty() ? std::set<VmId> {} : ownersIn(service, query.rack);
    const std::set<VmId>& preferred = rackOwners.empty() ? m_localOwners : rackOwners;
    const bool preferSelf = rackOwners.empty() || rackOwners.count(self) > 0;
    if (preferSelf && freeTasks(self, service, route) > 0 && !isExcluded(query, self))
        return self;
    std::optional<VmId> mostCapacity;
    std::int64_t maxFreeTasks = 0;
    bool mostCapacityIsPreferred = false;
    std::optional<VmId> shortestQueue;
    double shortestRelativeQueue = std::numeric_limits<double>::max();
    for (const auto& owner : m_owners) {
        const Entry& entry = owner.second;
        const std::int64_t total = totalTasksOf(entry, service, route);
        if (!entry.reachable || total == 0 || isExcluded(query, owner.first))
            continue;
        const std::int64_t free = freeTasksOf(entry, service, route);
        const bool isPreferred = preferred.count(owner.first) > 0;
        const bool better = isPreferred == mostCapacityIsPreferred ? free > maxFreeTasks : isPreferred;
        if (free > 0 && better) {
            maxFreeTasks = free;
            mostCapacity = owner.first;
            mostCapacityIsPreferred = isPreferred;
        }
        const double relativeQueue = static_cast<double>(1 - free) / static_cast<double>(total);
        if (relativeQueue < shortestRelativeQueue) {
            shortestRelativeQueue = relativeQueue;
            shortestQueue = owner.first;
        }
    }
    return mostCapacity ? mostCapacity : shortestQueue;
}

std::optional<VmId> CapacityTable::ownerWithCapacity(const OwnerQuery& query) const
{
    std::optional<VmId> best;
    std::int64_t maxFreeTasks = 0;
    for (const auto& owner : m_owners) {
        const std::int64_t free = owner.second.reachable && !isExcluded(query, owner.first) ? freeTasksOf(owner.second, query.service, query.route) : 0;
        if (free > maxFreeTasks) {
            maxFreeTasks = free;
            best = owner.first;
        }
    }
    return best;
}

} // namespace egrettrestle
