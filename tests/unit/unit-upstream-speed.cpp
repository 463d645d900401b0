#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/upstream_speed.hpp>

#include "owner_fixture.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

constexpr Milliseconds expected { 100 };

/// Runs in turn on the upstreams u0, u1 and so on, each with a duration that varies by 40% around the expectation.
struct Runs {
    UpstreamSpeed speeds;
    std::mt19937 generator { 1 };
    TimePoint now { std::chrono::hours { 1 } };
    int upstreams;

    explicit Runs(int count)
        : upstreams(count)
    {
    }

    static UpstreamId nameOf(int index) { return "u" + std::to_string(index); }

    /// One run on each upstream; those on u0 take `slowness` times as long.
    void record(double slowness, const std::string& kind = "a")
    {
        for (int index = 0; index < upstreams; ++index) {
            const double factor = std::exp(0.4 * std::normal_distribution<double> {}(generator)) * (index == 0 ? slowness : 1);
            speeds.record(nameOf(index), kind, expected, std::chrono::duration_cast<Milliseconds>(expected * factor), now);
        }
        now += Milliseconds { 110 };
    }
};

}

// Guards against placement that follows the chance variation of single runs on a fleet whose upstreams are alike.
TEST_CASE("upstream speed: upstreams that are alike count as equal")
{
    Runs runs { 20 };
    int differing = 0;
    for (int round = 0; round < 1'000; ++round) {
        runs.record(1);
        for (int index = 0; index < runs.upstreams; ++index)
            differing += runs.speeds.factor(Runs::nameOf(index)) != 1 ? 1 : 0;
    }
    INFO("samples with a factor other than 1, of 20,000: " << differing);
    CHECK(differing <= 20);
}

// Guards against an upstream that becomes slow and is used as before.
TEST_CASE("upstream speed: a change is known within seconds")
{
    Runs runs { 10 };
    for (int round = 0; round < 50; ++round)
        runs.record(1);
    CHECK(runs.speeds.factor("u0") == 1);

    SECTION("an upstream that becomes twice as slow, after 30 runs")
    {
        for (int round = 0; round < 30; ++round)
            runs.record(2);
        CHECK(runs.speeds.factor("u0") > 1.35);
        CHECK(runs.speeds.factor("u0") < 2.5);
        CHECK(runs.speeds.factor("u1") == 1);

        SECTION("and recovers")
        {
            for (int round = 0; round < 30; ++round)
                runs.record(1);
            CHECK(runs.speeds.factor("u0") == 1);
        }

        SECTION("it is forgotten when it restarts, changes its kind or has not been used for long")
        {
            SECTION("restart")
            {
                runs.speeds.forget("u0");
            }
            SECTION("another kind")
            {
                runs.speeds.record("u0", "b", expected, expected, runs.now);
            }
            SECTION("not used")
            {
                runs.speeds.expire(runs.now + Seconds { 11 });
            }
            CHECK(runs.speeds.factor("u0") == 1);
        }
    }

    SECTION("an upstream that becomes twice as fast")
    {
        for (int round = 0; round < 30; ++round)
            runs.record(0.5);
        CHECK(runs.speeds.factor("u0") < 0.75);
    }
}

// Guards against a single run that takes very long and decides about its upstream.
TEST_CASE("upstream speed: single runs and extreme factors are bounded")
{
    Runs runs { 10 };
    for (int round = 0; round < 20; ++round)
        runs.record(1);
    runs.speeds.record("u1", "a", expected, Seconds { 60 }, runs.now);
    CHECK(runs.speeds.factor("u1") == 1);
    for (int round = 0; round < 100; ++round)
        runs.record(50);
    CHECK(runs.speeds.factor("u0") < 2.6);
    runs.speeds.record("u1", "a", Milliseconds { 0 }, expected, runs.now);
    runs.speeds.record("u1", "a", expected, Milliseconds { 0 }, runs.now);
    CHECK(runs.speeds.factor("u1") == 1);
}

// Guards against an error that all upstreams of a kind have in common and that each of them is charged with: the kind would
// never be found slow.
TEST_CASE("upstream speed: what a kind has in common belongs to the kind")
{
    Runs runs { 10 };
    for (int round = 0; round < 50; ++round) {
        for (int index = 0; index < runs.upstreams; ++index)
            runs.speeds.record(Runs::nameOf(index), "a", expected, expected * 2, runs.now);
    }
    for (int index = 0; index < runs.upstreams; ++index)
        CHECK(runs.speeds.factor(Runs::nameOf(index)) == 1);
}

