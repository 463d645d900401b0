#include <catch2/catch.hpp>

#include <egrettrestle/decision/dispatcher.hpp>

#include "fake_ports.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

class RecordingDispatcherPort : public DispatcherPort {
public:
    void start(const StartOrder& order) override { starts.push_back(order); }
    void stop(const StopOrder& order) override { stops.push_back(order); }
    void pollNow(const UpstreamId&) override { }
    void send(const VmId& vm, PeerMessage message) override { sent.push_back({ vm, std::move(message) }); }
    void reply(CallerTicket ticket, const JobResult& answer) override { replies.push_back({ ticket, answer }); }
    void recordEvent(const OwnerEvent&) override { }
    void note(const JobEvent&) override { }
    void onOwnedUpstreamsChanged() override { ++ownedChanges; }
    void onPeerLost(const VmId& vm) override { lost.push_back(vm); }

    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<Told> sent;
    std::vector<Replied> replies;
    std::vector<VmId> lost;
    int ownedChanges = 0;
};

View viewOf(std::uint64_t epoch, const std::vector<VmId>& members)
{
    View view;
    view.epoch.value = epoch;
    for (const VmId& member : members)
        view.members.push_back({ member, "p", "c", { 1 }, "dc1" });
    return view;
}

/// Dispatcher `x` with one upstream, which it owns and knows.
struct DispatcherWorld {
    RecordingDispatcherPort port;
    Dispatcher dispatcher { port, "x", {} };
    TimePoint now { std::chrono::hours { 1 } };
    UpstreamId upstream;

    void look(std::vector<TaskRun> running = {}, std::vector<RunEndRecord> ended = {})
    {
        PollReply reply;
        reply.outcome = OrderOutcome::Accepted;
        reply.clock = toMilliseconds(now.time_since_epoch());
        reply.running = std::move(running);
        reply.ended = std::move(ended);
        const PollOrder order = *dispatcher.nextPoll(upstream, now);
        dispatcher.onPollReply(order, reply, now, now);
    }

    /// An upstream that `x` owns among the members, as `u1` where it is alone.
    void begin(const std::vector<VmId>& members = { "x" })
    {
        int number = 1;
        while (ownerOf(viewOf(1, members), upstreamNamed("u" + std::to_string(number))) != "x")
            ++number;
        upstream = "u" + std::to_string(number);
        dispatcher.setUpstream(upstreamNamed(upstream), now);
        dispatcher.setView(viewOf(1, members), now);
    }
};

}

TEST_CASE("a VM alone runs a job on its own upstream")
{
    DispatcherWorld world;
    world.begin();
    world.look();
    world.dispatcher.submit(1, jobOf("j", 2), routeNamed("proof"), world.now);
    REQUIRE(world.port.starts.size() == 2);
    std::vector<RunEndRecord> ended;
    for (const StartOrder& order : world.port.starts) {
        world.dispatcher.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, world.now);
        ended.push_back({ ended.size() + 1, order.run, RunOutcome::Done });
    }
    world.now += Milliseconds { 90 };
    world.look({}, ended);
    REQUIRE(world.port.replies.size() == 1);
    CHECK(world.port.replies[0].reply.outcome == JobOutcome::Succeeded);
}

TEST_CASE("a VM that has just come up takes no jobs before it knows the room")
{
    DispatcherWorld world;
    CHECK_FALSE(world.dispatcher.isReady(world.now));
    world.begin({ "x", "y" });
    CHECK_FALSE(world.dispatcher.isReady(world.now));
    world.look();
    CHECK_FALSE(world.dispatcher.isReady(world.now));

    SECTION("but once all others have told theirs")
    {
        world.dispatcher.onPeerMessages("y", {}, capacityFor(1, 2), world.now);
        CHECK(world.dispatcher.isReady(world.now));
    }

    SECTION("or when the time for that is over")
    {
        world.now += Seconds { 1 };
        CHECK(world.dispatcher.isReady(world.now));
    }
}

