#pragma once

namespace egrettrestle {

/// How an attempt to send a task to an upstream ended.
enum class SendOutcome {
    /// The connection was refused, or the address is wrong: nothing was sent.
    ConnectFailed,
    /// No connection within the time allowed: nothing was sent.
    ConnectTimedOut,
    /// A kept connection had been closed by the upstream before the first byte was sent.
    ClosedBeforeSend,
    /// Sending broke off after some bytes.
    SendFailed,
    /// The request went out, the connection ended before a whole reply.
    ReplyLost,
    /// The request went out, no whole reply came within the time allowed.
    ReplyTimedOut,
    /// A reply with a status of success and the task's own id.
    Succeeded,
    /// The upstream said 503 with `X-Not-Run: true`.
    RefusedNotRun,
    /// Any other status.
    FailedStatus,
    /// A reply that names another task, or is not well-formed.
    InvalidReply,
};

/// What an outcome says about the task and what may follow.
struct SendOutcomeTraits {
    SendOutcome outcome;
    const char* name;
    /// The task provably did not start, so it may be sent again.
    bool mayResend;
    /// The connection may carry another request.
    bool connectionReusable;
    /// The upstream is put aside at once.
    bool ejectUpstream;
    /// Counts as a failure in the upstream's health.
    bool countsAsFailure;
};

/// The verdict on an outcome. Source: the table in docs/UPSTREAM.md.
const SendOutcomeTraits& sendOutcomeTraits(SendOutcome outcome);

} // namespace egrettrestle