namespace {

/// Ten upstreams of the kind `a` and ten of the kind `b`, on which runs of 100 ms are started and ended one after the other.
struct OwnerOfTwoKinds : OwnerFixture {
    int jobs = 0;
    std::map<UpstreamId, std::uint64_t> ends;

    OwnerOfTwoKinds()
    {
        owner.release("u1", now);
        for (const std::string kind : { "a", "b" }) {
            for (int index = 0; index < 10; ++index) {
                const UpstreamId id = kind + std::to_string(index);
                owner.acquire(upstreamNamed(id, 32'000, kind), token, now);
                pollUpstream(id, reply());
            }
        }
    }

    void pollUpstream(const UpstreamId& id, const PollReply& pollReply)
    {
        const PollOrder order = *owner.nextPoll(id, now);
        owner.onPollReply(id, order, pollReply, now, now);
    }

    /// One run on each upstream, all started at once; those on a0 take `slowness` times as long, those on `b` 1.5 times.
    void runOnAll(double slowness)
    {
        port.starts.clear();
        for (int index = 0; index < 20; ++index)
            owner.request("x", requestFor("j" + std::to_string(++jobs), 0, now + Seconds { 1 }), now);
        REQUIRE(port.starts.size() == 20);
        const std::vector<StartOrder> starts = port.starts;
        for (const StartOrder& start : starts)
            owner.onStartReply(start, { OrderOutcome::Accepted, std::nullopt }, now);
        endRuns(
            starts, [](const UpstreamId& id) { return id[0] == 'a' && id != "a0"; }, Milliseconds { 100 });
        endRuns(
            starts, [](const UpstreamId& id) { return id[0] == 'b'; }, Milliseconds { 50 });
        const auto onSlowOne = [](const UpstreamId& id) { return id == "a0"; };
        endRuns(starts, onSlowOne, std::chrono::duration_cast<Milliseconds>(Milliseconds { 100 } * slowness) - Milliseconds { 150 });
    }

    template <typename Predicate>
    void endRuns(const std::vector<StartOrder>& starts, Predicate matches, Milliseconds after)
    {
        advance(after);
        for (const StartOrder& start : starts) {
            if (matches(start.upstream))
                pollUpstream(start.upstream, reply({}, { RunEndRecord { ++ends[start.upstream], start.run, RunOutcome::Done } }));
        }
        for (const StartOrder& start : starts) {
            if (!matches(start.upstream))
                pollUpstream(start.upstream, reply({ start.run }));
        }
    }
};

}

// Guards against a slow upstream that makes its kind appear slow, so that the other upstreams of the kind are avoided too.
TEST_CASE("upstream speed: a slow upstream does not drag its kind along")
{
    OwnerOfTwoKinds fixture;
    for (int round = 0; round < 60; ++round) {
        fixture.runOnAll(2.4);
        fixture.advance(Milliseconds { 10 });
    }
    CHECK(fixture.owner.runTimeEstimator().slowness("a") == Approx(1.0).margin(0.03));
    CHECK(fixture.owner.runTimeEstimator().slowness("b") == Approx(1.5).margin(0.1));

    SECTION("it is the last of its kind that is used, and known to be slow until it restarts")
    {
        fixture.port.starts.clear();
        for (int index = 0; index < 10; ++index)
            fixture.owner.request("x", requestFor("last" + std::to_string(index), 0, fixture.now + Seconds { 1 }), fixture.now);
        for (const StartOrder& start : fixture.port.starts)
            CHECK(start.upstream != "a0");
    }

    SECTION("a restart makes it equal to the others")
    {
        UpstreamInfo restarted = upstreamNamed("a0", 32'000, "a");
        restarted.startedAt += Milliseconds { 1 };
        fixture.owner.acquire(restarted, token, fixture.now);
        fixture.pollUpstream("a0", fixture.reply());
        fixture.port.starts.clear();
        for (int index = 0; index < 10; ++index)
            fixture.owner.request("x", requestFor("again" + std::to_string(index), 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(std::any_of(fixture.port.starts.begin(), fixture.port.starts.end(), [](const StartOrder& start) { return start.upstream == "a0"; }));
    }
}
