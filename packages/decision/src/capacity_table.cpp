#include <egrettrestle/decision/capacity_table.hpp>

#include <algorithm>
#include <limits>

namespace egrettrestle {

namespace {

    bool isExcluded(const OwnerQuery& query, const VmId& owner)
    {
        return std::find(query.except.begin(), query.except.end(), owner) != query.except.end();
    }

    // Kinds of upstream that differ by less than this factor count as equally fast: estimates of run times err by more.
    constexpr double minSpeedDifference = 1.25;

    /// Free capacity of a kind for tasks with a need. A need beyond all reported sizes counts like the largest of them.
    std::int64_t placesOnKind(const KindCapacity& kind, const Resources& need)
    {
        if (kind.places.empty() || need.milliCores <= 0)
            return kind.freeTasks;
        const auto place = std::find_if(kind.places.begin(), kind.places.end(), [&need](const SizedCapacity& sized) { return sized.milliCores >= need.milliCores; });
        return place == kind.places.end() ? kind.places.back().freeTasks : place->freeTasks;
    }

    bool hasSizes(const CapacityReport& report, const std::string& service)
    {
        return std::any_of(report.kinds.begin(), report.kinds.end(), [&service](const KindCapacity& kind) { return kind.service == service && !kind.places.empty(); });
    }

}

void CapacityTable::update(const VmId& owner, CapacityReport report)
{
    Entry& entry = m_owners[owner];
    entry.report = std::move(report);
    entry.movesLeft.reset();
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

double CapacityTable::effectiveMaxSlowness(const OwnerQuery& query) const
{
    if (query.maxSlowness <= 0)
        return 0;
    double fastest = std::numeric_limits<double>::max();
    double slowest = 0;
    for (const auto& owner : m_owners) {
        for (const KindCapacity& kind : owner.second.report.kinds) {
            if (!owner.second.reachable || kind.service != query.service)
                continue;
            fastest = std::min(fastest, kind.slowness);
            slowest = std::max(slowest, kind.slowness);
        }
    }
    return slowest < fastest * minSpeedDifference ? 0 : query.maxSlowness;
}

CapacityTable::Places CapacityTable::placesOf(const Entry& entry, const OwnerQuery& query, double maxSlowness)
{
    Places places;
    if (confinedRoute(entry, query.route)) {
        places.all = freeTasksOf(entry, query.service, query.route) - entry.reservedMoves;
        places.fast = places.all;
        return places;
    }
    const std::uint64_t requestsInTransit = entry.requestsSent > entry.report.requestsReceived ? entry.requestsSent - entry.report.requestsReceived : 0;
    std::int64_t taken = static_cast<std::int64_t>(requestsInTransit) + entry.reservedMoves;
    // The owner starts each queued task that fits, so what is queued does not fit the places. Without sizes this is unknown.
    if (query.need.milliCores <= 0 || !hasSizes(entry.report, query.service))
        taken += queuedTasksOf(entry, query.service);
    for (const KindCapacity& kind : entry.report.kinds) {
        if (kind.service != query.service)
            continue;
        const std::int64_t onKind = placesOnKind(kind, query.need);
        places.all += onKind;
        if (maxSlowness <= 0 || kind.slowness <= maxSlowness)
            places.fast += onKind;
    }
    places.all -= taken;
    places.fast -= taken;
    return places;
}

std::int64_t CapacityTable::placesFor(const VmId& owner, const OwnerQuery& query) const
{
    return fastPlacesOf(owner, query, effectiveMaxSlowness(query));
}

std::int64_t CapacityTable::fastPlacesOf(const VmId& owner, const OwnerQuery& query, double maxSlowness) const
{
    const auto found = m_owners.find(owner);
    return found == m_owners.end() ? 0 : placesOf(found->second, query, maxSlowness).fast;
}

std::int64_t CapacityTable::placesBeyondQueue(const VmId& owner, const OwnerQuery& query) const
{
    const auto found = m_owners.find(owner);
    if (found == m_owners.end())
        return 0;
    const Entry& entry = found->second;
    const std::int64_t places = placesOf(entry, query, 0).all;
    const bool queueCounted = confinedRoute(entry, query.route) || query.need.milliCores <= 0 || !hasSizes(entry.report, query.service);
    return queueCounted ? places : places - queuedTasksOf(entry, query.service);
}

void CapacityTable::clearMoves()
{
    for (auto& owner : m_owners)
        owner.second.reservedMoves = 0;
}

void CapacityTable::reserveMove(const VmId& owner)
{
    const auto found = m_owners.find(owner);
    if (found != m_owners.end())
        ++found->second.reservedMoves;
}

void CapacityTable::releaseMove(const VmId& owner)
{
    const auto found = m_owners.find(owner);
    if (found != m_owners.end() && found->second.reservedMoves > 0)
        --found->second.reservedMoves;
}

std::vector<CapacityTable::Candidate> CapacityTable::candidates(const OwnerQuery& query, const std::set<VmId>& preferred, double maxSlowness) const
{
    // In the order in which they are used: fast and preferred, fast, preferred, any.
    std::vector<Candidate> tiers[4];
    for (const auto& owner : m_owners) {
        if (!owner.second.reachable || isExcluded(query, owner.first))
            continue;
        const Places places = placesOf(owner.second, query, maxSlowness);
        if (places.all <= 0)
            continue;
        const bool isFast = places.fast > 0;
        const bool isPreferred = preferred.count(owner.first) > 0;
        tiers[(isFast ? 0U : 2U) + (isPreferred ? 0U : 1U)].push_back({ &owner.first, isFast ? places.fast : places.all });
    }
    for (std::vector<Candidate>& tier : tiers) {
        if (!tier.empty())
            return std::move(tier);
    }
    return {};
}

std::int64_t CapacityTable::competitors(const OwnerQuery& query) const
{
    return std::count_if(m_owners.begin(), m_owners.end(), [&query](const auto& owner) {
        return owner.second.reachable && owner.first != query.self && placesOf(owner.second, query, 0).all <= 0;
    });
}

double CapacityTable::random()
{
    // The distributions of the standard library differ between implementations.
    constexpr double range = 9'007'199'254'740'992.0;
    return static_cast<double>(m_random() >> 11U) / range;
}

std::optional<CapacityTable::Candidate> CapacityTable::choose(const OwnerQuery& query, const std::vector<Candidate>& candidates)
{
    if (candidates.empty())
        return std::nullopt;
    if (candidates.size() == 1 || competitors(query) == 0)
        return *std::max_element(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) { return left.places < right.places; });
    std::int64_t sum = 0;
    for (const Candidate& candidate : candidates)
        sum += candidate.places;
    double position = random() * static_cast<double>(sum);
    for (const Candidate& candidate : candidates) {
        position -= static_cast<double>(candidate.places);
        if (position < 0)
            return candidate;
    }
    return candidates.back();
}

std::optional<VmId> CapacityTable::chooseOwner(const OwnerQuery& query)
{
    const VmId& self = query.self;
    const std::set<VmId> rackOwners = query.rack.empty() ? std::set<VmId> {} : ownersIn(query.service, query.rack);
    const std::set<VmId>& preferred = rackOwners.empty() ? m_localOwners : rackOwners;
    const bool preferSelf = rackOwners.empty() || rackOwners.count(self) > 0;
    const double maxSlowness = effectiveMaxSlowness(query);
    if (preferSelf && !isExcluded(query, self) && fastPlacesOf(self, query, maxSlowness) > 0)
        return self;
    const std::vector<Candidate> withPlaces = candidates(query, preferred, maxSlowness);
    // Only slow places are left here if this VM is among those that have some.
    const bool selfHasPlaces = std::any_of(withPlaces.begin(), withPlaces.end(), [&self](const Candidate& candidate) { return *candidate.owner == self; });
    if (preferSelf && selfHasPlaces)
        return self;
    if (const std::optional<Candidate> chosen = choose(query, withPlaces))
        return *chosen->owner;
    std::optional<VmId> shortestQueue;
    double shortestRelativeQueue = std::numeric_limits<double>::max();
    for (const auto& owner : m_owners) {
        const Entry& entry = owner.second;
        const std::int64_t total = totalTasksOf(entry, query.service, query.route);
        if (!entry.reachable || total == 0 || isExcluded(query, owner.first))
            continue;
        const std::int64_t free = freeTasksOf(entry, query.service, query.route);
        const double relativeQueue = static_cast<double>(1 - free) / static_cast<double>(total);
        if (relativeQueue < shortestRelativeQueue) {
            shortestRelativeQueue = relativeQueue;
            shortestQueue = owner.first;
        }
    }
    return shortestQueue;
}

std::optional<VmId> CapacityTable::ownerWithCapacity(const OwnerQuery& query)
{
    const double maxSlowness = effectiveMaxSlowness(query);
    if (!isExcluded(query, query.self) && fastPlacesOf(query.self, query, maxSlowness) > 0)
        return query.self;
    const std::optional<Candidate> chosen = choose(query, candidates(query, m_localOwners, maxSlowness));
    if (!chosen)
        return std::nullopt;
    Entry& entry = m_owners.at(*chosen->owner);
    if (!entry.movesLeft) {
        // This VM and the competitors share the places. A random remainder of the share lets one of them take a single place.
        const double share = static_cast<double>(chosen->places) / static_cast<double>(1 + competitors(query));
        entry.movesLeft = static_cast<std::int64_t>(share + random());
    }
    if (*entry.movesLeft <= 0)
        return std::nullopt;
    --*entry.movesLeft;
    return *chosen->owner;
}

} // namespace egrettrestle
