#pragma once

#include <cstdint>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// How far a claim has come. Later states outrank earlier ones of the same generation.
enum class ClaimState : std::uint8_t {
    /// Recorded by a registrar; its mirror has not acknowledged it yet.
    Tentative,
    /// Acknowledged by both memories: the holder may have started.
    Acknowledged,
    /// Given back by its holder, which has not started and never will.
    Released,
};

/// The right of one VM to run one submission. Fixed size, no texts.
struct Claim {
    SubmissionKey key;
    std::uint64_t bodyDigest = 0;
    Incarnation holder;
    TimePoint expiry;
    /// 1 for the first holder; one more each time a released claim is taken up again.
    std::uint8_t generation = 1;
    ClaimState state = ClaimState::Tentative;
};

/// How often a submission may be claimed: once, and once again after a release.
inline constexpr std::uint8_t generationLimit = 2;

/// What an executor wants of a registrar.
enum class ClaimRequestKind : std::uint8_t {
    /// The right to run a submission.
    Claim,
    /// Whether a submission is known, without claiming it.
    Lookup,
    /// To give a claim back that was not used.
    Release,
};

/// A question to a registrar, or, for lookups, to either holder.
struct ClaimRequest {
    ClaimRequestKind kind = ClaimRequestKind::Claim;
    SubmissionKey key;
    std::uint64_t bodyDigest = 0;
    /// The VM that asks.
    Incarnation executor;
    /// The epoch in which the caller first sent the submission; 0 if it does not say.
    Epoch firstSent;
};

/// What a claim question came to.
enum class ClaimOutcome : std::uint8_t {
    /// The asker holds the claim now. Only this, or `Known` with the asker as holder of an acknowledged claim, may lead
    /// to a start.
    Granted,
    /// Somebody holds it: `holder` and `state` say who and how far.
    AlreadyClaimed,
    /// The submission is known with another body.
    Conflict,
    /// A lookup found no record, and the memory asked is whole for its epoch. That nothing ran is certain only once the
    /// other holder, or the store's view, is seen at the same epoch afterwards: a VM may have been removed unawares.
    NotFound,
    /// No record, but knowledge does not reach back far enough.
    Indeterminate,
    /// The epochs or incarnations differ; the asker compares views and asks again.
    Stale,
    /// The mirror did not answer. Nothing is granted.
    Unavailable,
};

/// The answer to a claim question.
struct ClaimReply {
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    Incarnation holder;
    ClaimState state = ClaimState::Tentative;
    /// With `Unavailable`: the registrar is whole and holds nothing but this asker's own tentative record. As with
    /// `Absent`, certain only once the view is confirmed.
    bool neverRan = false;
};

/// A registrar's question to its mirror.
struct RecordRequest {
    Claim claim;
    Epoch firstSent;
    /// The epoch from which the registrar's own knowledge is whole.
    Epoch primaryCompleteFrom;
};

/// What a mirror says to a record.
enum class RecordOutcome : std::uint8_t {
    Acknowledged,
    /// The mirror holds another claim, which `existing` gives.
    Existing,
    /// Neither memory is whole for the age of the submission.
    Incomplete,
    Stale,
    /// No reply came.
    NoReply,
};

struct RecordReply {
    RecordOutcome outcome = RecordOutcome::NoReply;
    Claim existing;
};

/// The claims of one bucket, handed to a VM that has become one of its holders.
struct Handover {
    Epoch epoch;
    Bucket bucket = 0;
    /// The sender knows every grant from this epoch on.
    Epoch completeFrom;
    std::vector<Claim> claims;
};

/// One hand-over and the VM it goes to.
struct OutgoingHandover {
    VmId receiver;
    Handover handover;
};

} // namespace egrettrestle
