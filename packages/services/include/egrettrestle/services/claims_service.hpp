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
#include <egrettrestle/services/node.hpp>
#include <egrettrestle/wire/peer_messages.hpp>

namespace egrettrestle {

/// Holds this VM's view and its ledger of claims, asks other VMs for claims and answers theirs.
class ClaimsService : public KernelService {
public:
    explicit ClaimsService(Node& node);
    ~ClaimsService() override;

    std::string name() const override { return serviceNames::claims; }
    absl::Status start() override;
    void stop() override;

    /// @name views
    /// @{
    View view() const;
    Epoch epoch() const;
    Incarnation incarnation() const;
    /// Whether an incarnation is, or was, this process's.
    bool isOwn(Incarnation incarnation) const;
    /// Notes the member that this process is about to write into a view.
    void announceJoin(const Member& self);
    /// Adopts a view if its epoch is higher, and hands claims over as it asks. True if it was adopted.
    bool adoptView(const View& view);
    /// Called after each adopted view, without any lock held. Set before start.
    void onViewChange(std::function<void(const View&)> listener);
    /// Gets the other side's view, or gives it ours, whichever is older.
    void compareViews(const std::string& peerAddress, Epoch theirs);
    void setWindow(Duration window);
    /// @}
    /// @name executor's side
    /// @{

    /// Asks for a claim until there is a verdict or the time is over; then the verdict is `Unavailable`.
    ClaimReply ask(ClaimRequest request, TimePoint deadline);
    /// What the two holders know of a submission. `Absent` is certain: either both of them answered at one epoch, or one
    /// did and the store confirmed the epoch afterwards. `Unavailable` if neither could be had in time.
    ClaimReply lookUp(ClaimRequest request, TimePoint deadline);
    /// Whether the store shows this VM's epoch as the present one, read after the call began.
    bool epochIsCurrent(Epoch epoch);
    /// @}
    /// @name other VMs' side
    /// @{
    ClaimBatchReply answerClaims(const ClaimBatch& batch);
    RecordBatchReply answerRecords(const RecordBatch& batch);
    bool acceptHandovers(const HandoverBatch& batch);
    void acceptResignation(const Resignation& resignation);
    /// @}

    /// Grants nothing from now on, and tells every other member so with all claims.
    void resign();

    /// Waits until every hand-over has been delivered or given up. False if the time ran out first.
    bool finishHandovers(TimePoint deadline);

private:
    using ClaimBatcher = Batcher<ClaimRequest, ClaimReply>;
    using RecordBatcher = Batcher<RecordRequest, RecordReply>;

    /// The channels to one peer. They belong to one epoch, so that a batch never mixes epochs.
    struct Channels {
        Member peer;
        std::unique_ptr<ClaimBatcher> claims;
        std::unique_ptr<RecordBatcher> records;
    };

    /// Who holds a key, as one look at the ledger shows it.
    struct HolderSnapshot {
        ReplicaPair holders;
        Epoch epoch;
        Incarnation self;
        TimePoint viewAdopted;
    };

    HolderSnapshot holdersNow(const SubmissionKey& key) const;
    std::shared_ptr<Channels> channels(const VmId& peer, Epoch epoch);
    std::vector<ClaimReply> sendClaims(const Member& peer, Epoch epoch, const std::vector<ClaimRequest>& requests);
    std::vector<RecordReply> sendRecords(const Member& peer, Epoch epoch, const std::vector<RecordRequest>& requests);
    std::vector<ClaimReply> decideAsRegistrar(const std::vector<ClaimRequest>& requests, Epoch epoch, Incarnation addressee);
    ClaimReply lookUpOnce(const ReplicaPair& holders, Epoch epoch, const ClaimRequest& request);
    ClaimReply askHolder(const VmId& holder, Epoch epoch, const ClaimRequest& request);
    PeerHeader header(Epoch epoch, Incarnation addressee) const;
    HttpResult post(const Member& peer, const std::string& path, const std::string& body, const char* use, Milliseconds timeout);
    void runHandovers();
    bool deliver(const VmId& receiver, const std::vector<Handover>& handovers);
    void runExpiry();

    Node& m_node;
    mutable std::mutex m_mutex;
    ClaimLedger m_ledger;
    std::set<Incarnation> m_ownIncarnations;
    TimePoint m_viewAdopted {};
    Epoch m_doubtReported;
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
