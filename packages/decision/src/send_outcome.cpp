#include <egrettrestle/decision/send_outcome.hpp>

#include <cassert>

namespace egrettrestle {

namespace {

    constexpr SendOutcomeTraits allTraits[] = {
        // outcome, name, mayResend, connectionReusable, ejectUpstream, countsAsFailure
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
    const SendOutcomeTraits& traits = allTraits[static_cast<int>(outcome)];
    assert(traits.outcome == outcome);
    return traits;
}

} // namespace egrettrestle
