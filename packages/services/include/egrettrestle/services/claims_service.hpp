#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <egrettrestle/decision/claim_ledger.hpp>
#include <egrettrestle/services/batcher.hpp>
#include <egrettrestle/services/service_context.hpp>
#include <egrettrestle/wire/peer_messages.hpp>

namespace egrettrestle {

/// Owns this VM's membership view and claim ledger. A claim is the right of one VM, its holder, to run a submission. It
/// is stored by two replicas: the primary decides requests for it, the backup acknowledges the primary's records.
/// Obtains claims from their replicas, and serves the claim, record and hand-over requests of other VMs. The public
/// functions are thread-safe.
class ClaimsService : public KernelService {
public:
    explicit ClaimsService(ServiceContext& context);
    ~ClaimsService() override;

    std::string name() const override { return serviceNames::claims; }
    absl::Status start() override;
    void stop() override;

    /// @name views
    /// @{
    View view() const;
    Epoch epoch() const;
    Incarnation incarnation() const;
    /// Whether this process has, or has had, the incarnation.
    bool isOwn(Incarnation incarnation) const;
    /// Records the member entry that this process is about to write to the stored view. Only an incarnation recorded
    /// here counts as its own; one that an earlier process left under the same VM id does not.
    void registerJoinAttempt(const Member& self);
    /// Adopts a view with a higher epoch than the current one, and queues the hand-overs that it requires. Returns
    /// whether it was adopted.
    bool adoptView(const View& view);
    /// Sets the function that is called after each adopted view, in the order of the epochs. No lock of the ledger is
    /// held during the call. Must be set before start().
    void onViewChange(std::function<void(const View&)> listener);
    /// Brings this VM and a peer to the newer of their two views: fetches the peer's view if `peerEpoch` is higher than
    /// this VM's epoch, sends this VM's view to the peer if it is lower. Errors are ignored; a later heartbeat retries.
    void synchroniseView(const std::string& peerAddress, Epoch peerEpoch);
    /// Sets how long claims made from now on are kept.
    void setClaimWindow(Duration window);
    /// @}
    /// @name requests of this VM
    /// @{

    /// Sends a claim or release request to the primary of its key and retries until the outcome is final or the
    /// deadline is near. Returns the last reply; a `Stale` one is returned as `Unavailable`.
    ClaimReply callPrimary(ClaimRequest request, TimePoint deadline);
    /// Looks a submission up at its primary and its backup, and retries until the deadline. `NotFound` is definite:
    /// either both answered in the same epoch, or one answered and the store confirmed that epoch afterwards.
    /// `Unavailable` if too few of the replicas could be reached in time for a definite result.
    ClaimReply lookUp(ClaimRequest request, TimePoint deadline);
    /// Whether the view in the store has this epoch, as read after the start of the call. False if the store cannot be
    /// read.
    bool epochIsCurrent(Epoch epoch);
    /// @}
    /// @name requests of other VMs
    /// @{
    /// Decides the claim requests of a batch as their primary. May wait for the backups.
    ClaimBatchReply handleClaims(const ClaimBatch& batch);
    /// Records the claims of a batch as their backup.
    RecordBatchReply handleRecords(const RecordBatch& batch);
    /// Merges handed-over claims into the ledger. False if the batch is addressed to another incarnation or one of its
    /// hand-overs belongs to another epoch; the sender then retries.
    bool acceptHandovers(const HandoverBatch& batch);
    /// Merges the claims of a VM that has resigned and, if the resignation belongs to the current epoch, stops using
    /// that VM as a replica.
    void acceptResignation(const Resignation& resignation);
    /// @}

    /// Stops granting claims for good, and notifies every other member, with all claims that this VM knows. For a stop
    /// while the store is unreachable, when this VM cannot be removed from the view.
    void resign();

    /// Waits until every queued hand-over has been delivered or abandoned. False if the deadline passes first.
    bool waitForHandovers(TimePoint deadline);

private:
    using ClaimBatcher = Batcher<ClaimRequest, ClaimReply>;
    using RecordBatcher = Batcher<RecordRequest, RecordReply>;

    /// The batchers for one peer. Created anew for each epoch, so that a batch never mixes epochs.
    struct Channels {
        Member peer;
        std::unique_ptr<ClaimBatcher> claims;
        std::unique_ptr<RecordBatcher> records;
    };

    /// The replicas of a key together with the epoch they belong to, read from the ledger under one lock.
    struct ReplicaSnapshot {
        ReplicaPair replicas;
        Epoch epoch;
        Incarnation self;
        TimePoint viewAdoptedAt;
    };

    ReplicaSnapshot currentReplicas(const SubmissionKey& key) const;
    /// The channels to a peer, created on first use. Null if the epoch has passed or the peer is not a member.
    std::shared_ptr<Channels> channels(const VmId& peer, Epoch epoch);
    /// Sends one batch to a peer. If there is no valid reply, every answer is `Unavailable`.
    std::vector<ClaimReply> sendClaims(const Member& peer, Epoch epoch, const std::vector<ClaimRequest>& requests);
    /// Sends one batch to a peer. If there is no valid reply, every answer is `NoReply`.
    std::vector<RecordReply> sendRecords(const Member& peer, Epoch epoch, const std::vector<RecordRequest>& requests);
    /// Decides requests with the ledger, after recording the claims at their backups where the ledger requires it.
    std::vector<ClaimReply> decideAsPrimary(const std::vector<ClaimRequest>& requests, Epoch epoch, Incarnation receiver);
    /// Makes one attempt of lookUp() within one epoch.
    ClaimReply lookUpOnce(const ReplicaPair& replicas, Epoch epoch, const ClaimRequest& request);
    /// Sends a request to one replica, which may be this VM. `Stale` if the epoch has passed.
    ClaimReply callReplica(const VmId& replica, Epoch epoch, const ClaimRequest& request);
    PeerHeader header(Epoch epoch, Incarnation receiver) const;
    /// Sends a message to a peer and counts it in the metrics under `use`, as wasted unless the peer replies 200.
    HttpResult post(const Member& peer, const std::string& path, const std::string& body, const char* use, Milliseconds timeout);
    void runHandovers();
    /// Sends hand-overs to a VM in batches, with retries. False if they were abandoned: the view has changed, the
    /// service stops, or all attempts failed.
    bool deliver(const VmId& receiver, const std::vector<Handover>& handovers);
    void runExpiry();

    ServiceContext& m_context;
    mutable std::mutex m_mutex;
    ClaimLedger m_ledger;
    std::set<Incarnation> m_ownIncarnations;
    TimePoint m_viewAdoptedAt {};
    Epoch m_incompleteLoggedEpoch;
    std::map<VmId, std::shared_ptr<Channels>> m_channels;
    std::function<void(const View&)> m_listener;
    std::mutex m_adoptMutex;

    std::mutex m_handoverMutex;
    std::condition_variable m_handoverChanged;
    std::map<VmId, std::vector<Handover>> m_pendingHandovers;
    bool m_delivering = false;
    std::atomic<bool> m_stopping { false };
    std::thread m_handoverThread;
    std::thread m_expiryThread;
};

} // namespace egrettrestle
