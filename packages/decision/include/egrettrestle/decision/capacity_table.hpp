#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// Total capacity of all reachable owners for one service, as known to this VM.
struct CapacityTotals {
    /// Tasks that can start immediately.
    std::int64_t freeTasks = 0;
    /// Tasks that can run concurrently.
    std::int64_t totalTasks = 0;
    /// Queued tasks that are at least as urgent as the given priority.
    std::int64_t tasksAhead = 0;
    /// Sum of the expected run times of `tasksAhead`.
    Milliseconds workAhead { 0 };
};

/// A task for which an owner is to be chosen.
struct OwnerQuery {
    /// The VM that asks.
    VmId self;
    std::string service;
    /// Owners that must not be chosen.
    std::vector<VmId> except = {};
    /// The rack in which the task runs fastest; empty for none.
    std::string rack = {};
    std::string route = {};
    /// Resources that the task needs; all zero if unknown.
    Resources need = {};
    /// The greatest duration relative to the expected one with which the task meets its objective; 0 for no limit.
    double maxSlowness = 0;
};

/// The last reported capacity of each owner, reduced by the requests that this VM has sent to it since. Chooses owners for
/// tasks. Not thread-safe.
class CapacityTable {
public:
    /// `seed` determines the random choices among owners; it differs between VMs, so that these do not all choose the same
    /// owner.
    explicit CapacityTable(std::uint64_t seed = 0)
        : m_random(seed)
    {
    }

    /// Stores the latest report of an owner.
    void update(const VmId& owner, CapacityReport report);

    /// Records that a run request is sent to an owner. Returns the number of requests sent to it so far.
    std::uint64_t recordRequest(const VmId& owner);

    /// Removes an owner, and with it its report and its count of requests.
    void removeOwner(const VmId& owner);

    /// Sets the owners in this VM's data centre. They are preferred while they have free capacity: fewer VMs then exchange
    /// tasks, and only VMs that do need frequent capacity reports of each other.
    void setLocalOwners(std::set<VmId> owners);

    /// Marks an owner as reachable or not. An unreachable one keeps its report but is not chosen. Ignored for an owner
    /// without a report.
    void setReachable(const VmId& owner, bool reachable);

    /// Whether an owner's report covers all upstreams that it owns in the view of `epoch` or of a later one.
    bool isComplete(const VmId& owner, FencingToken epoch) const;

    /// The number of tasks of a service that an owner can start immediately; negative if more are queued or on their way to
    /// it than it can start.
    /// For a route that the owner confines to a part of its upstreams, only these count.
    std::int64_t freeTasks(const VmId& owner, const std::string& service, const std::string& route = {}) const;

    /// The number of tasks with the query's need that an owner can start immediately, on kinds of upstream that are not slower
    /// than the query allows: its places for the smallest reported size that covers the need, less the requests on their way
    /// to it and the moves that are reserved. The owner's free tasks if it reports no places, if the need is unknown, or for a
    /// route that it confines. May be negative.
    std::int64_t placesFor(const VmId& owner, const OwnerQuery& query) const;

    /// Like placesFor(), but on kinds of any speed and less the tasks that are queued at the owner: whether one more of these
    /// can be expected to start there soon.
    std::int64_t placesBeyondQueue(const VmId& owner, const OwnerQuery& query) const;

    /// Forgets all reserved moves.
    void clearMoves();
    /// Reserves a place at an owner for a task that is to be moved there, which is withdrawn from another owner first.
    void reserveMove(const VmId& owner);
    /// Gives up a reserved place, because the task can be sent now or is not moved after all.
    void releaseMove(const VmId& owner);

    /// Total capacity of the reachable owners for a service; the tasks ahead are those of `priority` and more urgent ones.
    CapacityTotals totals(const std::string& service, int priority, const std::string& route = {}) const;

    /// Sets the rack, service and owner of an upstream.
    void setPlacement(const UpstreamInfo& upstream, const VmId& owner);
    /// Removes an upstream.
    void removePlacement(const UpstreamId& upstream) { m_placements.erase(upstream); }

