#include <egrettrestle/wire/job.hpp>

#include <charconv>

#include <egrettrestle/wire/detail/input/object_reader.hpp>

namespace egrettrestle {

namespace {

    using nlohmann::json;

    constexpr detail::ErrorCodeRange jobErrorCodes { 300 };
    constexpr std::size_t maxNameBytes = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusConflict = 409;

    struct OutcomeName {
        Outcome outcome;
        const char* name;
    };

    constexpr OutcomeName outcomeNames[] = {
        { Outcome::Complete, "complete" },
        { Outcome::Failed, "failed" },
        { Outcome::Refused, "refused" },
        { Outcome::Conflict, "conflict" },
    };

    void checkName(const std::string& name, const std::string& pointer, std::vector<ValidationError>& errors)
    {
        if (name.empty() || name.size() > maxNameBytes)
            errors.push_back({ jobErrorCodes.outOfRange(), pointer, std::to_string(name.size()) + " bytes", "1 to " + std::to_string(maxNameBytes) + " bytes" });
    }

    TaskRequest readTask(const json& value, const std::string& pointer, std::vector<ValidationError>& errors)
    {
        detail::ObjectReader reader(value, pointer, jobErrorCodes, errors);
        TaskRequest task;
        task.kind = reader.text("kind");
        const json* payload = reader.has("payload") ? reader.value("payload") : nullptr;
        task.payload = payload ? payload->dump() : "null";
        if (!payload)
            reader.textOr("payload", "");
        reader.rejectUnknown();
        return task;
    }

    const char* executionStatusName(ExecutionStatus ran)
    {
        switch (ran) {
        case ExecutionStatus::NotExecuted:
            return "no";
        case ExecutionStatus::MayHaveExecuted:
            return "may-have-run";
        case ExecutionStatus::Executed:
            break;
        }
        return "ran";
    }

    ExecutionStatus parseExecutionStatus(const std::string& name)
    {
        if (name == "no")
            return ExecutionStatus::NotExecuted;
        return name == "ran" ? ExecutionStatus::Executed : ExecutionStatus::MayHaveExecuted;
    }

