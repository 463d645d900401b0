#include <catch2/catch.hpp>

#include <egrettrestle/decision/crash_table.hpp>

using namespace egrettrestle;

namespace {

const TaskRef culprit { "j", 0, 0 };
const TaskRef neighbour { "k", 0, 1 };

UpstreamIncarnation lifeOf(const UpstreamId& id) { return { id, Milliseconds { 1'000 } }; }

}

// Guards against innocent tasks that are condemned because they ran beside the task that crashed the upstream, or were at
// an upstream that was merely cut off.
TEST_CASE("crash table counts crashes by task")
{
    CrashTable table;
    TimePoint now { std::chrono::hours { 1 } };

    SECTION("a suspected crash counts as possible, and as confirmed once it is")
    {
        table.record({ lifeOf("u1"), CrashEvidence::Suspected, { culprit, neighbour } }, now);
        CHECK(table.crashesOf(culprit).possible.total == 1);
        CHECK(table.crashesOf(culprit).confirmed.total == 0);
        table.record({ lifeOf("u1"), CrashEvidence::Confirmed }, now);
        CHECK(table.crashesOf(culprit).confirmed.total == 1);
        CHECK(table.crashesOf(neighbour).confirmed.total == 1);
    }

    SECTION("a refuted crash counts for no task, also if another VM still suspects it")
    {
        table.record({ lifeOf("u1"), CrashEvidence::Suspected, { culprit }, true }, now);
        table.record({ lifeOf("u1"), CrashEvidence::Refuted }, now);
        table.record({ lifeOf("u1"), CrashEvidence::Suspected, { culprit }, true }, now);
        CHECK(table.crashesOf(culprit).possible.total == 0);
        CHECK_FALSE(table.isSuspected(lifeOf("u1")));
    }

    SECTION("an incarnation that was cut off before can still crash")
    {
        table.record({ lifeOf("u1"), CrashEvidence::Suspected, { neighbour } }, now);
        table.record({ lifeOf("u1"), CrashEvidence::Refuted }, now);
        now += Seconds { 2 };
        table.record({ lifeOf("u1"), CrashEvidence::Suspected, { culprit }, true }, now);
        CHECK(table.crashesOf(culprit).possible.alone == 1);
        CHECK(table.crashesOf(neighbour).possible.total == 0);
        table.record({ lifeOf("u1"), CrashEvidence::Refuted }, now);
        table.record({ lifeOf("u1"), CrashEvidence::Confirmed, { culprit }, true }, now);
        CHECK(table.crashesOf(culprit).confirmed.total == 1);
        table.record({ lifeOf("u1"), CrashEvidence::Refuted }, now);
        CHECK(table.crashesOf(culprit).confirmed.total == 1);
    }

    SECTION("a crash reported by several VMs counts once, two lives of one upstream count twice")
    {
        for (int report = 0; report < 3; ++report)
            table.record({ lifeOf("u1"), CrashEvidence::Suspected, { culprit } }, now);
        CHECK(table.crashesOf(culprit).possible.total == 1);
        table.record({ { "u1", Milliseconds { 2'000 } }, CrashEvidence::Suspected, { culprit } }, now);
        CHECK(table.crashesOf(culprit).possible.total == 2);
    }

    SECTION("crashes are conclusive only if the task was alone at one of them, or there are three")
    {
        table.record({ lifeOf("u1"), CrashEvidence::Confirmed, { culprit, neighbour } }, now);
        table.record({ lifeOf("u2"), CrashEvidence::Confirmed, { culprit, neighbour } }, now);
        CHECK_FALSE(isConclusive(table.crashesOf(culprit).confirmed));
        CHECK(needsUpstreamAlone(table.crashesOf(culprit).possible));
        CHECK(table.mostCrashesOf("k").possible.total == 2);
        table.record({ lifeOf("u3"), CrashEvidence::Confirmed, { culprit }, true }, now);
        CHECK(isConclusive(table.crashesOf(culprit).confirmed));
        CHECK_FALSE(isConclusive(table.crashesOf(neighbour).confirmed));
        CHECK(isConclusive(table.mostCrashesOf("j").confirmed));
    }

    SECTION("a crash does not count for a task that ran beside one with conclusive crashes")
    {
        table.record({ lifeOf("u1"), CrashEvidence::Confirmed, { culprit, neighbour } }, now);
        CHECK(table.crashesOf(neighbour).confirmed.total == 1);
        table.record({ lifeOf("u2"), CrashEvidence::Suspected, { culprit }, true }, now);
        CHECK(table.crashesOf(neighbour).possible.total == 0);
        CHECK(table.crashesOf(culprit).possible.total == 2);
        table.record({ lifeOf("u2"), CrashEvidence::Refuted }, now);
        CHECK(table.crashesOf(neighbour).possible.total == 1);
    }

    SECTION("a task that another report names as well was not alone")
    {
        table.record({ lifeOf("u1"), CrashEvidence::Suspected, { culprit }, true }, now);
        table.record({ lifeOf("u1"), CrashEvidence::Suspected, { neighbour }, true }, now);
        CHECK(table.crashesOf(culprit).possible.alone == 0);
        CHECK(table.crashesOf(neighbour).possible.alone == 0);
    }

    SECTION("only reports about repeated crashes are passed on to a VM that has joined")
    {
        table.record({ lifeOf("u1"), CrashEvidence::Confirmed, { culprit, neighbour } }, now);
        CHECK(table.reportsOfRepeatedCrashes().empty());
        table.record({ lifeOf("u2"), CrashEvidence::Suspected, { culprit }, true }, now);
        CrashTable copy;
        for (const UpstreamCrash& report : table.reportsOfRepeatedCrashes())
            copy.record(report, now);
        CHECK(copy.crashesOf(culprit).possible.total == 2);
        CHECK(copy.crashesOf(culprit).confirmed.total == 1);
        CHECK(copy.crashesOf(neighbour).possible.total == 0);
    }

    SECTION("reports are forgotten after a minute, and the oldest ones when there are too many")
    {
        table.record({ lifeOf("u1"), CrashEvidence::Suspected, { culprit } }, now);
        table.expire(now + Seconds { 61 });
        CHECK(table.size() == 0);
        CHECK(table.crashesOf(culprit).possible.total == 0);
        for (int upstream = 0; upstream < 5'000; ++upstream)
            table.record({ lifeOf(std::to_string(upstream)), CrashEvidence::Suspected, { culprit } }, now);
        CHECK(table.size() == 4'096);
        CHECK(table.crashesOf(culprit).possible.total == 4'096);
    }
}
