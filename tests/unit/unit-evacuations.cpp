#include <algorithm>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/dispatcher.hpp>

#include "fake_ports.hpp"
#include "owner_fixture.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

UpstreamInfo upstreamIn(const DataCentreId& dataCentre, const UpstreamId& id)
{
    UpstreamInfo info = upstreamNamed(id);
    info.dataCentre = dataCentre;
    return info;
}

/// A VM, and what its upstreams are running.
struct Vm {
    explicit Vm(VmId id)
        : dispatcher(port, std::move(id), {})
    {
    }

    /// Confirms all starts that have not been confirmed yet.
    void confirmStarts(TimePoint now)
    {
        while (confirmed < port.starts.size()) {
            const StartOrder order = port.starts[confirmed++];
            running[order.upstream].push_back(order.run);
            dispatcher.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, now);
        }
    }

    /// Polls the VM's upstreams, which list what they are running; the runs in `ending` have ended.
    void poll(TimePoint now, const std::vector<TaskRun>& ending = {})
    {
        for (const UpstreamInfo& upstream : dispatcher.ownedUpstreams()) {
            PollReply reply;
            reply.outcome = OrderOutcome::Accepted;
            reply.clock = toMilliseconds(now.time_since_epoch());
            std::vector<TaskRun>& runs = running[upstream.id];
            for (const TaskRun& run : ending) {
                const auto found = std::find(runs.begin(), runs.end(), run);
                if (found == runs.end())
                    continue;
                runs.erase(found);
                reply.ended.push_back({ ++ends[upstream.id], run, RunOutcome::Done });
            }
            reply.running = runs;
            const PollOrder order = *dispatcher.nextPoll(upstream.id, now);
            dispatcher.onPollReply(order, reply, now, now);
        }
    }

    std::size_t startsAt(const UpstreamId& upstream) const
    {
        return static_cast<std::size_t>(std::count_if(port.starts.begin(), port.starts.end(), [&upstream](const StartOrder& order) { return order.upstream == upstream; }));
    }

    RecordingDispatcherPort port;
    Dispatcher dispatcher;
    std::size_t confirmed = 0;
    std::size_t delivered = 0;
    std::map<UpstreamId, std::vector<TaskRun>> running;
    std::map<UpstreamId, std::uint64_t> ends;
};

/// The VM `x` alone, with the upstreams `u1` in the data centre `dc1` and `u2` in `dc2`, beyond its warm-up. Each fits two
/// tasks.
struct SingleVmFixture {
    Vm x { "x" };
    TimePoint now { std::chrono::hours { 1 } };

    SingleVmFixture()
    {
        x.dispatcher.setView(viewOf(1, { "x" }), now);
        x.dispatcher.setUpstream(upstreamIn("dc1", "u1"), now);
        x.dispatcher.setUpstream(upstreamIn("dc2", "u2"), now);
        x.dispatcher.tick(now);
        now += Seconds { 2 };
        // Tells the typical need, which capacity is counted in.
        x.dispatcher.onPeerMessages("z", {}, capacityFor(0, 0), now);
        x.poll(now);
        x.dispatcher.tick(now);
    }

    void evacuate(std::uint64_t revision, const std::set<DataCentreId>& dataCentres) { x.dispatcher.setEvacuations({ revision, dataCentres }, EvacuationSource::Store, now); }

    CallerTicket submit(const std::string& job, std::uint32_t tasks, const std::string& label = {})
    {
        DispatchJob request = jobOf(job, tasks);
        request.steps.front().requiredLabel = label;
        x.dispatcher.submit(++lastTicket, request, routeNamed("proof"), now, now);
        return lastTicket;
    }

    /// Tasks that can start now, in all data centres.
    std::uint32_t freeTasks() const
    {
        std::uint32_t free = 0;
        for (const KindCapacity& kind : x.dispatcher.capacityReport(now).kinds)
            free += kind.freeTasks;
        return free;
    }

    CallerTicket lastTicket = 0;
};

