#include <catch2/catch.hpp>

#include <limits>

#include <egrettrestle/base/span.hpp>
#include <egrettrestle/wire/dispatch_messages.hpp>
#include <egrettrestle/wire/job.hpp>
#include <egrettrestle/wire/peer_messages.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

using namespace egrettrestle;

// Guards against fields lost between callers and VMs, and against submissions that share a key or a body hash wrongly.
TEST_CASE("job conversions")
{
    SECTION("a job is unchanged by a round trip")
    {
        const JobParseResult parse = parseJob(R"({"caller":"c","submission":"s","service":"print","deadlineMs":100,"epoch":"dc1:4","tasks":[{"kind":"k","payload":{"a":[1,"x"]}},{"kind":"k"}]})");
        REQUIRE(parse.job);
        const JobParseResult reparsed = parseJob(jobText(*parse.job));
        REQUIRE(reparsed.job);
        CHECK(reparsed.job->bodyDigest == parse.job->bodyDigest);
        CHECK(reparsed.job->key == parse.job->key);
        CHECK(reparsed.job->tasks.size() == 2);
    }

    SECTION("the body hash depends on the tasks, not on the deadline or the epoch")
    {
        JobRequest job = *parseJob(R"({"caller":"c","submission":"s","service":"print","deadlineMs":100,"tasks":[{"kind":"k"}]})").job;
        const std::uint64_t body = job.bodyDigest;
        job.deadline = Milliseconds(5);
        job.epochStamp = "dc1:9";
        deriveDigests(job);
        CHECK(job.bodyDigest == body);
        job.tasks.push_back({ "k", "1" });
        deriveDigests(job);
        CHECK(job.bodyDigest != body);
    }

    SECTION("submissions whose caller and id concatenate to the same text have different keys")
    {
        CHECK(submissionKey("ab", "c") != submissionKey("a", "bc"));
    }

    SECTION("replies are unchanged by a round trip")
    {
        JobReply reply = failedReply(504, events::deadlinePassed, ExecutionStatus::MayHaveExecuted, "why");
        reply.epochStamp = "dc1:2";
        const std::optional<JobReply> reparsed = parseReply(replyText(reply), 504);
        REQUIRE(reparsed);
        CHECK(reparsed->outcome == Outcome::Failed);
        CHECK(reparsed->execution == ExecutionStatus::MayHaveExecuted);
        CHECK(reparsed->event == events::deadlinePassed.number);
        JobReply complete;
        complete.outcome = Outcome::Complete;
        complete.answers = { "{\"a\":1}", "2" };
        CHECK(parseReply(replyText(complete), 200)->answers == complete.answers);
        CHECK_FALSE(parseReply("{}", 200));
        CHECK_FALSE(parseReply("nonsense", 200));
    }

    SECTION("epoch stamps that are malformed or of another data centre are parsed as 0")
    {
        CHECK(parseEpochStamp("dc1:7", "dc1").value == 7);
        for (const char* stamp : { "dc2:7", "dc1:", "dc1:x", "dc1:7x", "", ":", "dc1" })
            CHECK(parseEpochStamp(stamp, "dc1").value == 0);
    }
}

// Guards against fields lost between VMs, and against malformed messages that are accepted in part.
TEST_CASE("peer messages")
{
    const TimePoint now = SteadyClock::now();
    Claim claim;
    claim.key = submissionKey("c", "s");
    claim.bodyDigest = 77;
    claim.holder.value = 3;
    claim.expiry = now + Seconds(5);
    claim.generation = 2;
    claim.state = ClaimState::Acknowledged;

    SECTION("records and handovers are unchanged by a round trip")
    {
        const std::optional<RecordBatch> records = parseRecordBatch(toText(RecordBatch { { { 1 }, { 2 }, { 3 } }, { { claim, { 4 }, { 5 } } } }, now), now);
        REQUIRE(records);
        CHECK(records->requests[0].claim.key == claim.key);
        CHECK(records->requests[0].claim.expiry == claim.expiry);
        CHECK(records->requests[0].primaryCompleteFrom.value == 5);
        const std::optional<HandoverBatch> handovers = parseHandoverBatch(toText(HandoverBatch { {}, { { { 6 }, 9, { 2 }, { claim } } } }, now), now);
        REQUIRE(handovers);
        CHECK(handovers->handovers[0].claims[0].generation == 2);
        CHECK(handovers->handovers[0].bucket == 9);
    }

    SECTION("views are unchanged by a round trip")
    {
        const View view = withJoined(withJoined({}, "a", "p1", "c1"), "b", "p2", "c2");
        const std::optional<View> reparsed = parseView(toText(view));
        REQUIRE(reparsed);
        CHECK(toText(*reparsed) == toText(view));
    }

    SECTION("malformed texts are rejected")
    {
        for (const char* text : { "", "{}", "[]", "{\"epoch\":-1}", "{\"epoch\":1,\"from\":1,\"to\":1,\"requests\":[{\"kind\":9}]}" }) {
            CHECK_FALSE(parseClaimBatch(text));
            CHECK_FALSE(parseRecordBatch(text, now));
            CHECK_FALSE(parseHandoverBatch(text, now));
            CHECK_FALSE(parseHeartbeat(text));
            CHECK_FALSE(parseView(text));
            CHECK_FALSE(parseResignation(text, now));
        }
    }
}

