#include <set>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/dispatcher.hpp>

#include "fake_ports.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

/// The dispatcher of VM `x`, with one upstream that it owns.
struct DispatcherFixture {
    RecordingDispatcherPort port;
    Dispatcher dispatcher { port, "x", {} };
    TimePoint now { std::chrono::hours { 1 } };
    std::optional<TimePoint> lastActivity;
    UpstreamId upstream;

    /// Reports activity. All input that had arrived by the activity before has been handled.
    bool onActivity()
    {
        const TimePoint inputHandledUntil = lastActivity.value_or(now);
        lastActivity = now;
        return dispatcher.onActivity(now, inputHandledUntil);
    }

    void poll(std::vector<TaskRun> running = {}, std::vector<RunEndRecord> ended = {})
    {
        PollReply reply;
        reply.outcome = OrderOutcome::Accepted;
        reply.clock = toMilliseconds(now.time_since_epoch());
        reply.running = std::move(running);
        reply.ended = std::move(ended);
        const PollOrder order = *dispatcher.nextPoll(upstream, now);
        dispatcher.onPollReply(order, reply, now, now);
    }

    /// Sets a view with the given members, and an upstream that `x` owns in it (`u1` if `x` is the only member).
    void setUp(const std::vector<VmId>& members = { "x" })
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

TEST_CASE("dispatcher of a single VM executes a job on its own upstream")
{
    DispatcherFixture fixture;
    fixture.setUp();
    fixture.poll();
    fixture.dispatcher.submit(1, jobOf("j", 2), routeNamed("proof"), fixture.now, fixture.now);
    REQUIRE(fixture.port.starts.size() == 2);
    std::vector<RunEndRecord> ended;
    for (const StartOrder& order : fixture.port.starts) {
        fixture.dispatcher.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        ended.push_back({ ended.size() + 1, order.run, RunOutcome::Done });
    }
    fixture.now += Milliseconds { 90 };
    fixture.poll({}, ended);
    REQUIRE(fixture.port.replies.size() == 1);
    CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Succeeded);
}

TEST_CASE("dispatcher is not ready after the start until it knows the capacity")
{
    DispatcherFixture fixture;
    CHECK_FALSE(fixture.dispatcher.isReady(fixture.now));
    fixture.setUp({ "x", "y" });
    CHECK_FALSE(fixture.dispatcher.isReady(fixture.now));
    fixture.poll();
    CHECK_FALSE(fixture.dispatcher.isReady(fixture.now));

    SECTION("until all other members have sent a capacity report")
    {
        fixture.dispatcher.onPeerMessages("y", {}, capacityFor(1, 2), fixture.now);
        CHECK(fixture.dispatcher.isReady(fixture.now));
    }

    SECTION("or until the time limit for that has passed")
    {
        fixture.now += Seconds { 1 };
        CHECK(fixture.dispatcher.isReady(fixture.now));
    }
}

