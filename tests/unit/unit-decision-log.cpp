#include <catch2/catch.hpp>

#include <egrettrestle/base/metrics.hpp>
#include <egrettrestle/fleet/decision_log.hpp>

#include "captured_output.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

const TaskRun run { { "16c2", 0, 1 }, 1 };

/// The line that is written for an event, from its number on.
template <typename SomeEvent>
std::string lineOf(const SomeEvent& event)
{
    const CapturedOutput output;
    {
        EventLog log("vm1");
        writeEvent(log, event);
    }
    const std::string text = output.text();
    const std::size_t begin = text.find("\"event\":");
    REQUIRE(begin != std::string::npos);
    return text.substr(begin);
}

JobEvent jobEvent(JobEvent::Kind kind)
{
    JobEvent event;
    event.kind = kind;
    event.job = "16c2";
    event.route = "proof";
    event.age = Milliseconds { 350 };
    event.epoch = FencingToken { 7 };
    return event;
}

UpstreamEvidence someEvidence()
{
    UpstreamEvidence evidence;
    evidence.token = FencingToken { 7 };
    evidence.startedAt = Milliseconds { 1'000 };
    evidence.synced = true;
    evidence.pollAge = Milliseconds { 12 };
    evidence.clockAge = Milliseconds { 30 };
    evidence.leaseExpiredFor = Milliseconds { -400 };
    return evidence;
}

OwnerEvent ownerEvent(OwnerEvent::Kind kind, const std::string& cause, RunNote note)
{
    return { kind, "u1", {}, cause, Milliseconds { 4 }, 1, {}, someEvidence(), { std::move(note) } };
}

}

