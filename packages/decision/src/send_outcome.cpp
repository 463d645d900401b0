#include <egrettrestle/decision/send_outcome.hpp>

#include <cassert>

namespace egrettrestle {

namespace {

    constexpr SendOutcomeTraits verdicts[] = {
        // outcome, name, mayResend, keepConnection, putAside, countsAsFailure
        { SendOutcome::ConnectFailed, "connect-failed", true, false, true, true },
        { SendOutcome::ConnectTimedOut, "connect-timed-out", true, false, true, true },
        { SendOutcome::ClosedBeforeSend, "closed-before-send", true, false, false, false },
        { SendOutcome::SendFailed, "send-failed", false, false, false, true },
        { SendOutcome::ReplyLost, "reply-lost", false, false, false, true },
        { SendOutcome::ReplyTimedOut, "reply-timed-out", false, false, false, true },
        { SendOutcome::Succeeded, "answered", false, true, false, false },
        { SendOutcome::RefusedNotRun, "refused-not-run", true, true, false, false },
        { SendOutcome::FailedStatus, "failed-status", false, false, false, true },
        { SendOutcome::InvalidReply, "wrong-answer", false, false, false, true },
    };

}

const SendOutcomeTraits& sendOutcomeTraits(SendOutcome outcome)
{
    const SendOutcomeTraits& verdict = verdicts[static_cast<int>(outcome)];
    assert(verdict.outcome == outcome);
    return verdict;
}

} // namespace egrettrestle
