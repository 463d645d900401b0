#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <egrettrestle/decision/claim.hpp>

namespace egrettrestle {

/// The rules of the claim protocol that can be disabled, numbered as in docs/DESIGN.md. The model check disables them one
/// at a time; the daemon has all of them enabled.
struct ClaimRules {
    /// Rule 1: an acknowledgement is valid only in the epoch in which it was requested.
    bool sameEpochAcknowledgement = true;
    /// Rule 2: a tentative claim is reported as `AlreadyClaimed` to every VM but its own holder.
    bool tentativeBlocksOthers = true;
    /// Rule 3: the backup keeps the holder that was recorded first.
    bool firstHolderWins = true;
    /// Rule 4: messages addressed to another incarnation are rejected.
    bool checkIncarnation = true;
    /// Rule 5: a VM's records of a bucket are complete only for epochs in which it was one of the bucket's replicas, or
    /// through a handover.
    bool completeness = true;
    /// Rule 6: a view with a lower epoch is never adopted.
    bool monotonicEpochs = true;
    /// Rule 8: a resignation is valid only in its own epoch.
    bool resignationBoundToEpoch = true;
    /// Rule 9: a VM that replaces a replica that has resigned has complete records only if the view itself made it one of
    /// the bucket's replicas.
    bool substituteIsIncomplete = true;
};

/// Result of the first phase of a claim request at the primary: either a final reply, or a record that the backup must
/// acknowledge first.
struct ClaimStep {
    std::optional<ClaimReply> reply;
    std::optional<RecordRequest> record;
    /// The VM to send `record` to.
    VmId backup;
};

/// The claims that one VM stores as primary or backup, and the protocol by which it grants them. Does no I/O and reads
/// no clock; not thread-safe. Calls report failure in their return value and throw nothing of their own.
class ClaimLedger {
public:
    /// @name constructors
    /// @{

    /// Creates an empty ledger for one VM. A claim expires after `window`. Records that are incomplete count as complete
    /// again after `window`, because every claim that may be missing has expired by then.
    explicit ClaimLedger(VmId self, Duration window, ClaimRules rules = {});

    /// @}
    /// @name views
    /// @{

    /// Registers the member that this process is about to write into a view. Only registered incarnations count as this
    /// process's own: one that an earlier process with the same id left in a view had claims that are lost (rule 4).
    void registerJoinAttempt(const Member& self);

    /// Adopts a view with a higher epoch, and updates from which epoch on each bucket's records are complete (rule 5).
    /// Returns false, and changes nothing, for a lower or equal epoch. Linear in buckets times epochs skipped.
    bool adoptView(const View& view, TimePoint now);

    /// Excludes an incarnation from the replicas for the rest of `epoch`, because it has stopped granting claims. Returns
    /// false, and changes nothing, if the epoch is not the current one or the view has no such member.
    bool acceptResignation(Epoch epoch, Incarnation resigner);

    /// Stops this VM from granting and recording claims, for good.
    void resign() { m_resigned = true; }

    /// Sets the lifetime of claims that are recorded from now on.
    void setClaimWindow(Duration window) { m_window = window; }

    const View& view() const { return m_view; }
    Epoch epoch() const { return m_view.epoch; }

    /// This VM's incarnation in the current view; 0 if it is not a member.
    Incarnation incarnation() const { return m_incarnation; }

    /// The replicas of a bucket in the current view, chosen among the members that have not resigned.
    ReplicaPair replicas(Bucket bucket) const;

    /// @}
    /// @name claims
    /// @{

    /// Processes a request as the primary, or a lookup as either replica. Returns a reply, or a record that the caller must
    /// send to the backup; finish() then takes the backup's reply. A request with another epoch or addressee is answered
    /// with `Stale`.
    ClaimStep begin(const ClaimRequest& request, Epoch epoch, Incarnation addressee, TimePoint now);

    /// Completes a request with the backup's reply to the record that begin() returned in `epoch`. A default-constructed
    /// reply stands for a backup that did not reply.
    ClaimReply finish(const ClaimRequest& request, Epoch epoch, const RecordRequest& record, const RecordReply& reply, TimePoint now);