/// The VMs `x` in the data centre `dc1`, with the upstream `u1`, and `y` in `dc2`, with `u2`. Each upstream fits two tasks.
struct TwoVmFixture {
    Vm x { "x" };
    Vm y { "y" };
    View view = viewOf(1, { "x", "y" });
    TimePoint now { std::chrono::hours { 1 } };

    TwoVmFixture()
    {
        view.members[1].dataCentre = "dc2";
        for (Vm* vm : { &x, &y }) {
            vm->dispatcher.setView(view, now);
            vm->dispatcher.setUpstream(upstreamIn("dc1", "u1"), now);
            vm->dispatcher.setUpstream(upstreamIn("dc2", "u2"), now);
            // Tells the typical need, which capacity is counted in.
            vm->dispatcher.onPeerMessages("z", {}, capacityFor(0, 0), now);
            vm->poll(now);
        }
        exchange();
    }

    /// Sends one batch from a VM to the other, with the messages that have not been delivered yet.
    void sendBatch(Vm& from, const VmId& sender, Vm& to, const VmId& receiver, bool withEvacuations)
    {
        std::vector<PeerMessage> messages;
        for (; from.delivered < from.port.sent.size(); ++from.delivered)
            messages.push_back(from.port.sent[from.delivered].message);
        CapacityReport report = from.dispatcher.capacityReport(now);
        report.requestsReceived = from.dispatcher.requestsReceived(receiver);
        const std::optional<Evacuations> evacuations = from.dispatcher.evacuationsToShare();
        if (evacuations && withEvacuations)
            to.dispatcher.setEvacuations(*evacuations, EvacuationSource::Peer, now);
        to.dispatcher.onPeerMessages(sender, messages, report, now);
        from.dispatcher.onPeerReply(receiver, true, now);
    }

    /// Has both VMs send what they have for each other.
    void exchange(bool withEvacuations = true)
    {
        sendBatch(x, "x", y, "y", withEvacuations);
        sendBatch(y, "y", x, "x", withEvacuations);
    }
};

std::vector<EvacuationEvent::Kind> kindsOf(const std::vector<EvacuationEvent>& events)
{
    std::vector<EvacuationEvent::Kind> kinds;
    for (const EvacuationEvent& event : events)
        kinds.push_back(event.kind);
    return kinds;
}

}

// VMs receive sets from the store and from each other in any order, and must end with the same one.
TEST_CASE("of two sets of evacuations the one with the higher revision counts")
{
    Evacuations known;
    const EvacuationChanges first = mergeEvacuations(known, { 5, { "dc1", "dc2" } });
    CHECK(first.begun == std::vector<DataCentreId> { "dc1", "dc2" });
    CHECK(first.ended.empty());
    CHECK_FALSE(mergeEvacuations(known, { 4, {} }).any());
    CHECK_FALSE(mergeEvacuations(known, { 5, { "dc3" } }).any());
    CHECK(known == Evacuations { 5, { "dc1", "dc2" } });
    const EvacuationChanges second = mergeEvacuations(known, { 6, { "dc2", "dc3" } });
    CHECK(second.begun == std::vector<DataCentreId> { "dc3" });
    CHECK(second.ended == std::vector<DataCentreId> { "dc1" });
    CHECK_FALSE(mergeEvacuations(known, { 9, { "dc2", "dc3" } }).any());
    CHECK(known.revision == 9);
}

TEST_CASE("nothing is started in a data centre that is being evacuated, until it is back")
{
    SingleVmFixture fixture;
    CHECK(fixture.freeTasks() == 4);
    fixture.evacuate(5, { "dc1" });
    CHECK(fixture.freeTasks() == 2);
    fixture.submit("a", 3);
    CHECK(fixture.x.startsAt("u1") == 0);
    CHECK(fixture.x.startsAt("u2") == 2);

    SECTION("then queued runs start there at once")
    {
        fixture.evacuate(6, {});
        CHECK(fixture.x.startsAt("u1") == 1);
        CHECK(kindsOf(fixture.x.port.evacuations) == std::vector<EvacuationEvent::Kind> { EvacuationEvent::Kind::Begun, EvacuationEvent::Kind::Ended });
    }

    SECTION("an older set does not bring it back")
    {
        fixture.evacuate(4, {});
        fixture.evacuate(5, {});
        fixture.x.dispatcher.setEvacuations({ 4, {} }, EvacuationSource::Peer, fixture.now);
        CHECK(fixture.freeTasks() == 0);
        CHECK(fixture.x.startsAt("u1") == 0);
    }
}

