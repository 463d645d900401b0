#pragma once

#include <map>
#include <mutex>
#include <thread>

#include <egrettrestle/decision/view.hpp>
#include <egrettrestle/fleet/fleet_context.hpp>

namespace egrettrestle {

/// Keeps this VM in the view and takes silent ones out. A silent VM is first asked through the store: it is removed only
/// if it does not object, so that VMs that are cut off from each other, but not from the store, do not remove each other.
class FleetMembership : public KernelService {
public:
    explicit FleetMembership(FleetContext& node);
    ~FleetMembership() override;

    std::string name() const override { return fleetServices::membership; }
    absl::Status start() override;
    void prepareStop() override { m_stopping = true; }
    void stop() override;

    /// Takes an entry of the store that belongs to egrettrestle.
    void onStoreEntry(const StoreEntry& entry);

    /// Whether this VM is a member of the view that it knows.
    bool isMember() const;

    /// Leaves the view.
    void leave();

private:
    struct Suspicion {
        Incarnation incarnation;
        bool objected = false;
        std::uint64_t revision = 0;
        TimePoint since;
    };

    void run();
    void step();
    void joinIfNeeded();
    void watchSilent();
    void object();
    bool changeView(const View& next, std::uint64_t revision);
    View currentView(std::uint64_t& revision) const;

    FleetContext& m_node;
    mutable std::mutex m_mutex;
    View m_view;
    std::uint64_t m_viewRevision = 0;
    bool m_viewRead = false;
    Incarnation m_incarnation;
    std::map<VmId, Suspicion> m_suspicions;
    TimePoint m_lastJoin;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace egrettrestle
