#pragma once

#include <string>

#include <egrettrestle/base/span.hpp>
#include <egrettrestle/decision/send_outcome.hpp>
#include <egrettrestle/http/client.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

namespace egrettrestle {

/// The result of sending a task once.
struct SendReport {
    SendOutcome outcome = SendOutcome::ReplyLost;
    /// The answer as JSON text; set with `Succeeded`.
    std::string answer;
    /// The HTTP status, or 0 if there was no reply.
    int status = 0;
};

/// Sends a task to an upstream and classifies the result. Makes one attempt and waits no longer than `task.timeLeft`
/// for the reply. The task's id is sent as the idempotency key.
SendReport sendTask(HttpClient& client, const std::string& address, const UpstreamTask& task, const TraceContext& trace);

} // namespace egrettrestle
