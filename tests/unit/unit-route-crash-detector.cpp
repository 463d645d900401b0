#include <catch2/catch.hpp>

#include <random>

#include <egrettrestle/decision/route_crash_detector.hpp>

using namespace egrettrestle;

namespace {

const std::string culprit = "proof";

/// A crash of an upstream in a fleet of which the routes use 30%, 55% and 40%; `cause` is the route that caused it, if any.
std::vector<RouteExposure> crashBy(std::mt19937& random, const std::string& cause)
{
    std::vector<RouteExposure> exposures { { culprit, false, 0.3 }, { "quote", false, 0.55 }, { "render", false, 0.4 } };
    for (RouteExposure& exposure : exposures)
        exposure.present = exposure.route == cause || std::uniform_real_distribution<double>(0, 1)(random) < exposure.share;
    return exposures;
}

}

// Guards against a route whose tasks take down the upstreams of all others, and against routes that are restricted because
// upstreams crash by themselves.
TEST_CASE("route crash detector finds the routes that crash upstreams")
{
    RouteCrashDetector detector;
    TimePoint now { std::chrono::hours { 1 } };
    detector.decay(now);

    SECTION("within a few crashes, and no other route")
    {
        int falseAlarms = 0;
        for (unsigned seed = 1; seed <= 200; ++seed) {
            std::mt19937 random(seed);
            RouteCrashDetector fresh;
            for (int crash = 0; crash < 8; ++crash)
                fresh.record(crashBy(random, culprit));
            CAPTURE(seed);
            CHECK(fresh.isCrashing(culprit));
            falseAlarms += fresh.isCrashing("quote") || fresh.isCrashing("render") ? 1 : 0;
        }
        CHECK(falseAlarms <= 10);
    }

    SECTION("none when a seventh of the upstreams crash by themselves")
    {
        int falseAlarms = 0;
        for (unsigned seed = 1; seed <= 200; ++seed) {
            std::mt19937 random(seed);
            RouteCrashDetector fresh;
            for (int crash = 0; crash < 7; ++crash)
                fresh.record(crashBy(random, ""));
            falseAlarms += fresh.isCrashing(culprit) || fresh.isCrashing("quote") || fresh.isCrashing("render") ? 1 : 0;
        }
        CHECK(falseAlarms <= 10);
    }

    SECTION("two routes that crash upstreams in turn")
    {
        std::mt19937 random(1);
        for (int crash = 0; crash < 30; ++crash)
            detector.record(crashBy(random, crash % 2 == 0 ? culprit : "render"));
        CHECK(detector.isCrashing(culprit));
        CHECK(detector.isCrashing("render"));
    }

    SECTION("until some seconds after the last crash")
    {
        std::mt19937 random(1);
        for (int crash = 0; crash < 20; ++crash)
            detector.record(crashBy(random, culprit));
        detector.decay(now + Seconds { 1 });
        CHECK(detector.isCrashing(culprit));
        detector.decay(now + Seconds { 8 });
        CHECK_FALSE(detector.isCrashing(culprit));
    }

    SECTION("a route that uses all upstreams gives no evidence by its presence")
    {
        for (int crash = 0; crash < 30; ++crash)
            detector.record({ { culprit, true, 1 } });
        CHECK_FALSE(detector.isCrashing("other"));
    }
}