    /// Records a claim as the backup. Returns `Stale` for another epoch or addressee, `Existing` if it stores a conflicting
    /// claim, and `Incomplete` if neither replica's records are complete for the submission's age.
    RecordReply record(const RecordRequest& request, Epoch epoch, Incarnation addressee, TimePoint now);

    /// @}
    /// @name handover
    /// @{

    /// The handovers for replicas of the current view that may lack claims which this VM has. Call after adoptView().
    std::vector<OutgoingHandover> handovers(TimePoint now) const;

    /// Records that a VM has accepted a handover, so that it is not sent again. Ignored if the epoch has changed since.
    void recordDelivery(const Handover& handover, Incarnation receiver);

    /// Merges the claims of a handover, and with them how far back the records of the bucket are complete. If its epoch is
    /// not the current one, merges only the claims and returns false.
    bool acceptHandover(const Handover& handover, Incarnation sender, TimePoint now);

    /// All claims that this VM stores, to be sent to the other members on resignation.
    std::vector<Claim> claims() const;

    /// Merges a claim received from another VM: the higher generation wins, then the later state. Ignores expired claims.
    void merge(const Claim& claim, TimePoint now);

    /// @}
    /// @name capacity
    /// @{

    /// Removes expired claims. Linear in the number of claims stored.
    void expire(TimePoint now);

    std::size_t size() const { return m_claims.size(); }

    /// The number of buckets of which this VM is a replica in the current view without complete records.
    std::size_t incompleteBuckets(TimePoint now) const;

    /// The epoch from which on this VM has every claim of a bucket; 0 if it has all unexpired ones. Never later than the
    /// current epoch for a replica of the view; the maximum value for any other VM.
    Epoch completeFrom(Bucket bucket, TimePoint now) const;

    /// @}

private:
    /// How complete this VM's records of one bucket are.
    struct Coverage {
        Epoch completeFrom;
        /// When all claims that may be missing have expired.
        TimePoint incompleteUntil;
        /// Whether this VM was a replica of the bucket in every epoch between its previous view and the current one.
        bool replicaThroughout = false;
        /// Incarnations that have all of this VM's claims of the bucket.
        std::set<Incarnation> synchronised;
    };

    bool isComplete(Epoch completeFrom, const ClaimRequest& request) const;
    bool acceptsRequest(Epoch epoch, Incarnation addressee) const;
    bool isThisProcess(const Member& member) const;
    Claim* find(const SubmissionKey& key, TimePoint now);
    ClaimReply existingClaimReply(const Claim& claim, const ClaimRequest& request) const;
    ClaimStep beginLookup(const ClaimRequest& request, TimePoint now);
    ClaimStep beginRelease(const ClaimRequest& request, TimePoint now);
    ClaimStep beginClaim(const ClaimRequest& request, TimePoint now);
    ClaimStep recordAtBackup(const ClaimRequest& request, const Claim& claim, TimePoint now);
    ClaimReply adoptExisting(const ClaimRequest& request, const Claim& existing, TimePoint now);
    bool wasReplicaThroughout(const View& next, Bucket bucket) const;
    void updateCoverage(const View& next, Bucket bucket, TimePoint now);
    void updateReplicas();

    VmId m_self;
    Duration m_window;
    ClaimRules m_rules;
    View m_view;
    Incarnation m_incarnation;
    /// Peer addresses of the members that this process has tried to add to a view.
    std::map<Incarnation, std::string> m_joinAttempts;
    bool m_resigned = false;
    std::set<Incarnation> m_resignations;
    std::array<Coverage, bucketCount> m_coverage {};
    /// Replicas of each bucket among all members of the view.
    std::vector<ReplicaPair> m_viewReplicas;
    /// Replicas of each bucket among the members that have not resigned.
    std::vector<ReplicaPair> m_activeReplicas;
    std::unordered_map<SubmissionKey, Claim> m_claims;
};

} // namespace egrettrestle