TEST_CASE("several data centres are evacuated at once, and again while they are taken back")
{
    SingleVmFixture fixture;
    fixture.evacuate(5, { "dc1" });
    fixture.evacuate(6, { "dc1", "dc2" });
    CHECK(fixture.freeTasks() == 0);
    fixture.evacuate(7, { "dc2" });
    CHECK(fixture.freeTasks() == 2);
    fixture.submit("a", 1);
    CHECK(fixture.x.startsAt("u1") == 1);
    fixture.evacuate(8, { "dc1", "dc2" });
    fixture.submit("b", 1);
    CHECK(fixture.x.port.starts.size() == 1);
    fixture.evacuate(9, {});
    CHECK(fixture.freeTasks() == 3);
    std::vector<std::string> events;
    for (const EvacuationEvent& event : fixture.x.port.evacuations)
        events.emplace_back((event.kind == EvacuationEvent::Kind::Begun ? "+" : "-") + event.dataCentre + "@" + std::to_string(event.revision));
    CHECK(events == std::vector<std::string> { "+dc1@5", "+dc2@6", "-dc1@7", "+dc1@8", "-dc1@9", "-dc2@9" });
}

// Work that is stopped is lost; the operator waits for the runs instead.
TEST_CASE("runs in progress in an evacuated data centre end by themselves")
{
    SingleVmFixture fixture;
    fixture.submit("a", 4);
    fixture.x.confirmStarts(fixture.now);
    REQUIRE(fixture.x.startsAt("u1") == 2);
    fixture.evacuate(5, { "dc1" });
    fixture.now += Milliseconds { 100 };
    fixture.x.poll(fixture.now);
    fixture.x.dispatcher.tick(fixture.now);
    CHECK(fixture.x.port.stops.empty());
    CHECK(fixture.x.dispatcher.nextPoll("u1", fixture.now)->leaseEnd);
    CHECK(fixture.x.dispatcher.evacuatedRuns() == 2);
    REQUIRE(fixture.x.port.evacuations.size() == 1);
    CHECK(fixture.x.port.evacuations[0].ownRuns == 2);

    std::vector<TaskRun> all = fixture.x.running["u1"];
    all.insert(all.end(), fixture.x.running["u2"].begin(), fixture.x.running["u2"].end());
    fixture.x.poll(fixture.now, all);
    fixture.x.dispatcher.tick(fixture.now);
    fixture.x.dispatcher.tick(fixture.now);
    REQUIRE(fixture.x.port.replies.size() == 1);
    CHECK(fixture.x.port.replies[0].reply.outcome == JobOutcome::Succeeded);
    CHECK(fixture.x.dispatcher.evacuatedRuns() == 0);
    CHECK(kindsOf(fixture.x.port.evacuations) == std::vector<EvacuationEvent::Kind> { EvacuationEvent::Kind::Begun, EvacuationEvent::Kind::Empty });
}

