#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// What all owners together can take, as one VM knows it.
struct CapacityTotals {
    std::int64_t freeTasks = 0;
    std::int64_t totalTasks = 0;
    /// Tasks that wait and are at least as urgent as the priority asked for.
    std::int64_t tasksAhead = 0;
    /// Their expected durations, added up.
    Milliseconds workAhead { 0 };
};

/// The latest room of each owner, less what this VM has sent there since. Not safe for use by several threads.
class CapacityTable {
public:
    /// Takes an owner's report.
    void update(const VmId& owner, CapacityReport report);

    /// Counts a run request sent to an owner; gives the number of requests sent to it so far.
    std::uint64_t recordRequest(const VmId& owner);

    /// Forgets an owner, whose count of requests starts anew.
    void removeOwner(const VmId& owner);

    /// Names the owners in this VM's data centre. They come first where they have room: few VMs then share tasks with each
    /// other, and only VMs that do have to tell each other their room often.
    void setLocalOwners(std::set<VmId> owners);

    /// An owner that does not answer keeps its report but is passed over.
    void setReachable(const VmId& owner, bool reachable);

    /// Whether an owner's report covers all its upstreams under the view of an epoch, or a later one.
    bool isComplete(const VmId& owner, FencingToken epoch) const;

    /// Tasks of a service that an owner can start at once; negative when more were sent than had room.
    std::int64_t freeTasks(const VmId& owner, const std::string& service) const;

    CapacityTotals totals(const std::string& service, int priority) const;

    /// Learns where an upstream is and who owns it.
    void setPlacement(const UpstreamInfo& upstream, const VmId& owner);
    void removePlacement(const UpstreamId& upstream) { m_places.erase(upstream); }

    /// The rack whose upstreams of a service have the most room, as far as their owners' room tells; empty if none is
    /// known.
    std::string rackWithMostCapacity(const std::string& service) const;

    /// The owner for one more task: `self` while it has room, else the near one with the most room, else any one with the
    /// most room, else the one with the shortest queue for its size. Owners in `except` are passed over. For a task whose
    /// rack matters, owners of upstreams there take the place of `self` and of those near.
    std::optional<VmId> chooseOwner(const VmId& self, const std::string& service, const std::vector<VmId>& except, const std::string& rack = {}) const;

    /// An owner other than `except` that has room at once.
    std::optional<VmId> ownerWithCapacity(const std::string& service, const VmId& except) const;

private:
    struct Entry {
        CapacityReport report;
        std::uint64_t sent = 0;
        bool reachable = true;
    };

    struct Place {
        VmId owner;
        std::string service;
        std::string rack;
    };

    std::set<VmId> ownersIn(const std::string& service, const std::string& rack) const;
    static std::int64_t freeIn(const Entry& entry, const std::string& service);
    static std::int64_t totalIn(const Entry& entry, const std::string& service);
    static std::int64_t queuedIn(const Entry& entry, const std::string& service);

    std::map<VmId, Entry> m_owners;
    std::set<VmId> m_near;
    std::map<UpstreamId, Place> m_places;
};

} // namespace egrettrestle
