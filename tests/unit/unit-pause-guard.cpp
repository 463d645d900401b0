#include <utility>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/pause_guard.hpp>

using namespace egrettrestle;

TEST_CASE("PauseGuard tells pauses of the process from its usual activity")
{
    const PauseLimits limits;
    PauseGuard guard(limits);
    TimePoint now { std::chrono::hours { 1 } };
    // All input that had arrived by the activity before has been handled.
    TimePoint lastActivity = now;
    const auto activity = [&](TimePoint time) { return guard.onActivity(time, std::exchange(lastActivity, time)); };
    CHECK_FALSE(activity(now));

    SECTION("activity at least once in the longest inactivity is none")
    {
        now += limits.maxInactivity;
        CHECK_FALSE(activity(now));
        CHECK_FALSE(guard.uncheckedSince());
        CHECK(guard.onInput(now, now) == Milliseconds { 0 });
    }

    SECTION("after a pause, callers are unchecked since its begin until they have been checked")
    {
        const TimePoint begin = now;
        now += Seconds { 2 };
        CHECK(activity(now));
        CHECK(guard.uncheckedSince() == begin);
        CHECK_FALSE(activity(now));
        CHECK(guard.uncheckedSince() == begin);
        guard.onCallersChecked(now);
        CHECK_FALSE(guard.uncheckedSince());
    }

    SECTION("callers that were not checked before a second pause are unchecked since the first one")
    {
        const TimePoint begin = now;
        now += Seconds { 1 };
        activity(now);
        now += Seconds { 1 };
        CHECK(activity(now));
        CHECK(guard.uncheckedSince() == begin);
    }

    SECTION("input that is read after a pause may be as old as the pause, until there is none for a while")
    {
        now += Seconds { 2 };
        activity(now);
        CHECK(guard.onInput(now, now) == Seconds { 2 });
        now += limits.settleTime;
        CHECK(guard.onInput(now, now) == Seconds { 2 } + limits.settleTime);
        now += limits.settleTime + Milliseconds { 1 };
        CHECK(guard.onInput(now, now) == Milliseconds { 0 });
        CHECK(guard.onInput(now, now) == Milliseconds { 0 });
    }

    SECTION("but not for ever, however dense the input is")
    {
        now += Seconds { 2 };
        activity(now);
        const TimePoint resumedAt = now;
        while (now - resumedAt <= limits.maxSettleTime) {
            CHECK(guard.onInput(now, now) > Milliseconds { 0 });
            now += Milliseconds { 10 };
        }
        CHECK(guard.onInput(now, now) == Milliseconds { 0 });
    }
}

// A VM with too little processor time stalls often and shortly. Requests that had been sent before were then taken for new ones,
// and were executed beside the same job at another VM.
TEST_CASE("PauseGuard knows the age of a request after stalls in any pattern")
{
    const PauseLimits limits;
    const Milliseconds stall = GENERATE(Milliseconds { 20 }, Milliseconds { 120 }, Milliseconds { 225 }, Milliseconds { 400 }, Milliseconds { 4'000 });
    const Milliseconds gap = GENERATE(Milliseconds { 1 }, Milliseconds { 30 }, Milliseconds { 235 }, Milliseconds { 1'000 });
    constexpr int stalls = 8;
    CAPTURE(stall.count(), gap.count());
    PauseGuard guard(limits);
    TimePoint now { std::chrono::hours { 1 } };
    // The process has no time to read its input between the stalls.
    const TimePoint inputHandledUntil = now;
    guard.onActivity(now, inputHandledUntil);
    bool callersChecked = true;
    for (int count = 0; count < stalls; ++count) {
        now += stall;
        const bool checkNeeded = guard.onActivity(now, inputHandledUntil);
        callersChecked = callersChecked && !checkNeeded;
        now += gap;
        const bool checkNeededNow = guard.onActivity(now, inputHandledUntil);
        callersChecked = callersChecked && !checkNeededNow;
        // Nothing is started for callers of which this VM has not known for long whether they are still there.
        CHECK((guard.uncheckedSince().has_value() || now - inputHandledUntil <= limits.maxInactivity));
        CHECK(callersChecked == !guard.uncheckedSince().has_value());
        CHECK(guard.onInput(now, inputHandledUntil) >= toMilliseconds(now - inputHandledUntil));
    }
    guard.onCallersChecked(now);
    CHECK_FALSE(guard.uncheckedSince());
    CHECK_FALSE(guard.onActivity(now, inputHandledUntil));
    // Input that arrived since then is new.
    now += limits.maxSettleTime + Milliseconds { 1 };
    guard.onActivity(now, now);
    CHECK(guard.onInput(now, now) == Milliseconds { 0 });
}
