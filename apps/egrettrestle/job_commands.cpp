#include "commands.hpp"

#include <iostream>

#include <nlohmann/json.hpp>

#include <egrettrestle/base/span.hpp>
#include <egrettrestle/http/client.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle::cli {

namespace {

    constexpr Milliseconds connectTimeout { 500 };
    constexpr Milliseconds replyGrace { 1'000 };

    struct SubmissionQuery {
        std::string address;
        std::string query;
    };

    std::optional<SubmissionQuery> parseSubmissionQuery(cxxopts::Options& options, const Arguments& arguments)
    {
        options.add_options()("vm", "caller address of any VM", cxxopts::value<std::string>())("caller", "name of the caller", cxxopts::value<std::string>())(
            "submission", "submission id", cxxopts::value<std::string>());
        const std::unique_ptr<cxxopts::ParseResult> result = parse(options, arguments);
        if (!result)
            return std::nullopt;
        return SubmissionQuery { requiredOption(*result, "vm"), "caller=" + encodeQuery(requiredOption(*result, "caller")) + "&submission=" + encodeQuery(requiredOption(*result, "submission")) };
    }

    int querySubmission(const std::optional<SubmissionQuery>& target, const char* method)
    {
        if (!target)
            return Success;
        HttpClient client;
        HttpRequest request;
        request.method = method;
        request.path = "/v1/jobs";
        request.query = target->query;
        const HttpResult reply = client.call(target->address, request, { connectTimeout, replyGrace + replyGrace });
        if (!reply.ok()) {
            std::cerr << "no reply from " << target->address << ". Next: try another VM\n";
            return Unreachable;
        }
        std::cout << reply.response.body << '\n';
        return reply.response.status < httpStatus::badRequest ? Success : NotAchieved;
    }

}

int jobSubmit(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle job submit", "Submits a job and prints its reply.");
    options.add_options()("vm", "caller address of any VM", cxxopts::value<std::string>())("file", "job file (docs/CALLER.md), - for standard input", cxxopts::value<std::string>())(
        "submission", "submission id in place of the file's", cxxopts::value<std::string>());
    const std::unique_ptr<cxxopts::ParseResult> result = parse(options, arguments);
    if (!result)
        return Success;
    const std::string address = requiredOption(*result, "vm");
    JobParseResult parse = parseJob(readFile(requiredOption(*result, "file")));
    if (!parse.job)
        throw InputError(toString(parse.errors) + "docs/CALLER.md describes the format of a job");
    if (result->count("submission"))
        parse.job->submission = (*result)["submission"].as<std::string>();
    const TraceContext trace = newTrace();
    HttpClient client;
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/jobs";
    request.headers.push_back({ "traceparent", traceParent(trace) });
    request.body = jobText(*parse.job);
    const HttpResult sent = client.call(address, request, { connectTimeout, parse.job->deadline + replyGrace });
    if (!sent.ok()) {
        std::cerr << "no reply from " << address << "; the job may have run. Next: submit it again under the same submission id; it is not started twice\n";
        return sent.failure == HttpFailure::ConnectFailed ? Unreachable : OutcomeUnknown;
    }
    std::cerr << "trace " << trace.traceId << '\n';
    std::cout << sent.response.body << '\n';
    return sent.response.status == httpStatus::ok ? Success : NotAchieved;
}

int jobStatus(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle job status", "Prints the state of a submission: active, ended, not-started, claimed-elsewhere, not-known or unknown.");
    return querySubmission(parseSubmissionQuery(options, arguments), "GET");
}

int jobCancel(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle job cancel", "Drops the tasks of a job that have not started; the job's caller is answered at once.");
    return querySubmission(parseSubmissionQuery(options, arguments), "DELETE");
}

} // namespace egrettrestle::cli
