#pragma once

#include <cstdint>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// State of a claim. When two records of the same generation are merged, the later state wins.
enum class ClaimState : std::uint8_t {
    /// Recorded by the primary; the backup has not acknowledged it yet.
    Tentative,
    /// Recorded by the primary and the backup: the holder may have started the submission.
    Acknowledged,
    /// Released by its holder, which has not started the submission and never will.
    Released,
};

/// The exclusive right of one VM to run one submission. Has a fixed size and no strings, so that each claim takes the
/// same memory.
struct Claim {
    SubmissionKey key;
    /// Digest of the submission's body; tells two jobs under one submission id apart.
    std::uint64_t bodyDigest = 0;
    /// The VM that may run the submission.
    Incarnation holder;
    TimePoint expiry;
    /// 1 for the first holder; incremented each time a released claim is acquired again.
    std::uint8_t generation = 1;
    ClaimState state = ClaimState::Tentative;
};

/// Highest generation of a claim: a submission may be claimed once, and once more after a release.
inline constexpr std::uint8_t generationLimit = 2;

/// Operation that an executor requests for a submission.
enum class ClaimRequestKind : std::uint8_t {
    /// Acquires the right to run the submission.
    Claim,
    /// Reads the claim, if any, without acquiring it.
    Lookup,
    /// Gives back a claim whose submission was not started.
    Release,
};

/// Request to the primary of a submission's bucket. A lookup may also go to the backup.
struct ClaimRequest {
    ClaimRequestKind kind = ClaimRequestKind::Claim;
    SubmissionKey key;
    /// Digest of the submission's body.
    std::uint64_t bodyDigest = 0;
    /// The VM that sends the request.
    Incarnation executor;
    /// The epoch in which the caller first sent the submission; 0 if the caller did not state one.
    Epoch firstSent;
};

/// Outcome of a claim request.
enum class ClaimOutcome : std::uint8_t {
    /// The requester holds the claim now. It may start the submission only after this outcome, or after `AlreadyClaimed` with
    /// an acknowledged claim whose holder is the requester.
    Granted,
    /// A claim exists; `holder` and `state` describe it.
    AlreadyClaimed,
    /// A claim exists for the same submission with another body.
    Conflict,
    /// Release: the claim is released, or none was recorded. Lookup: no claim is recorded, and the records of the replica
    /// asked are complete for the submission's age. The requester may conclude that the submission never ran only if
    /// afterwards the other replica, or the view in the store, confirms the same epoch: the replica may have been removed
    /// from the view without knowing it yet.
    NotFound,
    /// No claim is recorded, but the records do not reach back to the submission's first epoch.
    Indeterminate,
    /// The epochs or incarnations differ; the requester must compare views and repeat the request.
    Stale,
    /// The backup did not reply. Nothing is granted.
    Unavailable,
};

/// Reply to a claim request.
struct ClaimReply {
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    Incarnation holder;
    ClaimState state = ClaimState::Tentative;
    /// Set with `Unavailable` if the primary's records are complete and contain only this requester's own tentative claim.
    /// As with `NotFound`, valid only once the view is confirmed.
    bool neverRan = false;
};

/// Request of the primary to the backup to record a claim.
struct RecordRequest {
    Claim claim;
    /// As in the claim request.
    Epoch firstSent;
    /// The epoch from which the primary's own records are complete.
    Epoch primaryCompleteFrom;
};

/// Outcome of a request to record a claim at the backup.
enum class RecordOutcome : std::uint8_t {
    /// The backup has recorded the claim.
    Acknowledged,
    /// The backup holds a conflicting claim, which `existing` contains.
    Existing,
    /// The records of neither replica reach back to the submission's first epoch.
    Incomplete,
    /// The epochs or incarnations differ.
    Stale,
    /// The backup did not reply.
    NoReply,
};

/// Reply of the backup to a request to record a claim.
struct RecordReply {
    RecordOutcome outcome = RecordOutcome::NoReply;
    /// Set with `Existing`.
    Claim existing;
};

/// The claims of one bucket, sent to a VM that has become one of the bucket's replicas.
struct Handover {
    /// The sender's epoch.
    Epoch epoch;
    Bucket bucket = 0;
    /// The sender's records are complete from this epoch on.
    Epoch completeFrom;
    std::vector<Claim> claims;
};

/// A handover and the VM that it must be sent to.
struct OutgoingHandover {
    VmId receiver;
    Handover handover;
};

} // namespace egrettrestle
