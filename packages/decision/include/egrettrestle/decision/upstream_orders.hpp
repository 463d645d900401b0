#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// Orders an upstream to start a run. The lease end applies to all runs there. An order that arrives after the lease
/// end is refused, so a delayed order can never start a run after its lease has expired.
struct StartOrder {
    UpstreamId upstream;
    TaskRun run;
    std::string spec;
    FencingToken token;
    UpstreamClock leaseEnd { 0 };
    /// Number of the decision to start the run, which may be made again for the same run.
    std::uint64_t placement = 0;
    /// Unix time of the start of the upstream's process that the run is for; no other process may get the order. 0 if any may.
    Milliseconds process { 0 };
};

/// Orders an upstream to stop a run, and not to start it if a start order arrives later.
struct StopOrder {
    UpstreamId upstream;
    TaskRun run;
    FencingToken token;
};

/// Polls an upstream for its running and ended runs.
struct PollOrder {
    UpstreamId upstream;
    FencingToken token;
    /// New lease end for all runs there; if empty, the lease is not extended.
    std::optional<UpstreamClock> leaseEnd;
    /// Sequence number up to which the upstream may discard its records of run ends.
    std::uint64_t acknowledged = 0;
    /// How long the upstream may wait for a run to end before it replies.
    Milliseconds wait { 0 };
};

/// The result of an order to an upstream.
enum class OrderOutcome {
    Accepted,
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// A run of the task with a higher number was stopped or has ended there.
    Superseded,
    /// The order's lease had expired when it arrived.
    LeaseExpired,
    /// The free capacity is insufficient.
    InsufficientCapacity,
    /// The upstream is unhealthy and did not execute the order.
    Unhealthy,
    /// Another upstream is now at that address.
    WrongUpstream,
    /// Another process of the upstream, or none that could be told, is now at that address. The order was not sent.
    WrongProcess,
    /// The upstream could not parse the order.
    Malformed,
    /// The order was not sent.
    NotSent,
    /// There was no valid reply: the order may have been executed, or may still be.
    Unknown,
};

/// How the connection of an order or poll without a reply ended.
enum class ConnectionFailure {
    None,
    /// No connection was accepted: nothing listens at the address, or something on the way rejects connections.
    Refused,
    /// An open connection was closed or reset.
    Closed,
    TimedOut,
};

/// Reply to a start or stop order.
struct OrderReply {
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// The upstream's clock when it replied.
    std::optional<UpstreamClock> clock = {};
    ConnectionFailure failure = ConnectionFailure::None;
};

/// An upstream's record of a run that has ended. Numbering restarts at 1 when the upstream restarts.
struct RunEndRecord {
    std::uint64_t sequenceNumber = 0;
    TaskRun run;
    RunOutcome outcome = RunOutcome::Done;
};

/// Reply to a poll. The lists are valid only if the outcome is Accepted.
struct PollReply {
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// The upstream's clock when it replied.
    std::optional<UpstreamClock> clock;
    ConnectionFailure failure = ConnectionFailure::None;
    /// Unix time of the upstream's start; empty if not reported.
    std::optional<Milliseconds> startedAt;
    std::vector<TaskRun> running;
    /// In order of their numbers; a long list may be continued in the next reply.
    std::vector<RunEndRecord> ended;
};

} // namespace egrettrestle