// A caller must not wait for capacity that an operator has taken away.
TEST_CASE("a job is refused at once when all capacity is being evacuated")
{
    SingleVmFixture fixture;

    SECTION("a new one")
    {
        fixture.evacuate(5, { "dc1", "dc2" });
        fixture.submit("a", 1);
    }

    SECTION("one that is queued and has not started")
    {
        fixture.submit("running", 4);
        fixture.x.confirmStarts(fixture.now);
        DispatchJob request = jobOf("a", 1);
        Route route = routeNamed("proof");
        route.stretch = 10;
        fixture.x.dispatcher.submit(7, request, route, fixture.now, fixture.now);
        REQUIRE(fixture.x.dispatcher.queued() == 1);
        fixture.evacuate(5, { "dc1", "dc2" });
        CHECK(fixture.x.dispatcher.queued() == 0);
        fixture.x.dispatcher.tick(fixture.now);
    }

    SECTION("one whose label only evacuated upstreams have")
    {
        UpstreamInfo labelled = upstreamIn("dc1", "u1");
        labelled.labels.emplace_back("special");
        fixture.x.dispatcher.setUpstream(labelled, fixture.now);
        fixture.evacuate(5, { "dc1" });
        fixture.submit("a", 1, "special");
        fixture.x.dispatcher.tick(fixture.now);
    }

    REQUIRE(fixture.x.port.replies.size() == 1);
    CHECK(fixture.x.port.replies[0].reply.outcome == JobOutcome::Refused);
    CHECK(fixture.x.port.replies[0].reply.reason == "no-upstream");
    CHECK(fixture.x.dispatcher.queued() == 0);
    CHECK(fixture.x.startsAt("u1") + fixture.x.startsAt("u2") == fixture.x.confirmed);
}

// The key may be misspelt, or name a data centre that is being set up.
TEST_CASE("an evacuation of an unknown data centre has an effect once upstreams appear there")
{
    SingleVmFixture fixture;
    fixture.evacuate(5, { "dc3" });
    REQUIRE(fixture.x.port.evacuations.size() == 1);
    CHECK(fixture.x.port.evacuations[0].upstreams == 0);
    CHECK(fixture.freeTasks() == 4);
    fixture.x.dispatcher.setUpstream(upstreamIn("dc3", "u3"), fixture.now);
    fixture.x.poll(fixture.now);
    CHECK(fixture.freeTasks() == 4);
    fixture.submit("a", 4);
    CHECK(fixture.x.startsAt("u3") == 0);
}

// Capacity that came with upstreams of an evacuated data centre must not be counted after the entry of one changes either.
TEST_CASE("an upstream whose entry moves it out of an evacuated data centre can be used")
{
    SingleVmFixture fixture;
    fixture.evacuate(5, { "dc1" });
    fixture.x.dispatcher.setUpstream(upstreamIn("dc4", "u1"), fixture.now);
    CHECK(fixture.freeTasks() == 4);
    fixture.x.dispatcher.setUpstream(upstreamIn("dc1", "u1"), fixture.now);
    CHECK(fixture.freeTasks() == 2);
}

TEST_CASE("a VM of an evacuated data centre serves its callers with upstreams elsewhere")
{
    TwoVmFixture fixture;
    fixture.x.dispatcher.setEvacuations({ 5, { "dc1" } }, EvacuationSource::Store, fixture.now);
    fixture.x.dispatcher.submit(1, jobOf("a", 2), routeNamed("proof"), fixture.now, fixture.now);
    fixture.exchange();
    CHECK(fixture.x.port.starts.empty());
    CHECK(fixture.y.startsAt("u2") == 2);
}

// Without the return the runs would wait for their latest start at an owner that cannot start them any more.
TEST_CASE("queued runs of an evacuated owner are returned and sent elsewhere, not back to it")
{
    TwoVmFixture fixture;
    fixture.y.dispatcher.submit(1, jobOf("busy", 2), routeNamed("proof"), fixture.now, fixture.now);
    fixture.y.confirmStarts(fixture.now);
    REQUIRE(fixture.y.startsAt("u2") == 2);
    // Both VMs use the two free places of u1; those of y have to wait.
    fixture.y.dispatcher.submit(2, jobOf("a", 2), routeNamed("proof"), fixture.now, fixture.now);
    fixture.x.dispatcher.submit(1, jobOf("other", 2), routeNamed("proof"), fixture.now, fixture.now);
    fixture.x.confirmStarts(fixture.now);
    fixture.exchange();
    REQUIRE(fixture.x.dispatcher.queued() == 2);

    fixture.x.dispatcher.setEvacuations({ 5, { "dc1" } }, EvacuationSource::Store, fixture.now);
    CHECK(fixture.x.dispatcher.queued() == 0);
    // y does not know of the evacuation yet, and the last report of x that it has shows capacity.
    const std::size_t sentBefore = fixture.y.port.sent.size();
    fixture.sendBatch(fixture.x, "x", fixture.y, "y", false);
    CHECK(fixture.y.port.sent.size() == sentBefore);
    CHECK(fixture.y.dispatcher.queued() == 2);
    fixture.now += Milliseconds { 50 };
    fixture.y.poll(fixture.now, std::vector<TaskRun>(fixture.y.running["u2"]));
    CHECK(fixture.y.startsAt("u2") == 4);
    CHECK(fixture.x.startsAt("u1") == 2);
    CHECK(fixture.x.port.stops.empty());
}