// Guards against JSON texts that are broken or re-encoded when they are embedded in a message.
TEST_CASE("upstream messages")
{
    SECTION("tasks and answers are unchanged by a round trip, also with quotes and JSON in their texts")
    {
        const UpstreamTask task { "id", "ki\"nd", "{\"a\":1}", Milliseconds(9) };
        const std::optional<UpstreamTask> reparsed = parseUpstreamTask("id", toText(task));
        REQUIRE(reparsed);
        CHECK(reparsed->kind == task.kind);
        CHECK(reparsed->payload == task.payload);
        CHECK(parseUpstreamAnswer(toText(UpstreamAnswer { "t", "[1]" }))->answer == "[1]");
        CHECK_FALSE(parseUpstreamAnswer("{\"taskId\":1,\"answer\":2}"));
    }
}

// Guards against traces that break at a VM, and against malformed ids that are passed on.
TEST_CASE("trace context")
{
    SECTION("a well-formed traceparent is adopted, anything else starts a new trace")
    {
        const std::string trace = "0af7651916cd43dd8448eb211c80319c";
        CHECK(parseTraceParent("00-" + trace + "-b7ad6b7169203331-01").traceId == trace);
        for (const char* header : { "", "00-", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "00-00000000000000000000000000000000-b7ad6b7169203331-01" })
            CHECK(parseTraceParent(header).traceId != trace);
    }
}

