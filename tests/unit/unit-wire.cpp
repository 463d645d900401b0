#include <catch2/catch.hpp>

#include <egrettrestle/base/span.hpp>
#include <egrettrestle/wire/job.hpp>
#include <egrettrestle/wire/peer_messages.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

using namespace egrettrestle;

TEST_CASE("jobs")
{
    SECTION("a job survives a round trip")
    {
        const JobParse parse = parseJob(R"({"caller":"c","submission":"s","service":"print","deadlineMs":100,"epoch":"dc1:4","tasks":[{"kind":"k","payload":{"a":[1,"x"]}},{"kind":"k"}]})");
        REQUIRE(parse.job);
        const JobParse again = parseJob(jobText(*parse.job));
        REQUIRE(again.job);
        CHECK(again.job->body == parse.job->body);
        CHECK(again.job->key == parse.job->key);
        CHECK(again.job->tasks.size() == 2);
    }

    SECTION("deadline and epoch do not make another body, a task does")
    {
        JobRequest job = *parseJob(R"({"caller":"c","submission":"s","service":"print","deadlineMs":100,"tasks":[{"kind":"k"}]})").job;
        const std::uint64_t body = job.body;
        job.deadline = Milliseconds(5);
        job.epochStamp = "dc1:9";
        deriveDigests(job);
        CHECK(job.body == body);
        job.tasks.push_back({ "k", "1" });
        deriveDigests(job);
        CHECK(job.body != body);
    }

    SECTION("callers and ids that only join to the same text are different submissions")
    {
        CHECK(submissionKey("ab", "c") != submissionKey("a", "bc"));
    }

    SECTION("replies survive a round trip")
    {
        JobReply reply = failure(504, events::deadlinePassed, Ran::MayHaveRun, "why");
        reply.epochStamp = "dc1:2";
        const std::optional<JobReply> again = parseReply(replyText(reply), 504);
        REQUIRE(again);
        CHECK(again->outcome == Outcome::Failed);
        CHECK(again->ran == Ran::MayHaveRun);
        CHECK(again->event == events::deadlinePassed.number);
        JobReply complete;
        complete.outcome = Outcome::Complete;
        complete.answers = { "{\"a\":1}", "2" };
        CHECK(parseReply(replyText(complete), 200)->answers == complete.answers);
        CHECK_FALSE(parseReply("{}", 200));
        CHECK_FALSE(parseReply("nonsense", 200));
    }

    SECTION("epoch stamps of other data centres, and malformed ones, read as 0")
    {
        CHECK(stampedEpoch("dc1:7", "dc1").value == 7);
        for (const char* stamp : { "dc2:7", "dc1:", "dc1:x", "dc1:7x", "", ":", "dc1" })
            CHECK(stampedEpoch(stamp, "dc1").value == 0);
    }
}

TEST_CASE("peer messages")
{
    const TimePoint now = SteadyClock::now();
    Claim claim;
    claim.key = submissionKey("c", "s");
    claim.body = 77;
    claim.holder.value = 3;
    claim.expiry = now + Seconds(5);
    claim.generation = 2;
    claim.state = ClaimState::Acknowledged;

    SECTION("records and hand-overs survive a round trip")
    {
        const std::optional<RecordBatch> records = parseRecordBatch(toText(RecordBatch { { { 1 }, { 2 }, { 3 } }, { { claim, { 4 }, { 5 } } } }, now), now);
        REQUIRE(records);
        CHECK(records->requests[0].claim.key == claim.key);
        CHECK(records->requests[0].claim.expiry == claim.expiry);
        CHECK(records->requests[0].registrarWholeFrom.value == 5);
        const std::optional<HandoverBatch> handovers = parseHandoverBatch(toText(HandoverBatch { {}, { { { 6 }, 9, { 2 }, { claim } } } }, now), now);
        REQUIRE(handovers);
        CHECK(handovers->handovers[0].claims[0].generation == 2);
        CHECK(handovers->handovers[0].bucket == 9);
    }

    SECTION("views survive a round trip")
    {
        const View view = withJoined(withJoined({}, "a", "p1", "c1"), "b", "p2", "c2");
        const std::optional<View> again = parseView(toText(view));
        REQUIRE(again);
        CHECK(toText(*again) == toText(view));
    }

    SECTION("malformed texts give nothing")
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

TEST_CASE("upstream messages")
{
    SECTION("tasks and answers survive a round trip, whatever is in their texts")
    {
        const UpstreamTask task { "id", "ki\"nd", "{\"a\":1}", Milliseconds(9) };
        const std::optional<UpstreamTask> again = parseUpstreamTask("id", toText(task));
        REQUIRE(again);
        CHECK(again->kind == task.kind);
        CHECK(again->payload == task.payload);
        CHECK(parseUpstreamAnswer(toText(UpstreamAnswer { "t", "[1]" }))->answer == "[1]");
        CHECK_FALSE(parseUpstreamAnswer("{\"taskId\":1,\"answer\":2}"));
    }
}

TEST_CASE("trace context")
{
    SECTION("a well-formed traceparent is taken over, anything else starts a new trace")
    {
        const std::string trace = "0af7651916cd43dd8448eb211c80319c";
        CHECK(parseTraceParent("00-" + trace + "-b7ad6b7169203331-01").traceId == trace);
        for (const char* header : { "", "00-", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "00-00000000000000000000000000000000-b7ad6b7169203331-01" })
            CHECK(parseTraceParent(header).traceId != trace);
    }
}
