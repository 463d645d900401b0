#pragma once

namespace egrettrestle {

/// Outcome of an attempt to send a task to an upstream.
enum class SendOutcome {
    /// The connection was refused, or the address is invalid: nothing was sent.
    ConnectFailed,
    /// The connection attempt timed out: nothing was sent.
    ConnectTimedOut,
    /// The upstream had closed a kept-alive connection before the first byte was sent.
    ClosedBeforeSend,
    /// The connection failed after part of the request was sent.
    SendFailed,
    /// The request was sent, but the connection was closed before the complete reply arrived.
    ReplyLost,
    /// The request was sent, but the complete reply did not arrive before the time-out.
    ReplyTimedOut,
    /// The upstream replied with a success status and the task's own id.
    Succeeded,
    /// The upstream replied with 503 and `X-Not-Run: true`.
    RefusedNotRun,
    /// The upstream replied with any other status.
    FailedStatus,
    /// The reply names another task or is malformed.
    InvalidReply,
};

/// The consequences of an outcome for the task, the connection and the upstream.
struct SendOutcomeTraits {
    SendOutcome outcome;
    /// Name of the outcome in logs, traces and error messages.
    const char* name;
    /// The task certainly did not start, so it may be sent again.
    bool mayResend;
    /// The connection can be reused for another request.
    bool connectionReusable;
    /// The upstream is ejected immediately.
    bool ejectUpstream;
    /// Counts as a failure of the upstream in its health record.
    bool countsAsFailure;
};

/// The consequences of an outcome, as specified in docs/UPSTREAM.md.
const SendOutcomeTraits& sendOutcomeTraits(SendOutcome outcome);

} // namespace egrettrestle