TEST_CASE("dispatcher does not refuse jobs after the start for lack of capacity while reports are incomplete")
{
    // Guards against refusals when callers submit jobs as soon as a cluster is ready: two long jobs fill the capacity
    // of the first reports, which do not include all upstreams yet.
    DispatcherFixture fixture;
    fixture.setUp({ "x", "y" });
    fixture.poll();
    fixture.dispatcher.tick(fixture.now);
    CapacityReport report = capacityFor(0, 1);
    fixture.dispatcher.onPeerMessages("y", {}, report, fixture.now);
    REQUIRE(fixture.dispatcher.isReady(fixture.now));
    DispatchJob job = jobOf("j", 8);
    job.callerTimeout = Milliseconds { 400 };

    SECTION("before every member has polled all its upstreams under the view")
    {
        fixture.dispatcher.submit(1, job, routeNamed("proof"), fixture.now, fixture.now);
        CHECK(fixture.port.replies.empty());
    }

    SECTION("but it does when all reports are complete")
    {
        report.completeAtEpoch = { 1 };
        fixture.dispatcher.onPeerMessages("y", {}, report, fixture.now);
        fixture.dispatcher.submit(1, job, routeNamed("proof"), fixture.now, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
    }

    SECTION("and it does when the maximum warm-up time has passed")
    {
        fixture.now += Milliseconds { 1'600 };
        fixture.dispatcher.onPeerMessages("y", {}, report, fixture.now);
        fixture.dispatcher.submit(1, job, routeNamed("proof"), fixture.now, fixture.now);
        CHECK(fixture.port.replies.size() == 1);
    }
}

TEST_CASE("dispatcher reports the new address of an owned upstream")
{
    DispatcherFixture fixture;
    fixture.setUp();
    const int before = fixture.port.ownedUpstreamsChanges;
    UpstreamInfo moved = upstreamNamed("u1");
    moved.startedAt = Milliseconds { 2'000 };
    moved.address = "10.0.0.2:80";
    fixture.dispatcher.setUpstream(moved, fixture.now);
    CHECK(fixture.port.ownedUpstreamsChanges == before + 1);
    CHECK(fixture.dispatcher.ownedUpstreams().at(0).address == "10.0.0.2:80");
}

TEST_CASE("dispatcher stops the runs of an unresponsive VM before its callers submit their jobs again")
{
    DispatcherFixture fixture;
    fixture.setUp({ "x", "y" });
    fixture.poll();
    PeerMessage request;
    request.request = requestFor("j", 0, fixture.now + Seconds { 1 });
    fixture.dispatcher.onPeerMessages("y", { request }, capacityFor(0, 0), fixture.now);
    REQUIRE(fixture.port.starts.size() == 1);
    fixture.now += Milliseconds { 650 };
    fixture.dispatcher.tick(fixture.now);
    REQUIRE(fixture.port.stops.size() == 1);
    CHECK(fixture.port.stops[0].run == request.request->run);
}

TEST_CASE("dispatcher considers an owner lost only when the last lease that it can have extended has expired")
{
    // The owner may accept messages for the maximum message age after its last reply, and extend leases until the
    // executor timeout after that. The last lease then lasts by a clock that may be slow.
    const DispatcherLimits limits;
    const double lease = static_cast<double>(limits.owner.leaseDuration.count()) * (1 + limits.owner.clockDrift);
    CHECK(static_cast<double>(ownerLossTimeout(limits).count()) >= static_cast<double>((limits.maxMessageAge + limits.owner.executorTimeout).count()) + lease);

    DispatcherFixture fixture;
    fixture.setUp({ "x", "y" });
    fixture.dispatcher.onPeerReply("y", true, fixture.now);
    // An owner short of processor time may reply although it received the messages too late to accept them. It can
    // accept the next ones.
    fixture.now += Seconds { 1 };
    fixture.dispatcher.onPeerReply("y", false, fixture.now);
    fixture.now += ownerLossTimeout(limits);
    fixture.dispatcher.tick(fixture.now);
    CHECK(fixture.port.lostPeers.empty());
    fixture.now += Milliseconds { 1 };
    fixture.dispatcher.tick(fixture.now);
    CHECK(fixture.port.lostPeers == std::vector<VmId> { "y" });
}

// Between VMs that are not regular contacts there may have been no messages for a long time: a first task sent there must
// not be taken for lost at once.
TEST_CASE("dispatcher waits for an owner that it had not been in contact with")
{
    DispatcherLimits limits;
    limits.contacts = { 1, 0, 0 };
    RecordingDispatcherPort port;
    Dispatcher dispatcher(port, "x", limits);
    TimePoint now { std::chrono::hours { 1 } };
    dispatcher.setView(viewOf(1, { "x", "y" }), now);
    CHECK(dispatcher.contacts().empty());
    dispatcher.onPeerReply("y", true, now);
    now += Seconds { 60 };
    dispatcher.tick(now);
    CHECK(port.lostPeers.empty());
    dispatcher.onPeerMessages("y", {}, capacityFor(1, 2), now);
    dispatcher.onPeerReply("y", false, now - Seconds { 60 });
    dispatcher.submit(1, jobOf("j", 1), routeNamed("proof"), now, now);
    REQUIRE(port.sent.size() == 1);
    dispatcher.tick(now);
    CHECK(port.lostPeers.empty());

    SECTION("and takes it for lost if it does not reply")
    {
        now += ownerLossTimeout(limits) + Milliseconds { 1 };
        dispatcher.tick(now);
        CHECK(port.lostPeers == std::vector<VmId> { "y" });
    }
}

TEST_CASE("dispatcher ignores an older view")
{
    DispatcherFixture fixture;
    fixture.setUp();
    fixture.dispatcher.setView(viewOf(5, { "x" }), fixture.now);
    fixture.dispatcher.setView(viewOf(4, { "y" }), fixture.now);
    CHECK(fixture.dispatcher.ownedUpstreams().size() == 1);
    CHECK(fixture.dispatcher.nextPoll("u1", fixture.now)->token == tokenOf({ 5 }, 0));
}

TEST_CASE("dispatcher uses an upstream that discovery no longer lists for a grace period and then releases it")
{
    DispatcherFixture fixture;
    fixture.setUp();
    fixture.poll();
    fixture.dispatcher.onUpstreamUnlisted("u1", fixture.now);
    fixture.dispatcher.tick(fixture.now);
    fixture.dispatcher.submit(1, jobOf("j", 1), routeNamed("proof"), fixture.now, fixture.now);
    CHECK(fixture.port.starts.size() == 1);
    fixture.now += Seconds { 3 };
    fixture.dispatcher.tick(fixture.now);
    fixture.dispatcher.tick(fixture.now);
    CHECK(fixture.dispatcher.ownedUpstreams().empty());
}

// Guards against counts of crashes that are lost with the VM that has them, or unknown to the VM that gets a job next.
TEST_CASE("dispatcher shares what it knows of crashes")
{
    DispatcherFixture fixture;
    fixture.setUp({ "x", "y", "z" });
    fixture.poll();
    const auto reportsTo = [&fixture](const VmId& vm) {
        std::vector<PeerMessage> reports;
        for (const SentMessage& sent : fixture.port.sent) {
            if (sent.vm == vm && sent.message.crash)
                reports.push_back(sent.message);
        }
        return reports;
    };

    SECTION("a suspected crash goes to every contact, and at once to the executor of a suspect")
    {
        PeerMessage request;
        request.request = requestFor("j", 0, fixture.now + Seconds { 1 });
        fixture.dispatcher.onPeerMessages("y", { request }, {}, fixture.now);
        REQUIRE(fixture.port.starts.size() == 1);
        fixture.dispatcher.onStartReply(fixture.port.starts[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        for (int poll = 0; poll < 2; ++poll) {
            PollReply refused;
            refused.outcome = OrderOutcome::NotSent;
            refused.failure = ConnectionFailure::Refused;
            fixture.dispatcher.onPollReply(*fixture.dispatcher.nextPoll(fixture.upstream, fixture.now), refused, fixture.now, fixture.now);
        }
        REQUIRE(reportsTo("y").size() == 1);
        CHECK_FALSE(reportsTo("y")[0].deferrable);
        REQUIRE(reportsTo("z").size() == 1);
        CHECK(reportsTo("z")[0].deferrable);
        CHECK(reportsTo("z")[0].crash->suspects == std::vector<TaskRef> { { "j", 0, 0 } });
    }

    SECTION("repeated crashes of a task are told to a VM that has restarted")
    {
        for (const char* id : { "a", "b" }) {
            PeerMessage report;
            report.crash = UpstreamCrash { { id, Milliseconds { 1 } }, CrashEvidence::Confirmed, { { "j", 0, 0 } }, true };
            fixture.dispatcher.onPeerMessages("y", { report }, {}, fixture.now);
        }
        CHECK(reportsTo("z").empty());
        fixture.dispatcher.onPeerRestarted("z", fixture.now);
        CHECK(reportsTo("z").size() == 2);
        fixture.dispatcher.submit(1, jobOf("j", 1), routeNamed("proof"), fixture.now, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Failed);
    }
}

// Guards against a VM that wakes from a suspension and starts tasks of callers that have left in the meantime: their jobs may
// be running at the VM to which they were submitted again.
TEST_CASE("dispatcher starts nothing for its callers after a pause until it knows which of them have left")
{
    DispatcherFixture fixture;
    fixture.setUp();
    fixture.onActivity();
    fixture.poll();

    SECTION("neither a task that was queued before the pause")
    {
        fixture.dispatcher.submit(1, jobOf("running", 2), routeNamed("proof"), fixture.now, fixture.now);
        fixture.dispatcher.submit(2, jobOf("queued", 1), routeNamed("proof"), fixture.now, fixture.now);
        REQUIRE(fixture.port.starts.size() == 2);
        for (const StartOrder& order : std::vector<StartOrder>(fixture.port.starts))
            fixture.dispatcher.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.now += Milliseconds { 400 };
        CHECK(fixture.onActivity());
        fixture.poll({}, { { 1, fixture.port.starts[0].run, RunOutcome::Done }, { 2, fixture.port.starts[1].run, RunOutcome::Done } });
        fixture.dispatcher.tick(fixture.now);
        CHECK(fixture.port.starts.size() == 2);

        SECTION("and not at all if its caller has left")
        {
            fixture.dispatcher.onCallerDisconnected(2, fixture.now);
            fixture.dispatcher.onCallersChecked(fixture.now);
            CHECK(fixture.port.starts.size() == 2);
            CHECK(fixture.dispatcher.jobs() == 0);
        }

        SECTION("and then at once if its caller is still there")
        {
            fixture.dispatcher.onCallersChecked(fixture.now);
            CHECK(fixture.port.starts.size() == 3);
        }
    }

    SECTION("nor a task of a job that is submitted before the callers have been checked")
    {
        fixture.now += Milliseconds { 400 };
        fixture.onActivity();
        fixture.dispatcher.submit(1, jobOf("j", 1), routeNamed("proof"), fixture.now, fixture.now);
        fixture.dispatcher.tick(fixture.now);
        CHECK(fixture.port.starts.empty());
        fixture.dispatcher.onCallersChecked(fixture.now);
        CHECK(fixture.port.starts.size() == 1);
    }
}

TEST_CASE("dispatcher starts runs of other VMs after a pause, since these have been in contact")
{
    DispatcherFixture fixture;
    fixture.setUp({ "x", "y" });
    fixture.onActivity();
    fixture.poll();
    fixture.now += Milliseconds { 400 };
    fixture.onActivity();
    const RunRequest request = requestFor("other", 0, fixture.now + Seconds { 1 });
    fixture.dispatcher.onPeerMessages("y", { { request, {}, {}, {}, {}, {} } }, capacityFor(0, 0), fixture.now);
    CHECK(fixture.port.starts.size() == 1);
}

TEST_CASE("dispatcher counts the time for which a request may have waited during a pause")
{
    DispatcherFixture fixture;
    fixture.setUp();
    fixture.onActivity();
    fixture.poll();

    SECTION("a job whose caller may have left by now is refused at once")
    {
        fixture.now += Milliseconds { 1'500 };
        fixture.onActivity();
        fixture.dispatcher.submit(1, jobOf("j", 1), routeNamed("proof"), fixture.now, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
        CHECK(fixture.port.replies[0].reply.reason == "read-late");
        fixture.dispatcher.onCallersChecked(fixture.now);
        CHECK(fixture.port.starts.empty());
    }

    SECTION("a job with time left ends by its caller's deadline")
    {
        fixture.now += Milliseconds { 1'000 };
        fixture.onActivity();
        fixture.poll();
        fixture.dispatcher.submit(1, jobOf("j", 1), routeNamed("proof"), fixture.now, fixture.now);
        fixture.dispatcher.onCallersChecked(fixture.now);
        REQUIRE(fixture.port.starts.size() == 1);
        fixture.dispatcher.onStartReply(fixture.port.starts[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.now += Milliseconds { 500 };
        fixture.dispatcher.tick(fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }

    SECTION("a caller that submits a job in progress again gets that job's outcome")
    {
        fixture.dispatcher.submit(1, jobOf("j", 1), routeNamed("proof"), fixture.now, fixture.now);
        REQUIRE(fixture.port.starts.size() == 1);
        fixture.now += Milliseconds { 1'400 };
        fixture.onActivity();
        fixture.dispatcher.submit(2, jobOf("j", 1), routeNamed("proof"), fixture.now, fixture.now);
        CHECK(fixture.port.replies.empty());
    }
}

// The runs of a caller that left during a pause must have ended by the time that counts from its disconnection, not from the
// moment at which it was noticed.
TEST_CASE("dispatcher lets the runs of a caller that left during a pause end in time")
{
    DispatcherFixture fixture;
    fixture.setUp({ "x", "y" });
    fixture.onActivity();
    fixture.dispatcher.onPeerMessages("y", {}, capacityFor(8, 8), fixture.now);
    fixture.dispatcher.submit(1, jobOf("j", 1), routeNamed("proof"), fixture.now, fixture.now);
    REQUIRE(fixture.port.sent.back().vm == "y");
    const TimePoint begin = fixture.now;
    fixture.now += Milliseconds { 500 };
    fixture.onActivity();
    fixture.dispatcher.onCallerDisconnected(1, fixture.now);
    REQUIRE(fixture.port.sent.back().message.withdrawal);
    CHECK(fixture.port.sent.back().message.withdrawal->endBy == begin + ExecutorLimits {}.withdrawnRunLimit);
}

// After a pause a request from before it is sent in one batch with its withdrawal. Even a start that is stopped at once can run
// beside a run of the same task at the VM that has the job now.
TEST_CASE("dispatcher does not start a run that a later message of the same batch withdraws")
{
    DispatcherFixture fixture;
    fixture.setUp({ "x", "y" });
    fixture.poll();
    const RunRequest request = requestFor("j", 0, fixture.now + Seconds { 1 });
    const PeerMessage requested { request, {}, {}, {}, {}, {} };
    const PeerMessage withdrawn { {}, {}, {}, {}, RunWithdrawal { request.run }, {} };
    fixture.dispatcher.onPeerMessages("y", { requested, withdrawn }, capacityFor(0, 0), fixture.now);
    CHECK(fixture.port.starts.empty());
    REQUIRE(fixture.port.sent.size() == 1);
    CHECK(fixture.port.sent[0].message.returned);
    fixture.dispatcher.onPeerMessages("y", { requested }, capacityFor(0, 0), fixture.now);
    CHECK(fixture.port.starts.size() == 1);
}

// A withdrawal that was long on its way let the lease of a run that could not be stopped go on for as long beyond the time at
// which the job's caller submits it again.
TEST_CASE("dispatcher counts the age of a withdrawal against the time for which its run may go on")
{
    DispatcherFixture fixture;
    fixture.setUp({ "x", "y" });
    fixture.poll();
    const RunRequest request = requestFor("j", 0, fixture.now + Seconds { 1 });
    fixture.dispatcher.onPeerMessages("y", { { request, {}, {}, {}, {}, {} } }, capacityFor(0, 0), fixture.now);
    REQUIRE(fixture.port.starts.size() == 1);
    fixture.dispatcher.onStartReply(fixture.port.starts[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
    const auto extendsLease = [&fixture] { return fixture.dispatcher.nextPoll(fixture.upstream, fixture.now)->leaseEnd.has_value(); };
    REQUIRE(extendsLease());
    // Just enough for one lease more if the message took no time.
    const Milliseconds left = Milliseconds { 700 };
    const PeerMessage withdrawn { {}, {}, {}, {}, RunWithdrawal { request.run, false, {}, fixture.now + left }, {} };

    SECTION("a lease that ends in time is granted until the stop is accepted")
    {
        fixture.dispatcher.onPeerMessages("y", { withdrawn }, capacityFor(0, 0), fixture.now);
        CHECK(extendsLease());
    }

    SECTION("one that ends earlier is granted if the message may have been made long ago")
    {
        const Milliseconds age { 400 };
        fixture.dispatcher.onPeerMessages("y", { withdrawn }, capacityFor(0, 0), fixture.now, { age });
        const std::optional<UpstreamClock> leaseEnd = fixture.dispatcher.nextPoll(fixture.upstream, fixture.now)->leaseEnd;
        // The upstream's clock is this VM's.
        REQUIRE(leaseEnd);
        CHECK(*leaseEnd <= toMilliseconds((fixture.now + left - age - OwnerLimits {}.leaseExpiryMargin).time_since_epoch()));
    }

    SECTION("none is granted if no time may be left")
    {
        fixture.dispatcher.onPeerMessages("y", { withdrawn }, capacityFor(0, 0), fixture.now, { left });
        CHECK_FALSE(extendsLease());
    }
}

// In a rolling restart, runs that were queued at a VM when it left the view waited there until their latest start, although it
// had no upstreams any more.
TEST_CASE("dispatcher of a VM that has left returns the runs that wait there")
{
    DispatcherFixture fixture;
    fixture.setUp({ "x", "y" });
    fixture.poll();
    const auto requestRun = [&fixture](std::uint32_t index) {
        const RunRequest request = requestFor("j", index, fixture.now + Seconds { 1 });
        fixture.dispatcher.onPeerMessages("y", { { request, {}, {}, {}, {}, {} } }, capacityFor(4, 4), fixture.now);
    };
    const auto returnedRuns = [&fixture] {
        std::set<std::uint32_t> indices;
        for (const SentMessage& sent : fixture.port.sent) {
            if (sent.message.returned && sent.message.returned->reason == ReturnReason::Unschedulable)
                indices.insert(sent.message.returned->run.task.index);
        }
        return indices;
    };

    SECTION("those in its queue, and those whose start has not been sent")
    {
        for (std::uint32_t index = 0; index < 3; ++index)
            requestRun(index);
        REQUIRE(fixture.port.starts.size() == 2);
        REQUIRE(fixture.dispatcher.startToSend(fixture.port.starts[0], fixture.now));
        fixture.dispatcher.setView(viewOf(2, { "y" }), fixture.now);
        fixture.dispatcher.tick(fixture.now);
        CHECK(returnedRuns() == std::set<std::uint32_t> { 1, 2 });
        CHECK(fixture.dispatcher.queued() == 0);
    }

    SECTION("one that is requested later, since its executor has not adopted the view yet")
    {
        fixture.dispatcher.setView(viewOf(2, { "y" }), fixture.now);
        requestRun(0);
        CHECK(returnedRuns() == std::set<std::uint32_t> { 0 });
    }

    SECTION("none while it has upstreams, or before it has had any")
    {
        for (std::uint32_t index = 0; index < 3; ++index)
            requestRun(index);
        fixture.dispatcher.setView(viewOf(2, { "x" }), fixture.now);
        fixture.dispatcher.tick(fixture.now);
        CHECK(returnedRuns().empty());
        DispatcherFixture joining;
        joining.dispatcher.onPeerMessages("y", { { requestFor("j", 0, joining.now + Seconds { 1 }), {}, {}, {}, {}, {} } }, capacityFor(4, 4), joining.now);
        joining.dispatcher.tick(joining.now);
        CHECK(joining.port.sent.empty());
        CHECK(joining.dispatcher.queued() == 1);
    }
}

// Guards against an owner that is passed over until the view changes because it has returned a run, although it owns a new
// upstream with free capacity.
TEST_CASE("dispatcher runs a task that it had returned once it owns an upstream again")
{
    DispatcherFixture fixture;
    fixture.setUp();
    fixture.poll();
    DispatchJob job = jobOf("j", 3);
    job.callerTimeout = Milliseconds { 20'000 };
    Route route = routeNamed("proof");
    route.timeout = Milliseconds { 20'000 };
    fixture.dispatcher.submit(1, job, route, fixture.now, fixture.now);
    // The upstream fits two tasks; the third one waits.
    REQUIRE(fixture.port.starts.size() == 2);
    REQUIRE(fixture.dispatcher.queued() == 1);
    for (const StartOrder& order : fixture.port.starts) {
        REQUIRE(fixture.dispatcher.startToSend(order, fixture.now));
        fixture.dispatcher.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, fixture.now);
    }
    fixture.dispatcher.onUpstreamUnlisted("u1", fixture.now);
    for (int step = 0; step < 250; ++step) {
        fixture.now += Milliseconds { 20 };
        fixture.dispatcher.tick(fixture.now);
    }
    REQUIRE(fixture.port.replies.empty());
    fixture.upstream = "u2";
    fixture.dispatcher.setUpstream(upstreamNamed("u2", 640'000), fixture.now);
    fixture.poll();
    for (int step = 0; step < 50; ++step) {
        fixture.now += Milliseconds { 20 };
        fixture.poll();
        fixture.dispatcher.tick(fixture.now);
    }
    std::set<std::uint32_t> started;
    for (const StartOrder& order : fixture.port.starts) {
        if (order.upstream == "u2")
            started.insert(order.run.task.index);
    }
    // Of the two others, which may have crashed the upstream, only one may be there at a time.
    CHECK(started.count(2) == 1);
}