// Its executor has not learned of the evacuation yet.
TEST_CASE("a run that is requested from an evacuated owner is returned at once")
{
    TwoVmFixture fixture;
    fixture.x.dispatcher.setEvacuations({ 5, { "dc1" } }, EvacuationSource::Store, fixture.now);
    const RunRequest request = requestFor("a", 0, fixture.now + Seconds { 1 });
    fixture.x.dispatcher.onPeerMessages("y", { { request, {}, {}, {}, {}, {} } }, capacityFor(0, 2), fixture.now);
    CHECK(fixture.x.port.starts.empty());
    REQUIRE(fixture.x.port.sent.size() == 1);
    REQUIRE(fixture.x.port.sent[0].message.returned);
    CHECK(fixture.x.port.sent[0].message.returned->reason == ReturnReason::Unschedulable);
}

// The store may not answer a VM, and a VM that has just started may not have read it yet.
TEST_CASE("a VM learns the evacuations from the batches of others")
{
    TwoVmFixture fixture;
    CHECK_FALSE(fixture.x.dispatcher.evacuationsToShare());
    fixture.x.dispatcher.setEvacuations({ 5, { "dc2" } }, EvacuationSource::Store, fixture.now);
    fixture.exchange();
    CHECK(fixture.y.dispatcher.evacuations() == Evacuations { 5, { "dc2" } });
    REQUIRE(fixture.y.port.evacuations.size() == 1);
    CHECK(fixture.y.port.evacuations[0].source == EvacuationSource::Peer);
    CHECK(fixture.y.port.evacuations[0].ownUpstreams == 1);

    SECTION("and forwards them")
    {
        CHECK(fixture.y.dispatcher.evacuationsToShare() == Evacuations { 5, { "dc2" } });
    }

    SECTION("also the end, which is sent as an empty set")
    {
        fixture.x.dispatcher.setEvacuations({ 8, {} }, EvacuationSource::Store, fixture.now);
        CHECK(fixture.x.dispatcher.evacuationsToShare() == Evacuations { 8, {} });
        fixture.exchange();
        CHECK(fixture.y.dispatcher.evacuations() == Evacuations { 8, {} });
        CHECK(fixture.y.dispatcher.evacuationsToShare() == Evacuations { 8, {} });
    }

    SECTION("after a restart")
    {
        Vm restarted("y");
        restarted.dispatcher.setView(fixture.view, fixture.now);
        restarted.dispatcher.setUpstream(upstreamIn("dc2", "u2"), fixture.now);
        restarted.poll(fixture.now);
        restarted.dispatcher.setEvacuations(*fixture.x.dispatcher.evacuationsToShare(), EvacuationSource::Peer, fixture.now);
        const RunRequest request = requestFor("a", 0, fixture.now + Seconds { 1 });
        restarted.dispatcher.onPeerMessages("x", { { request, {}, {}, {}, {}, {} } }, capacityFor(2, 2), fixture.now);
        CHECK(restarted.port.starts.empty());
    }

    SECTION("and one that has read the end from the store tells those that have not")
    {
        Vm restarted("y");
        restarted.dispatcher.setEvacuations({ 9, {} }, EvacuationSource::Store, fixture.now);
        CHECK_FALSE(restarted.dispatcher.evacuationsToShare());
        restarted.dispatcher.setEvacuations({ 5, { "dc2" } }, EvacuationSource::Peer, fixture.now);
        CHECK(restarted.dispatcher.evacuationsToShare() == Evacuations { 9, {} });
    }
}

