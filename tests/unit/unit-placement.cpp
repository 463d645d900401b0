#include <catch2/catch.hpp>

#include <egrettrestle/decision/capacity_table.hpp>
#include <egrettrestle/decision/ownership.hpp>
#include <egrettrestle/decision/run_time_estimator.hpp>

#include "fake_ports.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

View viewOf(const std::vector<std::pair<VmId, DataCentreId>>& members)
{
    View view;
    view.epoch.value = 1;
    for (const auto& member : members)
        view.members.push_back({ member.first, "p", "c", { 1 }, member.second });
    return view;
}

}

TEST_CASE("ownership of upstreams")
{
    const View view = viewOf({ { "a", "dc1" }, { "b", "dc1" }, { "c", "dc2" } });

    SECTION("an upstream belongs to a VM of its own data centre")
    {
        for (int index = 0; index < 50; ++index)
            CHECK(ownerOf(view, upstreamNamed("u" + std::to_string(index))) != "c");
    }

    SECTION("where its data centre has no VM, to any other")
    {
        CHECK(ownerOf(viewOf({ { "c", "dc2" } }), upstreamNamed("u")) == "c");
    }

    SECTION("a VM with a small share of a processor owns fewer")
    {
        // Load: VMs of 0.12 and 0.5 core side by side; with equal shares the small ones were held up by their orders.
        View mixed = viewOf({ { "a", "dc1" }, { "b", "dc1" } });
        mixed.members[0].weight = 0.5;
        mixed.members[1].weight = 0.125;
        constexpr int upstreams = 2'000;
        int large = 0;
        for (int index = 0; index < upstreams; ++index)
            large += ownerOf(mixed, upstreamNamed("u" + std::to_string(index))) == "a" ? 1 : 0;
        CHECK(large == Approx(upstreams * 0.8).margin(upstreams * 0.03));
    }

    SECTION("nobody without members")
    {
        CHECK_FALSE(ownerOf({}, upstreamNamed("u")));
    }

    SECTION("a member that leaves moves only its own upstreams")
    {
        const View without = viewOf({ { "a", "dc1" }, { "c", "dc2" } });
        for (int index = 0; index < 50; ++index) {
            const UpstreamInfo upstream = upstreamNamed("u" + std::to_string(index));
            if (ownerOf(view, upstream) == "a")
                CHECK(ownerOf(without, upstream) == "a");
        }
    }
}

TEST_CASE("room table")
{
    CapacityTable rooms;
    rooms.update("x", capacityFor(2, 8));
    rooms.update("y", capacityFor(5, 8));

    SECTION("requests on the way count as taken room until the owner has seen them")
    {
        rooms.recordRequest("y");
        rooms.recordRequest("y");
        CHECK(rooms.freeTasks("y", "print") == 3);
        CapacityReport report = capacityFor(3, 8);
        report.requestsReceived = 2;
        rooms.update("y", report);
        CHECK(rooms.freeTasks("y", "print") == 3);
    }

    SECTION("totals add up what is reachable")
    {
        CHECK(rooms.totals("print", 0).freeTasks == 7);
        rooms.setReachable("y", false);
        CHECK(rooms.totals("print", 0).freeTasks == 2);
        CHECK(rooms.totals("print", 0).totalTasks == 8);
    }

    SECTION("only tasks at least as urgent count as ahead")
    {
        CapacityReport report = capacityFor(0, 8, 3);
        report.queues[0].priority = 1;
        rooms.update("y", report);
        CHECK(rooms.totals("print", 0).tasksAhead == 0);
        CHECK(rooms.totals("print", 1).tasksAhead == 3);
    }
}

TEST_CASE("room table where the rack matters")
{
    // Pattern: tasks that take several times as long away from their data or from each other.
    CapacityTable rooms;
    rooms.setLocalOwners({ "x", "y" });
    rooms.update("x", capacityFor(2, 8));
    rooms.update("y", capacityFor(6, 8));
    rooms.update("z", capacityFor(3, 8));
    const auto place = [&rooms](const UpstreamId& id, const std::string& rack, const VmId& owner) {
        UpstreamInfo upstream = upstreamNamed(id);
        upstream.rack = rack;
        rooms.setPlacement(upstream, owner);
    };
    place("u1", "r1", "x");
    place("u2", "r2", "z");
    place("u3", "r2", "z");
    place("u4", "r3", "y");

    SECTION("an owner of upstreams there comes before this VM and those near")
    {
        CHECK(rooms.chooseOwner("x", "print", {}, "r2") == "z");
        CHECK(rooms.chooseOwner("x", "print", {}, "r1") == "x");
    }

    SECTION("elsewhere is better than nowhere")
    {
        rooms.update("z", capacityFor(0, 8));
        CHECK(rooms.chooseOwner("x", "print", {}, "r2") == "y");
        CHECK(rooms.chooseOwner("x", "print", {}, "r9") == "x");
    }

    SECTION("the roomiest rack is that with the most room at its owners")
    {
        CHECK(rooms.rackWithMostCapacity("print") == "r3");
        rooms.removePlacement("u4");
        CHECK(rooms.rackWithMostCapacity("print") == "r2");
        CHECK(rooms.rackWithMostCapacity("scan").empty());
    }
}

TEST_CASE("learned run times")
{
    RunTimeEstimator times;

    SECTION("the caller's estimate serves until runs have ended")
    {
        CHECK(times.expectedRunTime("proof", Milliseconds { 80 }) == Milliseconds { 80 });
    }

    SECTION("an estimate that is always half of the truth is corrected")
    {
        for (int run = 0; run < 100; ++run)
            times.record("proof", "a", Milliseconds { 100 }, Milliseconds { 200 });
        CHECK(times.expectedRunTime("proof", Milliseconds { 100 }).count() == Approx(200).margin(10));
    }

    SECTION("a kind of upstream that is slower by a third is known as such")
    {
        for (int run = 0; run < 200; ++run) {
            times.record("proof", "fast", Milliseconds { 100 }, Milliseconds { 100 });
            times.record("proof", "slow", Milliseconds { 100 }, Milliseconds { 130 });
        }
        CHECK(times.slowness("fast") == Approx(1.0).margin(0.05));
        CHECK(times.slowness("slow") == Approx(1.3).margin(0.1));
    }
}