// Guards against lost fields, against points in time that depend on the sender's clock, and against batches that are
// accepted in part.
TEST_CASE("dispatch batches")
{
    const TimePoint now { std::chrono::hours { 1 } };
    DispatchBatch batch;
    batch.sender = "a";
    batch.stamp = { 7, 8, 99, 3 };
    batch.executorLag = Milliseconds { 35 };
    batch.capacity.typicalNeed = { 27'000, 64, 1 };
    batch.capacity.completeAtEpoch = { 4 };
    batch.capacity.kinds.push_back({ "print", "a", 2, 8, 1.5, { { 24'000, 3 }, { 40'000, 1 } } });
    batch.capacity.confinedRoutes.push_back({ "proof", 1, 4, 3, Milliseconds { 300 } });
    batch.capacity.queues.push_back({ "print", 1, 4, Milliseconds { 400 } });
    RunRequest request;
    request.run = { { "j", 1, 2 }, 3 };
    request.spec = "text";
    request.need = { 1, 2, 3 };
    request.latestStart = now + Milliseconds { 250 };
    request.dueBy = now + Milliseconds { 150 };
    request.avoid = { "u1" };
    request.crashes = { 2, 1 };
    const TaskRun run { { "j", 1, 2 }, 3 };
    batch.messages.push_back({ request, {}, {}, {}, {}, {} });
    batch.messages.push_back({ {}, RunStarted { run, "u", { 5 } }, {}, {}, {}, {} });
    batch.messages.push_back({ {}, {}, RunEnded { run, "u", RunOutcome::Failed, Milliseconds { 20 }, "a" }, {}, {}, {} });
    batch.messages.push_back({ {}, {}, {}, RunReturned { run, ReturnReason::Superseded }, {}, {} });
    batch.messages.push_back({ {}, {}, {}, {}, RunWithdrawal { run, true, "u", now + Milliseconds { 900 } }, {} });
    batch.messages.push_back({ {}, {}, {}, {}, {}, RunClaim { run, "u", { 6 }, { 50'000, 64, 1 } } });
    batch.messages.push_back({ {}, {}, {}, {}, {}, {}, false, UpstreamCrash { { "u", Milliseconds { 1'770'450'107'235 } }, CrashEvidence::Confirmed, { run.task }, true, { { "proof", true, 0.25 } } } });

    // Guards against a batch that is read differently because it has no messages.
    SECTION("a batch without messages is read like one with messages")
    {
        batch.address = "10.1.0.13:7720";
        batch.epoch = { 12 };
        batch.configurationVersion = 5;
        batch.capacity.confinedRoutes.clear();
        batch.capacity.kinds.push_back({ "print", "b", 0, 1, 1, {} });
        const std::optional<DispatchBatch> with = parseDispatchBatch(toText(batch, now), now);
        batch.messages.clear();
        const std::string text = toText(batch, now);
        const std::optional<DispatchBatch> without = parseDispatchBatch(text, now);
        REQUIRE(with);
        REQUIRE(without);
        CHECK(with->executorLag == batch.executorLag);
        CHECK(without->executorLag == batch.executorLag);
        DispatchBatch expected = *with;
        expected.messages.clear();
        CHECK(toText(expected, now) == text);
        CHECK(toText(*without, now) == text);
        for (const char* field : { "from", "life", "toLife", "first", "address", "epoch", "configuration", "mark", "room", "messages", "need", "kinds", "queues", "seen", "completeUnder", "cpu", "free", "slowness", "workMs" }) {
            INFO(field);
            std::string renamed = text;
            renamed.replace(renamed.find('"' + std::string(field) + '"'), 2, "\"_");
            CHECK_FALSE(parseDispatchBatch(renamed, now));
        }
        std::string other = text;
        other.insert(1, R"("later":{"x":[1]},"epoch":1,)");
        const std::optional<DispatchBatch> withUnknownField = parseDispatchBatch(other, now);
        REQUIRE(withUnknownField);
        CHECK(toText(*withUnknownField, now) == text);
        CHECK_FALSE(parseDispatchBatch(text + "x", now));
        CHECK_FALSE(parseDispatchBatch(text.substr(0, text.size() - 1), now));
        CHECK_FALSE(parseDispatchBatch(R"({"messages":[]})", now));
    }

    SECTION("a withdrawal of a job in progress has no time by which the run must have ended")
    {
        batch.messages = { { {}, {}, {}, {}, RunWithdrawal { run, true }, {} } };
        const std::optional<DispatchBatch> reparsed = parseDispatchBatch(toText(batch, now), now);
        REQUIRE(reparsed);
        CHECK_FALSE(reparsed->messages[0].withdrawal->endBy);
    }

    SECTION("a batch of an earlier build tells neither places nor when runs are due")
    {
        batch.capacity.kinds[0].places.clear();
        batch.messages[0].request->dueBy.reset();
        const std::string text = toText(batch, now);
        CHECK(text.find("places") == std::string::npos);
        CHECK(text.find("dueWithinMs") == std::string::npos);
        const std::optional<DispatchBatch> reparsed = parseDispatchBatch(text, now);
        REQUIRE(reparsed);
        CHECK(reparsed->capacity.kinds[0].places.empty());
        CHECK_FALSE(reparsed->messages[0].request->dueBy);
    }

    SECTION("the evacuations are sent if the sender knows of any, also when none is left")
    {
        const std::string text = toText(batch, now);
        CHECK(text.find("evacuations") == std::string::npos);
        const std::optional<DispatchBatch> without = parseDispatchBatch(text, now);
        REQUIRE(without);
        CHECK_FALSE(without->evacuations);
        for (const Evacuations& evacuations : { Evacuations { 7, { "dc1", "dc2" } }, Evacuations { 9, {} } }) {
            batch.evacuations = evacuations;
            const std::optional<DispatchBatch> reparsed = parseDispatchBatch(toText(batch, now), now);
            REQUIRE(reparsed);
            CHECK(reparsed->evacuations == evacuations);
        }
    }

    SECTION("evacuations that cannot be read reject the batch")
    {
        batch.evacuations = Evacuations { 7, { "dc1" } };
        std::string text = toText(batch, now);
        text.replace(text.find("[\"dc1\"]"), 7, "[1]");
        CHECK_FALSE(parseDispatchBatch(text, now));
    }

    // Guards against VMs that lose contact with all others because of one number in a batch, which they reject as a whole.
    SECTION("a batch can be read whatever numbers it contains")
    {
        constexpr std::int64_t least = std::numeric_limits<std::int64_t>::min();
        constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
        const double reals[] = { 0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::max() };
        for (const std::int64_t value : { least, std::int64_t { -2'000'000 }, std::int64_t { -1 }, std::int64_t { 0 }, std::int64_t { 1'000'000'000'001 }, most }) {
            const Milliseconds time { value };
            // Points in time are limited by their resolution.
            const TimePoint point = now + std::chrono::duration_cast<Duration>(Milliseconds { value / 4'000'000 });
            for (const double real : reals) {
                const Resources need { value, value, value };
                RunRequest extreme = request;
                extreme.need = need;
                extreme.priority = static_cast<int>(value);
                extreme.estimate = time;
                extreme.expectedRunTime = time;
                extreme.latestStart = point;
                extreme.dueBy = point;
                extreme.maxPerUpstream = std::numeric_limits<std::uint32_t>::max();
                batch.messages = {
                    { extreme, {}, {}, {}, {}, {} },
                    { {}, {}, RunEnded { run, "u", RunOutcome::Done, time, "a" }, {}, {}, {} },
                    { {}, {}, {}, {}, RunWithdrawal { run, false, "u", point }, {} },
                    { {}, {}, {}, {}, {}, RunClaim { run, "u", { 6 }, need } },
                    { {}, {}, {}, {}, {}, {}, false, UpstreamCrash { { "u", time }, CrashEvidence::Confirmed, { run.task }, true, { { "proof", true, real } } } },
                };
                batch.capacity = {};
                batch.capacity.typicalNeed = need;
                batch.capacity.kinds.push_back({ "print", "a", 2, 8, real, { { value, 3 } } });
                batch.capacity.confinedRoutes.push_back({ "proof", 1, 4, 3, time });
                batch.capacity.queues.push_back({ "print", static_cast<int>(value), 4, time });
                CAPTURE(value, real);
                CHECK(parseDispatchBatch(toText(batch, now), now));
            }
        }
    }

    SECTION("batches are unchanged by a round trip; times are relative to the receiver's clock")
    {
        const TimePoint later = now + Seconds { 100 };
        const std::optional<DispatchBatch> reparsed = parseDispatchBatch(toText(batch, now), later);
        REQUIRE(reparsed);
        REQUIRE(reparsed->messages.size() == 7);
        CHECK(reparsed->messages[0].request->latestStart == later + Milliseconds { 250 });
        CHECK(reparsed->messages[0].request->dueBy == later + Milliseconds { 150 });
        CHECK(reparsed->messages[0].request->need == request.need);
        CHECK(reparsed->messages[1].started->epoch.value == 5);
        CHECK(reparsed->messages[2].ended->outcome == RunOutcome::Failed);
        CHECK(reparsed->messages[3].returned->reason == ReturnReason::Superseded);
        CHECK(reparsed->messages[4].withdrawal->onlyIfWaiting);
        CHECK(reparsed->messages[4].withdrawal->endBy == later + Milliseconds { 900 });
        CHECK(reparsed->messages[5].claim->epoch.value == 6);
        CHECK(reparsed->messages[5].claim->need == Resources { 50'000, 64, 1 });
        CHECK(reparsed->stamp.processIncarnation == 7);
        CHECK(reparsed->stamp.receiverProcessIncarnation == 8);
        CHECK(reparsed->stamp.echoedTimestamp == 99);
        CHECK(reparsed->stamp.firstMessage == 3);
        CHECK(reparsed->capacity.completeAtEpoch.value == 4);
        CHECK(reparsed->capacity.kinds[0].slowness == Approx(1.5));
        CHECK(reparsed->capacity.kinds[0].places == batch.capacity.kinds[0].places);
        CHECK(reparsed->messages[0].request->crashes.total == 2);
        CHECK(reparsed->messages[0].request->crashes.alone == 1);
        REQUIRE(reparsed->messages[6].crash);
        const UpstreamCrash& crash = *reparsed->messages[6].crash;
        CHECK(crash.incarnation == UpstreamIncarnation { "u", Milliseconds { 1'770'450'107'235 } });
        CHECK(crash.evidence == CrashEvidence::Confirmed);
        CHECK(crash.suspects == std::vector<TaskRef> { run.task });
        CHECK(crash.alone);
        REQUIRE(crash.exposures.size() == 1);
        CHECK(crash.exposures[0].route == "proof");
        CHECK(crash.exposures[0].present);
        CHECK(crash.exposures[0].share == Approx(0.25));
        REQUIRE(reparsed->capacity.confinedRoutes.size() == 1);
        CHECK(reparsed->capacity.confinedRoutes[0].route == "proof");
        CHECK(reparsed->capacity.confinedRoutes[0].freeTasks == 1);
        CHECK(reparsed->capacity.confinedRoutes[0].totalTasks == 4);
        CHECK(reparsed->capacity.confinedRoutes[0].queuedTasks == 3);
        CHECK(reparsed->capacity.confinedRoutes[0].queuedWork == Milliseconds { 300 });
        CHECK(reparsed->capacity.typicalNeed == batch.capacity.typicalNeed);
    }

    SECTION("a malformed text or an unknown message rejects the whole batch")
    {
        CHECK_FALSE(parseDispatchBatch("", now));
        CHECK_FALSE(parseDispatchBatch("{}", now));
        std::string text = toText(batch, now);
        text.replace(text.find("\"withdrawn\""), 11, "\"something\"");
        CHECK_FALSE(parseDispatchBatch(text, now));
    }
}
