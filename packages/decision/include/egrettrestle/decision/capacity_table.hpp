#pragma once

#include <map>
#include <optional>
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

    /// Total capacity of the reachable owners for a service; the tasks ahead are those of `priority` and more urgent ones.
    CapacityTotals totals(const std::string& service, int priority, const std::string& route = {}) const;

    /// Sets the rack, service and owner of an upstream.
    void setPlacement(const UpstreamInfo& upstream, const VmId& owner);
    /// Removes an upstream.
    void removePlacement(const UpstreamId& upstream) { m_placements.erase(upstream); }

    /// The rack with the most free capacity for a service, estimated by distributing each owner's free capacity evenly over
    /// its upstreams of the service. Empty if no upstream of the service is known.
    std::string rackWithMostCapacity(const std::string& service) const;

    /// Chooses the owner for one more task: `self` while it has free capacity, else the local one with the most free
    /// capacity, else any one with the most, else the one with the shortest queue relative to its capacity. Owners in
    /// `except` are not chosen. With a `rack`, owners of upstreams in it are preferred instead of `self` and local ones.
    /// Returns nothing if no reachable owner has capacity for the service.
    std::optional<VmId> chooseOwner(const OwnerQuery& query) const;

    /// The reachable owner with the most free capacity that the query does not exclude; nothing if none has any.
    std::optional<VmId> ownerWithCapacity(const OwnerQuery& query) const;

private:
    struct Entry {
        CapacityReport report;
        /// Number of run requests sent to the owner.
        std::uint64_t requestsSent = 0;
        bool reachable = true;
    };

    /// Where an upstream is.
    struct Placement {
        VmId owner;
        std::string service;
        std::string rack;
    };

    std::set<VmId> ownersIn(const std::string& service, const std::string& rack) const;
    static std::int64_t freeTasksOf(const Entry& entry, const std::string& service, const std::string& route = {});
    static std::int64_t totalTasksOf(const Entry& entry, const std::string& service, const std::string& route = {});
    /// The capacity of a route that the owner confines; null if it does not.
    static const RouteCapacity* confinedRoute(const Entry& entry, const std::string& route);
    static std::int64_t queuedTasksOf(const Entry& entry, const std::string& service);

    std::map<VmId, Entry> m_owners;
    std::set<VmId> m_localOwners;
    std::map<UpstreamId, Placement> m_placements;
};

} // namespace egrettrestle
