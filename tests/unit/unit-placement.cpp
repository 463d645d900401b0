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

    SECTION("the owner of an upstream is in its data centre")
    {
        for (int index = 0; index < 50; ++index)
            CHECK(ownerOf(view, upstreamNamed("u" + std::to_string(index))) != "c");
    }

    SECTION("if its data centre has no VM, the owner is in another one")
    {
        CHECK(ownerOf(viewOf({ { "c", "dc2" } }), upstreamNamed("u")) == "c");
    }

    SECTION("a VM with a lower weight owns fewer upstreams, in proportion to its weight")
    {
        // With equal shares, VMs with 0.12 core beside others with 0.5 core are overloaded by the orders to their upstreams.
        View mixed = viewOf({ { "a", "dc1" }, { "b", "dc1" } });
        mixed.members[0].weight = 0.5;
        mixed.members[1].weight = 0.125;
        constexpr int upstreams = 2'000;
        int large = 0;
        for (int index = 0; index < upstreams; ++index)
            large += ownerOf(mixed, upstreamNamed("u" + std::to_string(index))) == "a" ? 1 : 0;
        CHECK(large == Approx(upstreams * 0.8).margin(upstreams * 0.03));
    }

    SECTION("without members there is no owner")
    {
        CHECK_FALSE(ownerOf({}, upstreamNamed("u")));
    }

    SECTION("when a member leaves, only its own upstreams change their owner")
    {
        const View without = viewOf({ { "a", "dc1" }, { "c", "dc2" } });
        for (int index = 0; index < 50; ++index) {
            const UpstreamInfo upstream = upstreamNamed("u" + std::to_string(index));
            if (ownerOf(view, upstream) == "a")
                CHECK(ownerOf(without, upstream) == "a");
        }
    }
}

TEST_CASE("capacity table")
{
    CapacityTable capacities;
    capacities.update("x", capacityFor(2, 8));
    capacities.update("y", capacityFor(5, 8));

    SECTION("requests in transit reduce the free capacity until the owner has received them")
    {
        capacities.recordRequest("y");
        capacities.recordRequest("y");
        CHECK(capacities.freeTasks("y", "print") == 3);
        CapacityReport report = capacityFor(3, 8);
        report.requestsReceived = 2;
        capacities.update("y", report);
        CHECK(capacities.freeTasks("y", "print") == 3);
    }

    SECTION("totals include only reachable owners")
    {
        CHECK(capacities.totals("print", 0).freeTasks == 7);
        capacities.setReachable("y", false);
        CHECK(capacities.totals("print", 0).freeTasks == 2);
        CHECK(capacities.totals("print", 0).totalTasks == 8);
    }

    SECTION("only queued tasks that are at least as urgent count as ahead")
    {
        CapacityReport report = capacityFor(0, 8, 3);
        report.queues[0].priority = 1;
        capacities.update("y", report);
        CHECK(capacities.totals("print", 0).tasksAhead == 0);
        CHECK(capacities.totals("print", 1).tasksAhead == 3);
    }
}