    /// The rack with the most free capacity for a service, estimated by distributing each owner's free capacity evenly over
    /// its upstreams of the service. Empty if no upstream of the service is known.
    std::string rackWithMostCapacity(const std::string& service) const;

    /// Chooses the owner for one more task: `self` while it has places for the task, else a local owner that has places, else
    /// any other one, else the one with the shortest queue relative to its capacity. Owners that have places only on kinds
    /// that are too slow for the task come after all others with places. Owners in `except` are not chosen. With a `rack`,
    /// owners of upstreams in it are preferred instead of `self` and local ones. Returns nothing if no reachable owner has
    /// capacity for the service.
    ///
    /// Among several owners with places, the one with the most is chosen if all other VMs have places of their own, which they
    /// use first. If another VM has none, it chooses from the same list at the same time; the choice is then random in
    /// proportion to the places, so that VMs do not fill the same owner together.
    std::optional<VmId> chooseOwner(const OwnerQuery& query);

    /// The owner to which a queued task should be moved, chosen like by chooseOwner() among those with places, `self` and local
    /// ones first. Nothing if there is none, or if this VM has moved its share of the owner's places since the owner's report:
    /// other VMs move tasks there as well.
    std::optional<VmId> ownerWithCapacity(const OwnerQuery& query);

private:
    struct Entry {
        CapacityReport report;
        /// Number of run requests sent to the owner.
        std::uint64_t requestsSent = 0;
        bool reachable = true;
        /// Places that are reserved for tasks to be moved here.
        std::int64_t reservedMoves = 0;
        /// How many more tasks this VM may move here before the next report; empty until the first is to be moved.
        std::optional<std::int64_t> movesLeft = {};
    };

    /// Where an upstream is.
    struct Placement {
        VmId owner;
        std::string service;
        std::string rack;
    };

    /// An owner that has places for a task.
    struct Candidate {
        const VmId* owner = nullptr;
        std::int64_t places = 0;
    };

    /// Places of an owner by speed.
    struct Places {
        /// On kinds that are fast enough.
        std::int64_t fast = 0;
        /// On all kinds.
        std::int64_t all = 0;
    };

    /// The greatest slowness of kinds that are fast enough for the query's task; 0 for no limit.
    double effectiveMaxSlowness(const OwnerQuery& query) const;
    /// Places on kinds that are fast enough; 0 for an unknown owner.
    std::int64_t fastPlacesOf(const VmId& owner, const OwnerQuery& query, double maxSlowness) const;
    static Places placesOf(const Entry& entry, const OwnerQuery& query, double maxSlowness);
    /// The owners with places, the preferred ones only if one of them has any.
    std::vector<Candidate> candidates(const OwnerQuery& query, const std::set<VmId>& preferred, double maxSlowness) const;
    /// One of the candidates; nothing if there are none.
    std::optional<Candidate> choose(const OwnerQuery& query, const std::vector<Candidate>& candidates);
    /// How many other VMs have no place for the task on their own upstreams.
    std::int64_t competitors(const OwnerQuery& query) const;
    /// A random number from 0 to 1, exclusively.
    double random();
    std::set<VmId> ownersIn(const std::string& service, const std::string& rack) const;
    static std::int64_t freeTasksOf(const Entry& entry, const std::string& service, const std::string& route = {});
    static std::int64_t totalTasksOf(const Entry& entry, const std::string& service, const std::string& route = {});
    /// The capacity of a route that the owner confines; null if it does not.
    static const RouteCapacity* confinedRoute(const Entry& entry, const std::string& route);
    static std::int64_t queuedTasksOf(const Entry& entry, const std::string& service);

    std::map<VmId, Entry> m_owners;
    std::set<VmId> m_localOwners;
    std::map<UpstreamId, Placement> m_placements;
    std::mt19937_64 m_random;
};

} // namespace egrettrestle
