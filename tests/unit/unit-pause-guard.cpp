#include <catch2/catch.hpp>

#include <egrettrestle/decision/pause_guard.hpp>

using namespace egrettrestle;

TEST_CASE("PauseGuard tells pauses of the process from its usual activity")
{
    const PauseLimits limits;
    PauseGuard guard(limits);
    TimePoint now { std::chrono::hours { 1 } };
    CHECK_FALSE(guard.onActivity(now));

    SECTION("activity at least once in the longest inactivity is none")
    {
        now += limits.maxInactivity;
        CHECK_FALSE(guard.onActivity(now));
        CHECK_FALSE(guard.uncheckedSince());
        CHECK(guard.onInput(now) == Milliseconds { 0 });
    }

    SECTION("after a pause, callers are unchecked since its begin until they have been checked")
    {
        const TimePoint begin = now;
        now += Seconds { 2 };
        CHECK(guard.onActivity(now));
        CHECK(guard.uncheckedSince() == begin);
        CHECK_FALSE(guard.onActivity(now));
        CHECK(guard.uncheckedSince() == begin);
        guard.onCallersChecked();
        CHECK_FALSE(guard.uncheckedSince());
    }

    SECTION("callers that were not checked before a second pause are unchecked since the first one")
    {
        const TimePoint begin = now;
        now += Seconds { 1 };
        guard.onActivity(now);
        now += Seconds { 1 };
        CHECK(guard.onActivity(now));
        CHECK(guard.uncheckedSince() == begin);
    }

    SECTION("input that is read after a pause may be as old as the pause, until there is none for a while")
    {
        now += Seconds { 2 };
        guard.onActivity(now);
        CHECK(guard.onInput(now) == Seconds { 2 });
        now += limits.settleTime;
        CHECK(guard.onInput(now) == Seconds { 2 } + limits.settleTime);
        now += limits.settleTime + Milliseconds { 1 };
        CHECK(guard.onInput(now) == Milliseconds { 0 });
        CHECK(guard.onInput(now) == Milliseconds { 0 });
    }

    SECTION("but not for ever, however dense the input is")
    {
        now += Seconds { 2 };
        guard.onActivity(now);
        const TimePoint resumedAt = now;
        while (now - resumedAt <= limits.maxSettleTime) {
            CHECK(guard.onInput(now) > Milliseconds { 0 });
            now += Milliseconds { 10 };
        }
        CHECK(guard.onInput(now) == Milliseconds { 0 });
    }
}
