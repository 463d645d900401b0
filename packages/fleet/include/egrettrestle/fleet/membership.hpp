#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <egrettrestle/decision/view.hpp>
#include <egrettrestle/fleet/fleet_context.hpp>

namespace egrettrestle {

/// Keeps this VM a member of the view and removes unresponsive members. A VM that does not reply to a peer is first
/// marked as suspected in the store, and removed only if it does not object there in time: so VMs that are cut off from
/// each other, but not from the store, do not remove each other.
class FleetMembership : public KernelService {
public:
    explicit FleetMembership(FleetContext& context);
    ~FleetMembership() override;

    std::string name() const override { return fleetServices::membership; }
    absl::Status start() override;
    void prepareStop() override;
    void stop() override;

    /// Processes a new or changed store entry under storeKeys::prefix: the view or a suspicion. Older revisions than the
    /// one known are ignored.
    void onStoreEntry(const StoreEntry& entry);

    /// Whether this process is a member of the latest view known here.
    bool isMember() const;

    /// Removes this VM from the view, so that no work is sent to it. Gives up after a few attempts, each of which waits for
    /// the store.
    void leave();
    /// Has the service's thread call leave() until this VM has left. Does not block.
    void leaveSoon();

private:
    /// A member's entry under the suspicion prefix: it is suspected, or it has objected to that.
    struct Suspicion {
        Incarnation incarnation;
        bool objected = false;
        std::uint64_t revision = 0;
        /// When this VM learned of the entry.
        TimePoint since;
    };

    void run();
    void step();
    void setAndWake(std::atomic<bool>& flag);
    void joinIfNeeded();
    void checkUnresponsivePeers();
    void objectToSuspicion();
    /// Writes the next view if the stored one is still at `revision`; otherwise reads the stored view. True if written.
    bool tryWriteView(const View& next, std::uint64_t revision);
    View currentView(std::uint64_t& revision) const;

    FleetContext& m_context;
    mutable std::mutex m_mutex;
    View m_view;
    std::uint64_t m_viewRevision = 0;
    bool m_viewRead = false;
    Incarnation m_incarnation;
    std::map<VmId, Suspicion> m_suspicions;
    TimePoint m_lastJoin;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_leaving { false };
    /// This VM has left the view, which is logged once.
    std::atomic<bool> m_hasLeft { false };
    /// Guards the wait between two steps.
    std::mutex m_wakeMutex;
    std::condition_variable m_wake;
    std::thread m_thread;
};

} // namespace egrettrestle
