#include <egrettrestle/decision/capacity_table.hpp>

#include <algorithm>
#include <limits>

namespace egrettrestle {

void CapacityTable::update(const VmId& owner, CapacityReport report)
{
    m_owners[owner].report = std::move(report);
}

std::uint64_t CapacityTable::recordRequest(const VmId& owner)
{
    return ++m_owners[owner].sent;
}

void CapacityTable::removeOwner(const VmId& owner)
{
    m_owners.erase(owner);
}

void CapacityTable::setLocalOwners(std::set<VmId> owners)
{
    m_near = std::move(owners);
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

std::int64_t CapacityTable::freeIn(const Entry& entry, const std::string& service)
{
    std::int64_t free = 0;
    for (const KindCapacity& kind : entry.report.kinds) {
        if (kind.service == service)
            free += kind.freeTasks;
    }
    const std::uint64_t onTheWay = entry.sent > entry.report.requestsReceived ? entry.sent - entry.report.requestsReceived : 0;
    return free - static_cast<std::int64_t>(onTheWay) - queuedIn(entry, service);
}

std::int64_t CapacityTable::totalIn(const Entry& entry, const std::string& service)
{
    std::int64_t total = 0;
    for (const KindCapacity& kind : entry.report.kinds) {
        if (kind.service == service)
            total += kind.totalTasks;
    }
    return total;
}

std::int64_t CapacityTable::queuedIn(const Entry& entry, const std::string& service)
{
    std::int64_t tasks = 0;
    for (const QueueBacklog& queue : entry.report.queues) {
        if (queue.service == service)
            tasks += queue.tasks;
    }
    return tasks;
}

std::int64_t CapacityTable::freeTasks(const VmId& owner, const std::string& service) const
{
    const auto found = m_owners.find(owner);
    return found == m_owners.end() ? 0 : freeIn(found->second, service);
}

CapacityTotals CapacityTable::totals(const std::string& service, int priority) const
{
    CapacityTotals totals;
    for (const auto& owner : m_owners) {
        const Entry& entry = owner.second;
        if (!entry.reachable)
            continue;
        totals.freeTasks += std::max<std::int64_t>(0, freeIn(entry, service));
        totals.totalTasks += totalIn(entry, service);
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
    m_places[upstream.id] = { owner, upstream.service, upstream.rack };
}

std::set<VmId> CapacityTable::ownersIn(const std::string& service, const std::string& rack) const
{
    std::set<VmId> owners;
    for (const auto& entry : m_places) {
        if (entry.second.service == service && entry.second.rack == rack)
            owners.insert(entry.second.owner);
    }
    return owners;
}

std::string CapacityTable::rackWithMostCapacity(const std::string& service) const
{
    std::map<VmId, std::int64_t> upstreams;
    for (const auto& entry : m_places)
        upstreams[entry.second.owner] += entry.second.service == service ? 1 : 0;
    std::map<std::string, double> room;
    for (const auto& entry : m_places) {
        const Place& place = entry.second;
        if (place.service == service)
            room[place.rack] += static_cast<double>(std::max<std::int64_t>(0, freeTasks(place.owner, service))) / static_cast<double>(upstreams[place.owner]);
    }
    const auto roomiest = std::max_element(room.begin(), room.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    return roomiest == room.end() ? std::string() : roomiest->first;
}

std::optional<VmId> CapacityTable::chooseOwner(const VmId& self, const std::string& service, const std::vector<VmId>& except, const std::string& rack) const
{
    const auto passedOver = [&except](const VmId& id) { return std::find(except.begin(), except.end(), id) != except.end(); };
    const std::set<VmId> inRack = rack.empty() ? std::set<VmId> {} : ownersIn(service, rack);
    const std::set<VmId>& preferred = inRack.empty() ? m_near : inRack;
    const bool selfFirst = inRack.empty() || inRack.count(self) > 0;
    if (selfFirst && freeTasks(self, service) > 0 && !passedOver(self))
        return self;
    std::optional<VmId> roomiest;
    std::int64_t mostFree = 0;
    bool roomiestIsNear = false;
    std::optional<VmId> shortest;
    double shortestWait = std::numeric_limits<double>::max();
    for (const auto& owner : m_owners) {
        const Entry& entry = owner.second;
        const std::int64_t total = totalIn(entry, service);
        if (!entry.reachable || total == 0 || passedOver(owner.first))
            continue;
        const std::int64_t free = freeIn(entry, service);
        const bool near = preferred.count(owner.first) > 0;
        const bool better = near == roomiestIsNear ? free > mostFree : near;
        if (free > 0 && better) {
            mostFree = free;
            roomiest = owner.first;
            roomiestIsNear = near;
        }
        const double wait = static_cast<double>(1 - free) / static_cast<double>(total);
        if (wait < shortestWait) {
            shortestWait = wait;
            shortest = owner.first;
        }
    }
    return roomiest ? roomiest : shortest;
}

std::optional<VmId> CapacityTable::ownerWithCapacity(const std::string& service, const VmId& except) const
{
    std::optional<VmId> best;
    std::int64_t mostFree = 0;
    for (const auto& owner : m_owners) {
        const std::int64_t free = owner.second.reachable && owner.first != except ? freeIn(owner.second, service) : 0;
        if (free > mostFree) {
            mostFree = free;
            best = owner.first;
        }
    }
    return best;
}

} // namespace egrettrestle
