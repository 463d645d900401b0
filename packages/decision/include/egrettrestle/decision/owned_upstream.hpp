#pragma once

#include <map>
#include <optional>
#include <set>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/upstream_orders.hpp>

namespace egrettrestle {

/// Time limits and factors for the decisions of an UpstreamOwner.
struct OwnerLimits {
    /// Duration of a lease from the time it is granted; at most the longest lease that the platform allows.
    Milliseconds leaseDuration { 600 };
    /// The longest lease that the platform allows. An upstream may have been asked for it by the clock of an earlier process.
    Milliseconds longestLease { 1'000 };
    /// How long the upstream may wait for a run to end before it replies to a regular poll. It is short enough for
    /// several polls within a lease.
    Milliseconds pollWait { 200 };
    /// The runs of an executor without contact for this long are stopped. It is short enough for them to end before the
    /// executor's callers submit their jobs again.
    Milliseconds executorTimeout { 600 };
    /// A regular poll without a reply for this long after its wait is repeated on another connection, so that one lost
    /// poll does not delay the detection of run ends.
    Milliseconds pollReplyTimeout { 40 };
    /// How long runs found at a newly owned upstream are kept for their executors to claim them.
    Milliseconds claimGracePeriod { 300 };
    /// Maximum time between the acceptance of a stop and its effect at the upstream.
    Milliseconds maxStopDuration { 50 };
    /// Time after the end of a lease until all runs under it are considered ended; allows for timers and delivery.
    Milliseconds leaseExpiryMargin { 60 };
    /// Fraction by which an upstream's clock may be slower than this VM's.
    double clockDrift = 0.02;
    /// A run must have ended this long after the last time at which its executor is known to have wanted it, since its callers
    /// may have left right after that and submit their job to another VM.
    Milliseconds orphanedRunLimit { 1'050 };
    /// An upstream without a successful poll for this long gets no new runs.
    Milliseconds upstreamTimeout { 450 };
    /// A run is considered hanging after its expected duration times this factor, plus the allowance.
    double hangFactor = 3;
    Milliseconds hangAllowance { 250 };
    /// Initial and maximum pause of an upstream whose runs fail or hang, or that cannot execute a start; doubled each
    /// time.
    Milliseconds initialPause { 400 };
    Milliseconds maxPause { 6'000 };
    /// Number of consecutive failed runs after which an upstream is paused.
    int failuresBeforePause = 3;
    /// How long ended and released runs are remembered for claims and withdrawals that arrive later.
    Milliseconds endedRunRetention { 5'000 };
    /// How long a claim is kept that arrives before this VM knows that it owns the upstream.
    Milliseconds earlyClaimTimeout { 1'500 };
    /// Share of the owned upstreams of a service, but at least one, that may be down after crashes or kept for a task that
    /// must be alone, before such a task has to wait. The rest stays for the other tasks.
    double suspectShare = 0.25;
    /// Share of the owned upstreams of a service, but at least one, that a route may use, together with those that are down,
    /// while its tasks crash upstreams.
    double crashingRouteShare = 0.4;
    /// Factor on the duration of a task that runs outside the rack of its data.
    double remoteDataFactor = 1;

    /// The shortest lease with which a run is started. A run also gets what is left of a lease granted before, which may last
    /// longer by the rest of `leaseDuration`; with less than three fifths that could reach a second submission of its job.
    Milliseconds minStartLease() const { return leaseDuration * 3 / 5; }
};

/// Why a run is stopped.
enum class StopCause {
    /// Its executor withdrew it.
    Withdrawn,
    /// Its executor was lost or has restarted.
    ExecutorGone,
    /// It exceeded its expected duration by far.
    Hanging,
    /// No executor claimed it within the claim grace period.
    Unclaimed,
    /// Its start got no reply and no poll lists it.
    Unconfirmed,
};

enum class RunState {
    /// The start order was sent and is not confirmed.
    Starting,
    Running,
    Stopping,
};

/// A run at an upstream, as known to the upstream's owner.
struct OwnedRun {
    RunRequest request;
    /// Empty for a run that was found at the upstream and is not claimed, or whose executor has restarted.
    VmId executor;
    RunState state = RunState::Starting;
    /// Number of the decision to start it; 0 for a run that was found at the upstream.
    std::uint64_t placement = 0;
    /// Whether the start order has left this VM. Until then the run is certainly not running.
    bool startSent = false;
    StopCause stopCause = StopCause::Withdrawn;
    /// When the start order was decided or last sent, or the run was found at the upstream.
    TimePoint startSentAt;
    /// When the upstream confirmed the start.
    TimePoint confirmedAt;
    /// When a poll last listed the run as running.
    TimePoint lastListedAt;
    /// When the stop that the upstream has accepted takes effect. A poll sent later that does not list the run proves
    /// that it is gone.
    std::optional<TimePoint> stopAcceptedAt;
    /// Whether an extra poll was requested to prove that.
    bool absencePollRequested = false;
    TimePoint stopSentAt;
    /// When the run must have ended. The lease is not extended beyond this time until a stop is accepted.
    std::optional<TimePoint> endBy;
    /// Whether the outcome of the start order is unknown.
    bool unconfirmed = false;
    /// Whether the upstream has restarted since the order was sent, so that the order's lease does not end by its clock.
    bool sentToFormerIncarnation = false;
    /// For how long after `endBy` polls have shown it at work; empty if none that was sent after that time has listed it.
    std::optional<Milliseconds> shownPastEnd;
};

/// The token of orders under an epoch. It rises with each process of the upstream that the owner finds in that epoch, up to a
/// limit, and is always lower than the tokens of the next epoch.
FencingToken tokenOf(FencingToken epoch, std::uint64_t raises);

/// An upstream that this VM owns.
struct OwnedUpstream {
    /// What discovery says of the upstream. It describes the process that started at `info.startedAt`.
    UpstreamInfo info;
    /// When that was last changed.
    TimePoint describedAt;
    /// Unix time of the start of the process that the runs, the numbers of ends and the clock belong to: as discovery said first,
    /// and then as polls do. 0 if it is not known.
    Milliseconds startedAt { 0 };
    /// Whether a poll has said so.
    bool startPolled = false;
    /// Since when discovery and the polls have named different processes; empty if they name the same one.
    std::optional<TimePoint> outdatedSince;
    /// Epoch of the view under which it is owned.
    FencingToken epoch;
    /// Token of the orders that are sent now.
    FencingToken token;
    /// How often tokens had been raised in this epoch when this one was set.
    std::uint64_t tokenRaises = 0;
    TimePoint ownedSince;
    std::map<TaskRun, OwnedRun> runs;
    /// Sum of the resources that the runs need.
    Resources used;
    /// Sequence number of the last run end that was processed.
    std::uint64_t acknowledgedEnd = 0;
    /// Whether a poll has listed the runs here since the upstream was acquired.
    bool synced = false;
    TimePoint syncedAt;
    /// Whether all runs found here have been claimed, or stopped and removed.
    bool claimsResolved = false;
    /// Whether the upstream has rejected the token because it has seen a higher one.
    bool fenced = false;
    /// Whether discovery no longer lists the upstream.
    bool unlisted = false;
    /// Whether its data centre is being evacuated: nothing new is started there, and runs end by themselves.
    bool evacuated = false;
    /// Until when the upstream is slow after its start; in the past for one that is not.
    TimePoint coldUntil;
    /// Set when the upstream refuses a start for lack of capacity or an expired lease, or does not reply to one.
    /// Nothing is started until the next successful poll.
    bool startsBlocked = false;
    /// Difference between the upstream's clock and this VM's at the last reply.
    std::optional<Milliseconds> clockOffset;
    TimePoint clockReadAt;
    TimePoint lastSuccessfulPoll;
    /// Number of consecutive failed polls.
    int failedPolls = 0;
    /// Why the upstream is unreachable: how the last failed poll ended. Empty while it is reachable.
    std::string unreachableCause;
    /// Whether a new incarnation has been found at its address.
    bool replaced = false;
    /// Whether its crash was reported as suspected.
    bool crashReported = false;
    /// The tasks that may have caused its crash, and their executors; kept until it is reachable again.
    std::vector<TaskRef> suspects;
    std::set<VmId> suspectExecutors;
    std::vector<RouteExposure> exposures;
    /// Whether no run was there that this VM did not know.
    bool knewAllRuns = false;
    /// Whether nothing new is started there, so that it becomes empty for a task that must be alone.
    bool reserved = false;
    /// When the reply to the pending regular poll is overdue; empty if no poll is pending or it has been repeated.
    std::optional<TimePoint> pollReplyDueAt;
    /// When all runs under the leases granted so far must have ended.
    TimePoint leasesExpiredBy;
    /// Number of consecutive failed runs.
    int consecutiveFailures = 0;
    /// Number of pauses since a run last completed; determines the length of the next one.
    int consecutivePauses = 0;
    TimePoint pausedUntil;
    /// Set by failed or hanging runs: the upstream gets one run at a time until one completes.
    bool probing = false;

    Resources available() const { return info.capacity - used; }
};

/// The process of an upstream that its owner's knowledge of runs belongs to.
inline UpstreamIncarnation incarnationOf(const OwnedUpstream& upstream) { return { upstream.info.id, upstream.startedAt }; }

/// Whether what discovery says of an upstream describes the process that answers polls. Otherwise nothing is known of that process
/// but its runs, and nothing may be started there: it may have another service, other labels or less capacity.
bool isDescribed(const OwnedUpstream& upstream);

/// Whether an upstream has a label; true for an empty one.
bool hasLabel(const UpstreamInfo& info, const std::string& label);

/// How many tasks with the given need fit into a capacity; 0 if nothing is needed.
std::uint32_t tasksThatFit(const Resources& capacity, const Resources& need);

/// Whether an upstream can be used at all for a request, whatever its state and its load at present.
bool isUsableFor(const OwnedUpstream& upstream, const RunRequest& request);

/// Whether a poll was answered by another process than the one that its upstream's owner knows.
bool isOtherProcess(const OwnedUpstream& upstream, Milliseconds startedAt);

/// Whether a run that has been placed on an upstream may be started there now.
bool acceptsPlacedRuns(const OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now);

/// Whether more runs may be placed on an upstream now, apart from its free capacity.
bool acceptsRuns(const OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now);

/// A run that was at an upstream when it became unreachable or lost its runs, for the log and the metrics.
struct LostRun {
    TaskRun run;
    /// Empty for a run that no executor has claimed.
    std::string route;
    /// How many upstreams may have crashed under its task before.
    int crashes = 0;
};

/// What an owner's statement about the runs at an upstream stands on, for the log.
struct UpstreamEvidence {
    FencingToken token;
    /// Unix time of the start of the upstream's process, as known to the owner; 0 if it is not.
    Milliseconds startedAt { 0 };
    /// Whether a poll has listed the runs since the upstream was acquired.
    bool synced = false;
    /// Time since the last successful poll, or since the acquisition if there was none.
    Milliseconds pollAge { 0 };
    /// Time since the upstream's clock was read; empty if it is not known.
    std::optional<Milliseconds> clockAge;
    /// Time since the last lease that this owner granted must have expired; negative while it may last.
    Milliseconds leaseExpiredFor { 0 };
};

/// The evidence that there is about an upstream now.
UpstreamEvidence evidenceOf(const OwnedUpstream& upstream, TimePoint now);

/// What an owner knows of an upstream from discovery, and of which process, for the log.
struct DescriptionEvidence {
    UpstreamInfo description;
    /// Time since discovery last changed it.
    Milliseconds age { 0 };
    /// Unix time of the start of the process that answers polls.
    Milliseconds startedAt { 0 };
};

DescriptionEvidence descriptionEvidenceOf(const OwnedUpstream& upstream, TimePoint now);

/// A decision of an owner, reported for the log.
struct OwnerEvent {
    enum class Kind {
        Owned,
        Released,
        Paused,
        Resumed,
        Fenced,
        Restarted,
        Unreachable,
        Reachable,
        RunsLost,
        StartUnanswered,
        RunStopped,
        RequestExpired,
        /// What has become of a claim.
        ClaimHandled,
        /// Summary of runs that waited for a better place.
        WaitsEnded,
        /// Runs that had to be over are at work, or have ended late.
        RunsPastEnd,
        /// A poll has listed runs that this owner does not know.
        RunsUnclaimed,
        /// Runs were returned as lost.
        RunsReturnedLost,
        /// Discovery describes another process of an upstream than the one that answers polls.
        DescriptionOutdated,
        /// Discovery describes the process that answers polls again.
        DescriptionCurrent,
    };

    Kind kind = Kind::Owned;
    /// Empty for an expired request.
    UpstreamId upstream;
    /// The run concerned, if there is one.
    TaskRun run;
    /// What led to the decision; empty for some kinds.
    std::string cause;
    /// A duration that depends on the kind, such as the age of the run or request, the length of a pause or the mean
    /// length of waits.
    Milliseconds age { 0 };
    /// For Owned and Fenced the epoch, for ClaimHandled the claim's epoch; otherwise the number of runs concerned, queued
    /// requests, waits or consecutive pauses.
    std::uint64_t count = 0;
    /// The runs that were at an upstream when it became unreachable or lost them.
    std::vector<LostRun> runs = {};
    /// What the statement stands on; empty for events that make none.
    std::optional<UpstreamEvidence> evidence = {};
    /// The runs concerned by RunsPastEnd, RunsUnclaimed and RunsReturnedLost.
    std::vector<RunNote> notes = {};
    /// What the owner knows of the upstream, for Restarted, DescriptionOutdated and DescriptionCurrent.
    std::optional<DescriptionEvidence> description = {};
};

} // namespace egrettrestle
