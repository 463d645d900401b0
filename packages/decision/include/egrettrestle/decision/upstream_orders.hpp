#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// Tells an upstream to start a run. The lease end holds for everything that runs there; a start that arrives after it is
/// refused, however late it is carried out.
struct StartOrder {
    UpstreamId upstream;
    TaskRun run;
    std::string spec;
    FencingToken token;
    UpstreamClock leaseEnd { 0 };
};

struct StopOrder {
    UpstreamId upstream;
    TaskRun run;
    FencingToken token;
};

/// Asks an upstream what runs and what has ended there.
struct PollOrder {
    UpstreamId upstream;
    FencingToken token;
    /// Extends the lease of everything that runs there; without it the lease stays as it is.
    std::optional<UpstreamClock> leaseEnd;
    /// Ends up to this number may be forgotten.
    std::uint64_t acknowledged = 0;
    /// The upstream may wait this long for an end before it answers.
    Milliseconds wait { 0 };
};

/// What became of an order.
enum class OrderOutcome {
    Accepted,
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// A higher run of the task was stopped or has ended there.
    Superseded,
    /// The order's lease had run out when it arrived.
    LeaseExpired,
    /// What is asked for does not fit.
    InsufficientCapacity,
    /// The upstream is unhealthy and did nothing.
    Unhealthy,
    /// Another upstream lives at that address now.
    WrongUpstream,
    /// The upstream does not understand the order.
    Malformed,
    /// The order did not leave this VM.
    NotSent,
    /// The order may have been carried out, and may still be.
    Unknown,
};

struct OrderReply {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<UpstreamClock> clock;
};

/// An end that an upstream lists. Numbers start at 1 in each life of the upstream.
struct RunEndRecord {
    std::uint64_t sequenceNumber = 0;
    TaskRun run;
    RunOutcome outcome = RunOutcome::Done;
};

struct PollReply {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<UpstreamClock> clock;
    /// Unix time of the upstream's start; nothing if it does not tell.
    std::optional<Milliseconds> startedAt;
    std::vector<TaskRun> running;
    std::vector<RunEndRecord> ended;
};

} // namespace egrettrestle
