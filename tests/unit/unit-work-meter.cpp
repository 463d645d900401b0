#include <catch2/catch.hpp>

#include <egrettrestle/base/work_meter.hpp>

using namespace egrettrestle;

namespace {

void waitFor(Milliseconds time)
{
    const TimePoint end = SteadyClock::now() + time;
    while (SteadyClock::now() < end) { }
}

}

// Guards against time that counts for two kinds of work, which would hide the most costly one.
TEST_CASE("a work scope does not count the time of a scope inside it")
{
    WorkMeter meter;
    const TimePoint begin = SteadyClock::now();
    {
        const WorkScope outer(meter, WorkKind::Tick);
        {
            const WorkScope inner(meter, WorkKind::BatchSent);
            waitFor(Milliseconds { 20 });
        }
    }
    const Duration whole = SteadyClock::now() - begin;
    CHECK(meter.total(WorkKind::Tick).count == 1);
    CHECK(meter.total(WorkKind::BatchSent).count == 1);
    CHECK(meter.total(WorkKind::BatchSent).time >= Milliseconds { 20 });
    CHECK(meter.total(WorkKind::Tick).time + meter.total(WorkKind::BatchSent).time <= whole);
    CHECK(meter.total(WorkKind::Poll).count == 0);
}

TEST_CASE("each kind of work has a name")
{
    CHECK(std::string(workKindName(WorkKind::Tick)) == "tick");
    CHECK(std::string(workKindName(WorkKind::Membership)) == "membership");
}
