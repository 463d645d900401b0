#include <egrettrestle/services/task_sender.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    constexpr Milliseconds connectTimeout { 250 };

    struct FailureOutcome {
        HttpFailure failure;
        SendOutcome outcome;
    };

    constexpr FailureOutcome failureOutcomes[] = {
        { HttpFailure::ConnectFailed, SendOutcome::ConnectFailed },
        { HttpFailure::ConnectTimedOut, SendOutcome::ConnectTimedOut },
        { HttpFailure::ClosedBeforeSend, SendOutcome::ClosedBeforeSend },
        { HttpFailure::SendFailed, SendOutcome::SendFailed },
        { HttpFailure::ReplyLost, SendOutcome::ReplyLost },
        { HttpFailure::ReplyTimedOut, SendOutcome::ReplyTimedOut },
    };

    SendOutcome outcomeOf(HttpFailure failure)
    {
        for (const FailureOutcome& entry : failureOutcomes) {
            if (entry.failure == failure)
                return entry.outcome;
        }
        return SendOutcome::ReplyLost;
    }

    SendReport classify(const HttpResponse& response, const std::string& taskId)
    {
        SendReport report;
        report.status = response.status;
        if (response.status == httpStatus::unavailable && headerValue(response.headers, "X-Not-Run") == "true") {
            report.outcome = SendOutcome::RefusedNotRun;
            return report;
        }
        if (response.status != httpStatus::ok) {
            report.outcome = SendOutcome::FailedStatus;
            return report;
        }
        std::optional<UpstreamAnswer> answer = parseUpstreamAnswer(response.body);
        const bool idMatches = answer && answer->taskId == taskId;
        report.outcome = idMatches ? SendOutcome::Succeeded : SendOutcome::InvalidReply;
        if (idMatches)
            report.answer = std::move(answer->answer);
        return report;
    }

}

SendReport sendTask(HttpClient& client, const std::string& address, const UpstreamTask& task, const TraceContext& trace)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/tasks/" + task.taskId;
    request.headers.push_back({ "traceparent", traceParent(trace) });
    request.headers.push_back({ "Idempotency-Key", task.taskId });
    request.body = toText(task);
    const HttpResult result = client.call(address, request, { std::min(connectTimeout, task.timeLeft), task.timeLeft });
    if (result.ok())
        return classify(result.response, task.taskId);
    SendReport report;
    report.outcome = outcomeOf(result.failure);
    return report;
}

} // namespace egrettrestle
