#pragma once

#include <string>

#include <egrettrestle/base/span.hpp>
#include <egrettrestle/decision/send_outcome.hpp>
#include <egrettrestle/http/client.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

namespace egrettrestle {

/// What became of one send of a task.
struct SendReport {
    SendOutcome outcome = SendOutcome::ReplyLost;
    /// JSON text, with `Answered`.
    std::string answer;
    int status = 0;
};

/// Sends a task to an upstream, once, and classifies what came of it.
SendReport sendTask(HttpClient& client, const std::string& address, const UpstreamTask& task, const TraceContext& trace);

} // namespace egrettrestle