    JobReply makeReply(Outcome outcome, int httpStatus, const Event& event, std::string detail)
    {
        JobReply reply;
        reply.outcome = outcome;
        reply.httpStatus = httpStatus;
        reply.reason = event.name;
        reply.event = event.number;
        reply.detail = std::move(detail);
        return reply;
    }

}

JobParseResult parseJob(std::string_view text)
{
    JobParseResult result;
    const std::optional<json> value = detail::parseJson(text, jobErrorCodes, result.errors);
    if (!value)
        return result;
    detail::ObjectReader reader(*value, "", jobErrorCodes, result.errors);
    JobRequest job;
    job.caller = reader.text("caller");
    job.submission = reader.text("submission");
    job.service = reader.text("service");
    job.dataCentre = reader.textOr("dataCentre", "");
    job.deadline = reader.milliseconds("deadlineMs");
    job.epochStamp = reader.textOr("epoch", "");
    job.firstTry = reader.booleanOr("firstTry", false);
    for (const json& element : reader.array("tasks"))
        job.tasks.push_back(readTask(element, reader.pointer("tasks", job.tasks.size()), result.errors));
    reader.rejectUnknown();
    if (result.errors.empty()) {
        checkName(job.caller, "/caller", result.errors);
        checkName(job.submission, "/submission", result.errors);
        if (job.tasks.empty())
            result.errors.push_back({ jobErrorCodes.outOfRange(), "/tasks", "no tasks", "at least one task" });
        if (job.deadline.count() < 1)
            result.errors.push_back({ jobErrorCodes.outOfRange(), "/deadlineMs", "0", "at least 1" });
    }
    if (!result.errors.empty())
        return result;
    deriveDigests(job);
    result.job = std::move(job);
    return result;
}

void deriveDigests(JobRequest& job)
{
    job.key = submissionKey(job.caller, job.submission);
    // The deadline and the epoch are left out, as they may differ when the same job is sent again.
    std::string text = job.service;
    for (const TaskRequest& task : job.tasks)
        text += '\n' + task.kind + '\n' + task.payload;
    job.bodyDigest = bodyDigest(text);
}

std::string jobText(const JobRequest& job)
{
    json value {
        { "caller", job.caller },
        { "submission", job.submission },
        { "service", job.service },
        { "deadlineMs", job.deadline.count() },
        { "tasks", json::array() },
    };
    if (!job.dataCentre.empty())
        value["dataCentre"] = job.dataCentre;
    if (!job.epochStamp.empty())
        value["epoch"] = job.epochStamp;
    if (job.firstTry)
        value["firstTry"] = true;
    for (const TaskRequest& task : job.tasks)
        value["tasks"].push_back({ { "kind", task.kind }, { "payload", json::parse(task.payload) } });
    return value.dump();
}

std::string replyText(const JobReply& reply)
{
    json value { { "outcome", outcomeName(reply.outcome) } };
    if (!reply.epochStamp.empty())
        value["epoch"] = reply.epochStamp;
    if (reply.outcome == Outcome::Complete) {
        // The answers are already JSON texts, so they are appended without parsing them.
        std::string text = value.dump();
        text.back() = ',';
        text += "\"answers\":[";
        for (std::size_t index = 0; index < reply.answers.size(); ++index)
            text += (index == 0 ? "" : ",") + reply.answers[index];
        return text + "]}";
    }
    value["reason"] = reply.reason;
    value["event"] = reply.event;
    if (!reply.detail.empty())
        value["detail"] = reply.detail;
    if (!reply.field.empty())
        value["field"] = reply.field;
    if (reply.outcome == Outcome::Failed)
        value["ran"] = executionStatusName(reply.execution);
    if (reply.retryAfter)
        value["retryAfterMs"] = reply.retryAfter->count();
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<JobReply> parseReply(std::string_view text, int httpStatus)
{
    std::vector<ValidationError> errors;
    const std::optional<json> value = detail::parseJson(text, jobErrorCodes, errors);
    if (!value)
        return std::nullopt;
    detail::ObjectReader reader(*value, "", jobErrorCodes, errors);
    const std::string name = reader.text("outcome");
    JobReply reply;
    reply.httpStatus = httpStatus;
    bool known = false;
    for (const OutcomeName& entry : outcomeNames) {
        if (name == entry.name) {
            reply.outcome = entry.outcome;
            known = true;
        }
    }
    for (const json& answer : reader.arrayOrEmpty("answers"))
        reply.answers.push_back(answer.dump());
    reply.execution = parseExecutionStatus(reader.textOr("ran", "no"));
    reply.reason = reader.textOr("reason", "");
    reply.event = static_cast<int>(reader.numberOr("event", 0));
    reply.field = reader.textOr("field", "");
    reply.detail = reader.textOr("detail", "");
    reply.epochStamp = reader.textOr("epoch", "");
    if (reader.has("retryAfterMs"))
        reply.retryAfter = reader.milliseconds("retryAfterMs");
    if (!known || !errors.empty())
        return std::nullopt;
    return reply;
}

const char* outcomeName(Outcome outcome)
{
    for (const OutcomeName& entry : outcomeNames) {
        if (entry.outcome == outcome)
            return entry.name;
    }
    return "";
}

std::string makeEpochStamp(const DataCentreId& dataCentre, Epoch epoch)
{
    return dataCentre + ':' + std::to_string(epoch.value);
}

Epoch parseEpochStamp(const std::string& stamp, const DataCentreId& dataCentre)
{
    const std::size_t colon = stamp.rfind(':');
    if (colon == std::string::npos || stamp.compare(0, colon, dataCentre) != 0)
        return {};
    Epoch epoch;
    const char* end = stamp.data() + stamp.size();
    const std::from_chars_result result = std::from_chars(stamp.data() + colon + 1, end, epoch.value);
    return result.ec == std::errc() && result.ptr == end ? epoch : Epoch {};
}

JobReply refusedReply(int httpStatus, const Event& event, std::string detail)
{
    return makeReply(Outcome::Refused, httpStatus, event, std::move(detail));
}

JobReply failedReply(int httpStatus, const Event& event, ExecutionStatus ran, std::string detail)
{
    JobReply reply = makeReply(Outcome::Failed, httpStatus, event, std::move(detail));
    reply.execution = ran;
    return reply;
}

JobReply conflictReply()
{
    return makeReply(Outcome::Conflict, statusConflict, events::conflict, "this body was not run; the first one under this submission id may have been");
}

JobReply malformedReply(const std::vector<ValidationError>& errors)
{
    JobReply reply = refusedReply(statusBadRequest, events::badRequest, toString(errors.front()));
    reply.field = errors.front().location;
    return reply;
}

} // namespace egrettrestle
