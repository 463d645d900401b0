#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <egrettrestle/services/claims_service.hpp>
#include <egrettrestle/services/service_context.hpp>
#include <egrettrestle/store/store.hpp>
#include <egrettrestle/wire/peer_messages.hpp>

namespace egrettrestle {

/// Keeps this VM a member of its data centre's view: joins at start, sends heartbeats to a few peers, removes peers
/// that miss too many of them, joins again after being removed itself, and leaves at a planned stop. Every change of
/// the view is a compare-and-swap in the platform's store.
class MembershipService : public KernelService {
public:
    explicit MembershipService(ServiceContext& context);
    ~MembershipService() override;

    std::string name() const override { return serviceNames::membership; }
    absl::Status start() override;
    /// Leaves the view and hands the claims over, or resigns if the store cannot be reached.
    void stop() override;

    /// Answers a peer's heartbeat with this VM's epoch, incarnation and manifest revision. Fetches the peer's manifest
    /// if it is newer.
    HeartbeatReply handleHeartbeat(const Heartbeat& heartbeat);

    /// Adopts a view read from the store if its epoch is higher than the current one. Entries that are not a view are
    /// ignored.
    void handleStoredView(const StoreEntry& entry);

private:
    void run();
    void tick();
    void tryToJoin();
    /// Whether any member of the known view can be reached, or the view is empty.
    bool mayRejoin();
    /// Adopts the views and manifests of the VMs that the settings name as seeds.
    void querySeeds();
    void sendHeartbeat(const Member& peer);
    void removeDeadPeer(const Member& peer);
    void leaveView();
    /// Reads the stored view, applies `change` and writes the result by compare-and-swap, with retries. True if the
    /// change was stored and adopted here. A `change` that returns the same epoch writes nothing.
    bool changeView(const std::function<View(const View&)>& change);
    std::string viewKey() const;

    ServiceContext& m_context;
    ClaimsService* m_claims = nullptr;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::map<VmId, int> m_missedHeartbeats;
    bool m_hasJoined = false;
    /// Recent removals of this VM by its peers. Determines the delay before it joins again.
    int m_removals = 0;
    TimePoint m_nextStoreAttempt {};
    TimePoint m_lastJoin {};
    std::thread m_thread;
};

} // namespace egrettrestle