TEST_CASE("a VM that has just come up refuses nothing for want of room that others have not counted yet")
{
    // Load: callers that come as soon as a fleet is ready; two long jobs fill the first room that is told.
    DispatcherWorld world;
    world.begin({ "x", "y" });
    world.look();
    world.dispatcher.tick(world.now);
    CapacityReport room = capacityFor(0, 1);
    world.dispatcher.onPeerMessages("y", {}, room, world.now);
    REQUIRE(world.dispatcher.isReady(world.now));
    DispatchJob job = jobOf("j", 8);
    job.callerTimeout = Milliseconds { 400 };

    SECTION("before each has looked at all its upstreams under the view")
    {
        world.dispatcher.submit(1, job, routeNamed("proof"), world.now);
        CHECK(world.port.replies.empty());
    }

    SECTION("but does once all have")
    {
        room.completeAtEpoch = { 1 };
        world.dispatcher.onPeerMessages("y", {}, room, world.now);
        world.dispatcher.submit(1, job, routeNamed("proof"), world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::Refused);
    }

    SECTION("and not for ever")
    {
        world.now += Milliseconds { 1'600 };
        world.dispatcher.onPeerMessages("y", {}, room, world.now);
        world.dispatcher.submit(1, job, routeNamed("proof"), world.now);
        CHECK(world.port.replies.size() == 1);
    }
}

TEST_CASE("an upstream's new address reaches the links")
{
    DispatcherWorld world;
    world.begin();
    const int before = world.port.ownedChanges;
    UpstreamInfo moved = upstreamNamed("u1");
    moved.startedAt = Milliseconds { 2'000 };
    moved.address = "10.0.0.2:80";
    world.dispatcher.setUpstream(moved, world.now);
    CHECK(world.port.ownedChanges == before + 1);
    CHECK(world.dispatcher.ownedUpstreams().at(0).address == "10.0.0.2:80");
}

TEST_CASE("the runs of a VM that falls silent are stopped before its callers send again")
{
    DispatcherWorld world;
    world.begin({ "x", "y" });
    world.look();
    PeerMessage request;
    request.request = requestFor("j", 0, world.now + Seconds { 1 });
    world.dispatcher.onPeerMessages("y", { request }, capacityFor(0, 0), world.now);
    REQUIRE(world.port.starts.size() == 1);
    world.now += Milliseconds { 650 };
    world.dispatcher.tick(world.now);
    REQUIRE(world.port.stops.size() == 1);
    CHECK(world.port.stops[0].run == request.request->run);
}

TEST_CASE("an owner is taken for lost only when the last lease it can have granted has run out")
{
    // The owner hears this VM for `oldestMessage` after its last reply, grants until the silence is over, and that lease
    // lasts by a clock that may be slow.
    const DispatcherLimits limits;
    const double lease = static_cast<double>(limits.owner.leaseDuration.count()) * (1 + limits.owner.clockDrift);
    CHECK(static_cast<double>(ownerLossTimeout(limits).count()) >= static_cast<double>((limits.maxMessageAge + limits.owner.executorTimeout).count()) + lease);

    DispatcherWorld world;
    world.begin({ "x", "y" });
    world.dispatcher.onPeerReply("y", true, world.now);
    // Pattern: an owner out of processor time answers, but too late to take what was sent; it may take the next.
    world.now += Seconds { 1 };
    world.dispatcher.onPeerReply("y", false, world.now);
    world.now += ownerLossTimeout(limits);
    world.dispatcher.tick(world.now);
    CHECK(world.port.lost.empty());
    world.now += Milliseconds { 1 };
    world.dispatcher.tick(world.now);
    CHECK(world.port.lost == std::vector<VmId> { "y" });
}

TEST_CASE("an older view changes nothing")
{
    DispatcherWorld world;
    world.begin();
    world.dispatcher.setView(viewOf(5, { "x" }), world.now);
    world.dispatcher.setView(viewOf(4, { "y" }), world.now);
    CHECK(world.dispatcher.ownedUpstreams().size() == 1);
    CHECK(world.dispatcher.nextPoll("u1", world.now)->token.value == 5);
}

TEST_CASE("an upstream that discovery no longer lists is used on for a moment, then given up")
{
    DispatcherWorld world;
    world.begin();
    world.look();
    world.dispatcher.onUpstreamUnlisted("u1", world.now);
    world.dispatcher.tick(world.now);
    world.dispatcher.submit(1, jobOf("j", 1), routeNamed("proof"), world.now);
    CHECK(world.port.starts.size() == 1);
    world.now += Seconds { 3 };
    world.dispatcher.tick(world.now);
    world.dispatcher.tick(world.now);
    CHECK(world.dispatcher.ownedUpstreams().empty());
}