TEST_CASE("capacity table: choosing an owner by rack")
{
    // For tasks that take several times as long if they run in another rack than their data or each other.
    CapacityTable capacities;
    capacities.setLocalOwners({ "x", "y" });
    capacities.update("x", capacityFor(2, 8));
    capacities.update("y", capacityFor(6, 8));
    capacities.update("z", capacityFor(3, 8));
    const auto addUpstream = [&capacities](const UpstreamId& id, const std::string& rack, const VmId& owner) {
        UpstreamInfo upstream = upstreamNamed(id);
        upstream.rack = rack;
        capacities.setPlacement(upstream, owner);
    };
    addUpstream("u1", "r1", "x");
    addUpstream("u2", "r2", "z");
    addUpstream("u3", "r2", "z");
    addUpstream("u4", "r3", "y");

    SECTION("an owner of upstreams in the rack is preferred to this VM and to local owners")
    {
        CHECK(capacities.chooseOwner({ "x", "print", {}, "r2" }) == "z");
        CHECK(capacities.chooseOwner({ "x", "print", {}, "r1" }) == "x");
    }

    SECTION("without free capacity in the rack another owner is chosen")
    {
        capacities.update("z", capacityFor(0, 8));
        // VM z has no capacity of its own and chooses from the same list, so the choice is random: 6 of 8 times y, else x.
        int choicesOfY = 0;
        for (int choice = 0; choice < 400; ++choice) {
            const std::optional<VmId> owner = capacities.chooseOwner({ "x", "print", {}, "r2" });
            REQUIRE((owner == "x" || owner == "y"));
            choicesOfY += owner == "y" ? 1 : 0;
        }
        CHECK(choicesOfY == Approx(300).margin(40));
        capacities.update("x", capacityFor(0, 8));
        CHECK(capacities.chooseOwner({ "x", "print", {}, "r2" }) == "y");
        capacities.update("x", capacityFor(2, 8));
        CHECK(capacities.chooseOwner({ "x", "print", {}, "r9" }) == "x");
    }

    SECTION("the rack with the most free capacity of its owners is chosen")
    {
        CHECK(capacities.rackWithMostCapacity("print") == "r3");
        capacities.removePlacement("u4");
        CHECK(capacities.rackWithMostCapacity("print") == "r2");
        CHECK(capacities.rackWithMostCapacity("scan").empty());
    }
}

TEST_CASE("run time estimator")
{
    RunTimeEstimator estimator;

    SECTION("without completed runs the caller's estimate is used")
    {
        CHECK(estimator.expectedRunTime("proof", Milliseconds { 80 }) == Milliseconds { 80 });
    }

    SECTION("an estimate that is always half of the actual run time is corrected")
    {
        for (int run = 0; run < 100; ++run)
            estimator.record("proof", "a", Milliseconds { 100 }, Milliseconds { 200 });
        CHECK(estimator.expectedRunTime("proof", Milliseconds { 100 }).count() == Approx(200).margin(10));
    }

    SECTION("the slowness of a kind of upstream is measured")
    {
        for (int run = 0; run < 200; ++run) {
            estimator.record("proof", "fast", Milliseconds { 100 }, Milliseconds { 100 });
            estimator.record("proof", "slow", Milliseconds { 100 }, Milliseconds { 130 });
        }
        CHECK(estimator.slowness("fast") == Approx(1.0).margin(0.05));
        CHECK(estimator.slowness("slow") == Approx(1.3).margin(0.1));
    }
}

// Guards against jobs of a confined route that are accepted for capacity that they cannot use, and against other routes that
// are refused because of its queue.
TEST_CASE("capacity table counts a confined route apart")
{
    CapacityTable table;
    CapacityReport report = capacityFor(6, 16);
    report.confinedRoutes.push_back({ "proof", 1, 4, 3, Milliseconds { 300 } });
    table.update("x", report);
    table.update("y", capacityFor(2, 16));
    CHECK(table.freeTasks("x", "print", "quote") == 6);
    CHECK(table.freeTasks("x", "print", "proof") == -2);
    const CapacityTotals confined = table.totals("print", 0, "proof");
    CHECK(confined.freeTasks == 2);
    CHECK(confined.totalTasks == 20);
    CHECK(confined.tasksAhead == 3);
    CHECK(confined.workAhead == Milliseconds { 300 });
    const CapacityTotals other = table.totals("print", 0, "quote");
    CHECK(other.freeTasks == 8);
    CHECK(other.totalTasks == 32);
    CHECK(other.tasksAhead == 0);
    CHECK(table.chooseOwner({ "x", "print", {}, {}, "proof" }) == VmId { "y" });
    CHECK(table.chooseOwner({ "x", "print", {}, {}, "quote" }) == VmId { "x" });
}
