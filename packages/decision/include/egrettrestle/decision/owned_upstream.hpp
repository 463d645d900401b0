#pragma once

#include <map>
#include <optional>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/upstream_orders.hpp>

namespace egrettrestle {

/// Bounds of an owner's decisions.
struct OwnerLimits {
    /// How long a lease lasts from the moment it is granted; at most the platform's longest hold.
    Milliseconds leaseDuration { 600 };
    /// How long a regular look waits for an end: several looks fit into a lease.
    Milliseconds pollWait { 200 };
    /// The runs of an executor that is silent for this long are stopped: before its callers send their jobs again.
    Milliseconds executorTimeout { 600 };
    /// A regular look without an answer for so long after its wait is asked again on another connection: an end is known
    /// no later because one look is lost.
    Milliseconds pollReplyTimeout { 40 };
    /// How long runs found at a new upstream wait to be claimed by their executors.
    Milliseconds claimGracePeriod { 300 };
    /// A stop takes at most this long at the upstream.
    Milliseconds maxStopDuration { 50 };
    /// Added to a lease's end before everything under it counts as ended: timers and delivery.
    Milliseconds leaseExpiryMargin { 60 };
    /// An upstream's clock may be slower by this share.
    double clockDrift = 0.02;
    /// Without a good look for this long, an upstream gets no new runs.
    Milliseconds upstreamTimeout { 450 };
    /// A run is taken to hang after this many times its expected duration, and the allowance more.
    double hangFactor = 3;
    Milliseconds hangAllowance { 250 };
    /// First and longest pause of an upstream that fails, hangs or does not answer; doubled each time.
    Milliseconds initialPause { 400 };
    Milliseconds maxPause { 6'000 };
    /// Failed ends in a row, without a good one, before an upstream is set aside.
    int failuresBeforePause = 3;
    /// How long ends are remembered for claims that come after them.
    Milliseconds endedRunRetention { 5'000 };
    /// How long a claim waits for this VM to learn that it owns the upstream.
    Milliseconds earlyClaimTimeout { 1'500 };
    /// Running a task away from its data's rack takes this many times as long.
    double remoteDataFactor = 1;
};

/// Why a run is stopped.
enum class StopCause {
    Withdrawn,
    ExecutorGone,
    Hanging,
    Unclaimed,
    /// Its start got no answer and no look shows it.
    Unconfirmed,
};

enum class RunState {
    /// The start order is on its way or got no answer.
    Starting,
    Running,
    Stopping,
};

/// A run at an upstream, as its owner knows it.
struct OwnedRun {
    RunRequest request;
    /// Empty for a run that was found at the upstream and not yet claimed.
    VmId executor;
    RunState state = RunState::Starting;
    StopCause stopCause = StopCause::Withdrawn;
    TimePoint startSentAt;
    TimePoint confirmedAt;
    /// When a look last showed the run at work.
    TimePoint lastListedAt;
    /// When a stop that the upstream accepted has taken effect; a look sent later that does not list the run proves that
    /// it is gone.
    std::optional<TimePoint> stopAcceptedAt;
    /// Whether a look was asked for to prove that.
    bool absencePollRequested = false;
    TimePoint stopSentAt;
    bool unconfirmed = false;
};

/// An upstream that this VM owns.
struct OwnedUpstream {
    UpstreamInfo info;
    FencingToken token;
    TimePoint ownedSince;
    std::map<TaskRun, OwnedRun> runs;
    Resources used;
    std::uint64_t acknowledgedEnd = 0;
    /// Whether a look under the present ownership has shown what runs here.
    bool synced = false;
    TimePoint syncedAt;
    /// Whether runs that nobody claimed are settled.
    bool claimsResolved = false;
    bool fenced = false;
    bool unlisted = false;
    /// The upstream refused a start for want of room, or did not answer one; nothing is started until the next look.
    bool startsBlocked = false;
    /// Difference between the upstream's clock and this VM's at the last reply.
    std::optional<Milliseconds> clockOffset;
    TimePoint clockReadAt;
    TimePoint lastSuccessfulPoll;
    int failedPolls = 0;
    /// When the regular look that is on its way should have been answered; nothing while none is, or after it was asked
    /// again.
    std::optional<TimePoint> pollReplyDueAt;
    /// When everything under the last lease granted has surely ended.
    TimePoint leasesExpiredBy;
    int consecutiveFailures = 0;
    int consecutivePauses = 0;
    TimePoint pausedUntil;
    /// Back from a pause: one run at a time until one ends well.
    bool probing = false;

    Resources available() const { return info.capacity - used; }
};

/// What an owner has decided, for the log.
struct OwnerEvent {
    enum class Kind {
        Owned,
        Released,
        Paused,
        Resumed,
        Fenced,
        Restarted,
        RunsLost,
        StartUnanswered,
        RunStopped,
        RequestExpired,
    };

    Kind kind = Kind::Owned;
    UpstreamId upstream;
    TaskRun run;
    std::string cause;
    Milliseconds age { 0 };
    std::uint64_t count = 0;
};

} // namespace egrettrestle