// The set belongs to each VM, so nothing has to be handed over with an upstream.
TEST_CASE("a new owner starts nothing in an evacuated data centre, and lets go on what runs there")
{
    TwoVmFixture fixture;
    fixture.x.dispatcher.setEvacuations({ 5, { "dc1" } }, EvacuationSource::Store, fixture.now);
    fixture.exchange();
    View later = viewOf(2, { "y" });
    later.members[0].dataCentre = "dc2";
    fixture.y.dispatcher.setView(later, fixture.now);
    REQUIRE(fixture.y.dispatcher.ownedUpstreams().size() == 2);
    const TaskRun running { { "found", 0, 0 }, 1 };
    fixture.y.running["u1"] = { running };
    fixture.y.poll(fixture.now);
    fixture.y.dispatcher.onPeerMessages("z", { { {}, {}, {}, {}, {}, RunClaim { running, "u1", { 2 }, { 27'000, 64, 0 } } } }, capacityFor(0, 0), fixture.now);
    // Two of its tasks have to wait, which its objective allows.
    Route route = routeNamed("proof");
    route.stretch = 10;
    fixture.y.dispatcher.submit(1, jobOf("a", 4), route, fixture.now, fixture.now);
    fixture.y.dispatcher.tick(fixture.now);
    CHECK(fixture.y.startsAt("u1") == 0);
    CHECK(fixture.y.startsAt("u2") == 2);
    CHECK(fixture.y.port.stops.empty());
    // Not reported as empty while the runs there are unknown, or while one is left.
    CHECK(kindsOf(fixture.y.port.evacuations) == std::vector<EvacuationEvent::Kind> { EvacuationEvent::Kind::Begun });
    fixture.y.poll(fixture.now, { running });
    fixture.y.dispatcher.tick(fixture.now);
    CHECK(kindsOf(fixture.y.port.evacuations) == std::vector<EvacuationEvent::Kind> { EvacuationEvent::Kind::Begun, EvacuationEvent::Kind::Empty });
}

// Upstreams that come back after an evacuation are slow at first.
TEST_CASE("a cold upstream is used last among equals")
{
    SingleVmFixture fixture;
    UpstreamInfo cold = upstreamIn("dc1", "u1");
    cold.coldRemaining = Milliseconds { 2'000 };
    fixture.x.dispatcher.setUpstream(cold, fixture.now);
    fixture.submit("a", 2);
    CHECK(fixture.x.startsAt("u2") == 2);

    SECTION("but before none")
    {
        fixture.submit("b", 2);
        CHECK(fixture.x.startsAt("u1") == 2);
    }

    SECTION("and like the others when it is warm")
    {
        fixture.now += Seconds { 2 };
        fixture.x.dispatcher.tick(fixture.now);
        fixture.x.confirmStarts(fixture.now);
        fixture.x.poll(fixture.now, std::vector<TaskRun>(fixture.x.running["u2"]));
        fixture.submit("b", 1);
        CHECK(fixture.x.startsAt("u1") == 1);
    }

    SECTION("or when a heartbeat says so")
    {
        fixture.x.confirmStarts(fixture.now);
        fixture.x.poll(fixture.now, std::vector<TaskRun>(fixture.x.running["u2"]));
        cold.coldRemaining = Milliseconds { 0 };
        fixture.x.dispatcher.setUpstream(cold, fixture.now);
        fixture.submit("b", 1);
        CHECK(fixture.x.startsAt("u1") == 1);
    }
}

// The remaining time differs in every heartbeat of every upstream.
TEST_CASE("a heartbeat with another remaining cold time reassigns nothing")
{
    SingleVmFixture fixture;
    UpstreamInfo cold = upstreamIn("dc1", "u1");
    cold.coldRemaining = Milliseconds { 2'000 };
    CHECK(cold == *fixture.x.dispatcher.upstream("u1"));
    const int changes = fixture.x.port.ownedUpstreamsChanges;
    for (int heartbeat = 0; heartbeat < 10; ++heartbeat) {
        cold.coldRemaining -= Milliseconds { 100 };
        fixture.x.dispatcher.setUpstream(cold, fixture.now);
    }
    CHECK(fixture.x.port.ownedUpstreamsChanges == changes);
}

TEST_CASE("a new owner of a cold upstream knows that it is cold")
{
    TwoVmFixture fixture;
    UpstreamInfo cold = upstreamIn("dc1", "u1");
    cold.coldRemaining = Milliseconds { 2'000 };
    fixture.y.dispatcher.setUpstream(cold, fixture.now);
    fixture.y.dispatcher.setView(viewOf(2, { "y" }), fixture.now);
    fixture.y.poll(fixture.now);
    fixture.y.dispatcher.submit(1, jobOf("a", 2), routeNamed("proof"), fixture.now, fixture.now);
    CHECK(fixture.y.startsAt("u2") == 2);
}

// A kind whose upstreams have all just restarted would be taken for a slow one, by the owner and by the executors.
TEST_CASE("durations on a cold upstream are not learned")
{
    OwnerFixture fixture;
    fixture.owner.acquire(upstreamNamed("fast", 64'000, "b"), token, fixture.now);
    const auto run = [&fixture](const UpstreamId& upstream, const std::string& job, Milliseconds duration) {
        fixture.poll(fixture.reply());
        RunRequest request = requestFor(job, 0, fixture.now + Seconds { 5 });
        request.avoid = { upstream == "u1" ? "fast" : "u1" };
        const PollOrder other = *fixture.owner.nextPoll("fast", fixture.now);
        fixture.owner.onPollReply("fast", other, fixture.reply(), fixture.now, fixture.now);
        fixture.owner.request("x", request, fixture.now);
        const StartOrder order = fixture.port.starts.back();
        REQUIRE(order.upstream == upstream);
        fixture.owner.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.advance(duration);
        const PollOrder poll = *fixture.owner.nextPoll(upstream, fixture.now);
        fixture.owner.onPollReply(upstream, poll, fixture.reply({}, { fixture.end(order.run, RunOutcome::Done) }), fixture.now, fixture.now);
        return fixture.lastMessage().ended->duration;
    };
    const bool isCold = GENERATE(true, false);
    CAPTURE(isCold);
    if (isCold)
        fixture.owner.setCold("u1", fixture.now + Seconds { 60 }, fixture.now);
    Milliseconds reported { 0 };
    for (int number = 0; number < 40; ++number) {
        run("fast", "f" + std::to_string(number), Milliseconds { 100 });
        reported = run("u1", "s" + std::to_string(number), Milliseconds { 250 });
    }
    if (isCold) {
        CHECK(reported.count() == 0);
        CHECK(fixture.owner.runTimeEstimator().slowness("a") == Approx(1));
        // The end of the cold time does not make the duration of a run that began in it usable.
        fixture.poll(fixture.reply());
        const TaskRun last = fixture.startOne("late");
        const UpstreamId upstream = fixture.port.starts.back().upstream;
        fixture.owner.setCold("u1", fixture.now, fixture.now);
        fixture.advance(Milliseconds { 250 });
        const PollOrder poll = *fixture.owner.nextPoll(upstream, fixture.now);
        fixture.owner.onPollReply(upstream, poll, fixture.reply({}, { fixture.end(last, RunOutcome::Done) }), fixture.now, fixture.now);
        CHECK(fixture.lastMessage().ended->duration.count() == (upstream == "u1" ? 0 : 250));
    } else {
        CHECK(reported == Milliseconds { 250 });
        CHECK(fixture.owner.runTimeEstimator().slowness("a") > 1.5);
    }
}
