#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <egrettrestle/services/claims_service.hpp>
#include <egrettrestle/services/node.hpp>
#include <egrettrestle/store/store.hpp>
#include <egrettrestle/wire/peer_messages.hpp>

namespace egrettrestle {

/// Joins this VM to the view of its data centre, watches a few peers by heartbeats, removes those that are dead, and
/// leaves at a planned stop. Every change of the view is a compare-and-swap in the platform's store.
class MembershipService : public KernelService {
public:
    explicit MembershipService(Node& node);
    ~MembershipService() override;

    std::string name() const override { return serviceNames::membership; }
    absl::Status start() override;
    /// Leaves the view and hands the claims over.
    void stop() override;

    /// Handles a heartbeat of a peer.
    HeartbeatReply answerHeartbeat(const Heartbeat& heartbeat);

    /// Takes a view that the store or a peer shows; a lower one in the store is repaired.
    void noteStoredView(const StoreEntry& entry);

private:
    void run();
    void tick();
    void tryToJoin();
    bool mayRejoin();
    void learnFromSeeds();
    void beat(const Member& peer);
    void removeDead(const Member& peer);
    void leave();
    /// Reads the stored view, changes it and swaps it in. True if the change is in the store, and adopted here.
    bool changeView(const std::function<View(const View&)>& change);
    std::string viewKey() const;

    Node& m_node;
    ClaimsService* m_claims = nullptr;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::map<VmId, int> m_missed;
    bool m_everJoined = false;
    int m_removals = 0;
    TimePoint m_nextStoreTry {};
    TimePoint m_lastJoin {};
    std::thread m_thread;
};

} // namespace egrettrestle
