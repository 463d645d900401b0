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

/// The rules of docs/DESIGN.md that the model check can switch off one at a time. All are on in the daemon.
struct ClaimRules {
    /// Rule 1: an acknowledgement counts only in the epoch in which it was asked.
    bool sameEpochAcknowledgement = true;
    /// Rule 2: a tentative record answers `Known` to anybody but its own holder.
    bool tentativeBlocksOthers = true;
    /// Rule 3: a submission keeps the holder that is recorded first.
    bool firstHolderWins = true;
    /// Rule 4: messages for another incarnation are refused.
    bool checkIncarnation = true;
    /// Rule 5: a VM is whole only for epochs in whose pair it was, or by a hand-over.
    bool completeness = true;
    /// Rule 6: a lower epoch is never adopted.
    bool monotonicEpochs = true;
    /// Rule 8: a resignation counts only in its own epoch.
    bool resignationBoundToEpoch = true;
    /// Rule 9: a VM that steps in after resignations is whole only if it was in the epoch's own pair.
    bool substituteIsIncomplete = true;
};

/// What a registrar does with a claim question: answer at once, or ask its mirror first.
struct ClaimStep {
    std::optional<ClaimReply> reply;
    std::optional<RecordRequest> record;
    /// Set with `record`.
    VmId backup;
};

/// One VM's memory of claims and the rules by which it grants them. Pure: no sockets, no threads, no clock. Calls
/// must not overlap. A call that changes nothing says so in its answer; there are no other errors.
class ClaimLedger {
public:
    /// @name constructors
    /// @{

    /// An empty memory for one VM. Claims, and doubt about claims lost, last for `window`.
    explicit ClaimLedger(VmId self, Duration window, ClaimRules rules = {});

    /// @}
    /// @name views
    /// @{

    /// Notes the member that this process is about to write into a view. Only such an incarnation counts as its own: one
    /// that an earlier process of the same id left in a view had a memory that is gone (rule 4).
    void registerJoinAttempt(const Member& self);

    /// Adopts a view with a higher epoch; a lower or equal one changes nothing and gives false. Wholeness follows
    /// rule 5. Linear in buckets times epochs passed over.
    bool adoptView(const View& view, TimePoint now);

    /// Notes that an incarnation grants nothing any more in `epoch`, so the others go on without it. Gives false, and
    /// changes nothing, unless the epoch is the present one.
    bool acceptResignation(Epoch epoch, Incarnation resigner);

    /// Ends this VM's part: from here on it grants and records nothing.
    void resign() { m_resigned = true; }

    /// Changes how long claims made from now on are kept.
    void setClaimWindow(Duration window) { m_window = window; }

    const View& view() const { return m_view; }
    Epoch epoch() const { return m_view.epoch; }

    /// This VM's incarnation in the present view, 0 if it is not a member.
    Incarnation incarnation() const { return m_incarnation; }

    /// The holders of a bucket at the present epoch, without those that have resigned.
    ReplicaPair replicas(Bucket bucket) const;

    /// @}
    /// @name claims
    /// @{

    /// Takes up a question as registrar (or, for lookups, as any holder).
    ClaimStep begin(const ClaimRequest& request, Epoch epoch, Incarnation addressee, TimePoint now);

    /// Ends a question with the mirror's answer to the record asked in `epoch`.
    ClaimReply finish(const ClaimRequest& request, Epoch epoch, const RecordRequest& record, const RecordReply& answer, TimePoint now);

    /// Takes a record as mirror.
    RecordReply record(const RecordRequest& request, Epoch epoch, Incarnation addressee, TimePoint now);

    /// @}
    /// @name hand-over
    /// @{

    /// What goes to VMs that hold a bucket now and may not know what this VM knows of it. Call after adoptView.
    std::vector<OutgoingHandover> handovers(TimePoint now) const;

    /// Notes that a VM has taken a hand-over, so that it need not get it again.
    void recordDelivery(const Handover& handover, Incarnation receiver);

    /// Takes a hand-over. False, and nothing but the claims taken, unless its epoch is the present one.
    bool acceptHandover(const Handover& handover, Incarnation sender, TimePoint now);

    /// Every claim this VM knows, for a resignation.
    std::vector<Claim> claims() const;

    /// Merges claims learned from elsewhere: the highest generation wins, then the furthest state.
    void merge(const Claim& claim, TimePoint now);

    /// @}
    /// @name capacity
    /// @{

    /// Forgets expired claims and expired doubt. Linear in the claims held.
    void expire(TimePoint now);

    std::size_t size() const { return m_claims.size(); }

    /// How many buckets this VM holds without knowing all their grants.
    std::size_t incompleteBuckets(TimePoint now) const;

    /// The epoch from which this VM knows every grant of a bucket; it is never past the present epoch for a holder.
    Epoch completeFrom(Bucket bucket, TimePoint now) const;

    /// @}

private:
    struct Knowledge {
        Epoch wholeFrom;
        TimePoint doubtEnds;
        /// Was this VM a holder of the bucket in every epoch up to the present one?
        bool heldBefore = false;
        /// Incarnations that know all that this VM knows of the bucket.
        std::set<Incarnation> informed;
    };

    bool isWhole(Epoch wholeFrom, const ClaimRequest& request) const;
    bool isCurrent(Epoch epoch, Incarnation addressee) const;
    bool isOwn(const Member& member) const;
    Claim* find(const SubmissionKey& key, TimePoint now);
    ClaimReply knownAnswer(const Claim& claim, const ClaimRequest& request) const;
    ClaimStep beginLookup(const ClaimRequest& request, TimePoint now);
    ClaimStep beginRelease(const ClaimRequest& request, TimePoint now);
    ClaimStep beginClaim(const ClaimRequest& request, TimePoint now);
    ClaimStep recordAtMirror(const ClaimRequest& request, const Claim& claim, TimePoint now);
    ClaimReply adoptExisting(const ClaimRequest& request, const Claim& existing, TimePoint now);
    bool wasHolderThrough(const View& next, Bucket bucket) const;
    void carryOver(const View& next, Bucket bucket, TimePoint now);
    void refreshPairs();

    VmId m_self;
    Duration m_window;
    ClaimRules m_rules;
    View m_view;
    Incarnation m_incarnation;
    std::map<Incarnation, std::string> m_announced;
    bool m_resigned = false;
    std::set<Incarnation> m_resignations;
    std::array<Knowledge, bucketCount> m_knowledge {};
    std::vector<ReplicaPair> m_ownPairs;
    std::vector<ReplicaPair> m_pairs;
    std::unordered_map<SubmissionKey, Claim> m_claims;
};

} // namespace egrettrestle