// Guards against lines from which it cannot be told why a task was sent again, or by when the runs of a job had to be over.
TEST_CASE("the lines about a job's runs name the runs, the VMs, the statement and the ages")
{
    SECTION("of tasks that were sent again")
    {
        JobEvent event = jobEvent(JobEvent::Kind::Resent);
        event.reportDelay = Milliseconds { 20 };
        const RunNote earlier { run, "vm2", "u1", "returned-lost", { { "sent", Milliseconds { 312 } }, { "stated", Milliseconds { 0 } } } };
        event.resends = { { earlier, "vm2", 2, "vm3" }, { earlier, "vm1", 2, "vm3" } };
        CHECK(lineOf(event) == R"("event":2106,"name":"runs-sent-again","request":"16c2","route":"proof","ageMs":350,"delayMs":20,"epoch":7,"count":2,"runs":"16c2.0.1#1/vm2/u1/returned-lost/sent=312,stated=0>2@vm3 16c2.0.1#1/vm2/u1/returned-lost:vm1/sent=312,stated=0>2@vm3"})"
                               "\n");
    }

    SECTION("of runs that are withdrawn")
    {
        JobEvent event = jobEvent(JobEvent::Kind::RunsWithdrawn);
        event.reason = "caller-left";
        event.withdrawnRuns = 1;
        event.endIn = Milliseconds { 970 };
        event.callersUncheckedFor = Milliseconds { 80 };
        event.runs = { { run, "vm2", "u1", "started", { { "sent", Milliseconds { 312 } } } } };
        CHECK(lineOf(event) == R"("event":2107,"name":"runs-withdrawn","request":"16c2","route":"proof","reason":"caller-left","ageMs":350,"endInMs":970,"uncheckedMs":80,"epoch":7,"count":1,"runs":"16c2.0.1#1/vm2/u1/started/sent=312"})"
                               "\n");
    }

    SECTION("of a withdrawn run that is over too late")
    {
        JobEvent event = jobEvent(JobEvent::Kind::RunsOutlived);
        event.reason = "caller-left";
        event.withdrawnRuns = 1;
        event.sinceEnd = Milliseconds { 1'062 };
        event.late = Milliseconds { 12 };
        event.runs = { { run, "vm2", "u1", "ended-stopped", { { "sent", Milliseconds { 1'400 } } } } };
        CHECK(lineOf(event) == R"("event":2108,"name":"runs-outlived","request":"16c2","route":"proof","reason":"caller-left","ageMs":350,"sinceEndMs":1062,"lateMs":12,"count":1,"runs":"16c2.0.1#1/vm2/u1/ended-stopped/sent=1400"})"
                               "\n");
    }

    SECTION("of more runs than a line holds, with the number of the others")
    {
        JobEvent event = jobEvent(JobEvent::Kind::RunsWithdrawn);
        event.runs.assign(43, { run, "vm2", "u1", "started", {} });
        CHECK(lineOf(event).find("started/ +3\"}") != std::string::npos);
    }
}

// Guards against a wrong start whose log does not tell what its owner knew of the upstream, of which process, and since when.
TEST_CASE("the lines about an upstream's description name the process that it describes and the one that answers polls")
{
    UpstreamInfo info;
    info.startedAt = Milliseconds { 1'000 };
    info.service = "print";
    info.labels = { "a", "r1-1" };
    info.capacity = { 64'000, 100'000, 0 };
    OwnerEvent event;
    event.upstream = "u1";
    event.description = DescriptionEvidence { info, Milliseconds { 730 }, Milliseconds { 2'000 } };

    SECTION("when they begin to differ")
    {
        event.kind = OwnerEvent::Kind::DescriptionOutdated;
        CHECK(lineOf(event) == R"("event":6118,"name":"description-outdated","upstream":"u1","cause":"","ageMs":0,"count":0,"startedAt":2000,"describedStart":1000,"describedMs":730,"service":"print","labels":"a r1-1","milliCores":64000,"state":"ready","runs":""})"
                               "\n");
    }

    SECTION("when they are the same again")
    {
        event.kind = OwnerEvent::Kind::DescriptionCurrent;
        event.age = Milliseconds { 420 };
        CHECK(lineOf(event).find(R"("event":6119,"name":"description-current","upstream":"u1","cause":"","ageMs":420,)") == 0);
    }

    SECTION("when a restart is found")
    {
        event.kind = OwnerEvent::Kind::Restarted;
        event.cause = "look";
        CHECK(lineOf(event).find(R"("event":6106,"name":"upstream-reborn","upstream":"u1","cause":"look",)") == 0);
    }
}

// Guards against lines from which it cannot be told on what an owner's statement about a run stands.
TEST_CASE("the lines about an owner's statements name the token and the ages of what they stand on")
{
    SECTION("of runs that are past their end")
    {
        const OwnerEvent event = ownerEvent(OwnerEvent::Kind::RunsPastEnd, "listed", { run, "vm2", {}, "stop-unanswered", { { "stopSent", Milliseconds { 60 } }, { "late", Milliseconds { 40 } } } });
        CHECK(lineOf(event) == R"("event":6121,"name":"runs-past-end","request":"","run":"","upstream":"u1","cause":"listed","ageMs":4,"count":1,"token":7,"startedAt":1000,"synced":"yes","pollMs":12,"clockMs":30,"leaseExpiredMs":-400,"runs":"16c2.0.1#1/vm2//stop-unanswered/stopSent=60,late=40"})"
                               "\n");
    }

    SECTION("of unclaimed runs and of runs that are returned as lost")
    {
        CHECK(lineOf(ownerEvent(OwnerEvent::Kind::RunsUnclaimed, "later-poll", { run, {}, {}, {}, {} })).find(R"("event":6122,"name":"runs-unclaimed")") == 0);
        CHECK(lineOf(ownerEvent(OwnerEvent::Kind::RunsReturnedLost, "poll", { run, "vm2", {}, "absent", {} })).find(R"("event":6123,"name":"runs-returned-lost")") == 0);
    }

    SECTION("of an expired lease, where the upstream's clock is not known")
    {
        OwnerEvent event { OwnerEvent::Kind::RunsLost, "u1", {}, "timed-out", Milliseconds { 700 }, 1, { { run, "proof", 0 } }, someEvidence() };
        event.evidence->clockAge.reset();
        event.evidence->leaseExpiredFor = Milliseconds { 15 };
        CHECK(lineOf(event) == R"("event":6107,"name":"runs-lost","request":"","run":"","upstream":"u1","cause":"timed-out","ageMs":700,"count":1,"token":7,"startedAt":1000,"synced":"yes","pollMs":12,"clockMs":"unknown","leaseExpiredMs":15,"runs":"16c2.0.1#1/proof/0"})"
                               "\n");
    }
}

// Guards against a task sent again that counts as one more job, which would change the rates that operators watch.
TEST_CASE("only the events about a job's outcome count as one")
{
    CHECK(isOutcome(JobEvent::Kind::Answered));
    CHECK(isOutcome(JobEvent::Kind::Refused));
    CHECK(isOutcome(JobEvent::Kind::GaveUp));
    CHECK(isOutcome(JobEvent::Kind::CallerDisconnected));
    CHECK_FALSE(isOutcome(JobEvent::Kind::ClaimSent));
    CHECK_FALSE(isOutcome(JobEvent::Kind::Resent));
    CHECK_FALSE(isOutcome(JobEvent::Kind::RunsWithdrawn));
    CHECK_FALSE(isOutcome(JobEvent::Kind::RunsOutlived));
}

// Guards against runs past their end that only the log shows, of which lines may have been dropped.
TEST_CASE("the metrics count runs that were sent again, runs past their end and unclaimed runs")
{
    Metrics metrics;
    metrics.countResentRun("returned-lost");
    metrics.countResentRun("returned-lost");
    metrics.countRunsPastEnd("listed", 3);
    metrics.countUnclaimedRuns("later-poll", 4);
    const std::string text = metrics.render();
    CHECK(text.find("egrettrestle_runs_sent_again_total{statement=\"returned-lost\"} 2") != std::string::npos);
    CHECK(text.find("egrettrestle_runs_past_end_total{seen=\"listed\"} 3") != std::string::npos);
    CHECK(text.find("egrettrestle_unclaimed_runs_total{found=\"later-poll\"} 4") != std::string::npos);
}
