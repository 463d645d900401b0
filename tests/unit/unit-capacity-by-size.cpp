// Load that competes for little capacity with tasks of uneven sizes: how capacity is counted, and how the VMs share it.

#include <catch2/catch.hpp>

#include <cmath>
#include <deque>
#include <memory>
#include <random>

#include <egrettrestle/decision/job_executor.hpp>
#include <egrettrestle/decision/need_sample.hpp>

#include "fake_ports.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

/// Needs of 32 cores with a standard deviation of 20%, up to 48. The sum of uniform numbers is the same on every platform.
class UnevenNeeds {
public:
    explicit UnevenNeeds(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::int64_t next()
    {
        constexpr int terms = 12;
        double sum = 0;
        for (int term = 0; term < terms; ++term)
            sum += uniform();
        const double milliCores = 32'000 * (1 + 0.2 * (sum - terms / 2.0));
        return std::min<std::int64_t>(48'000, std::max<std::int64_t>(8'000, static_cast<std::int64_t>(milliCores)));
    }

    double uniform() { return static_cast<double>(m_random() >> 11U) / 9'007'199'254'740'992.0; }

private:
    std::mt19937_64 m_random;
};

constexpr std::int64_t upstreamSizes[] = { 64'000, 64'000, 96'000 };

/// An owner of upstreams of 64, 64 and 96 cores in turn, all polled.
struct UnevenOwner {
    RecordingOwnerPort port;
    CrashTable crashes;
    UpstreamOwner owner { port, crashes, {} };
    TimePoint now { std::chrono::hours { 1 } };

    explicit UnevenOwner(std::size_t upstreams = 12)
    {
        for (std::size_t index = 0; index < upstreams; ++index) {
            const UpstreamId id = "u" + std::to_string(index);
            owner.acquire(upstreamNamed(id, upstreamSizes[index % 3]), { 1 }, now);
            PollReply reply;
            reply.outcome = OrderOutcome::Accepted;
            owner.onPollReply(id, *owner.nextPoll(id, now), reply, now, now);
        }
    }

    void request(const std::string& job, std::int64_t milliCores, std::uint32_t index = 0) { owner.request("x", requestFor(job, index, now + Seconds { 1 }, milliCores), now); }

    /// Requests tasks that no upstream may run, so that only their needs have an effect.
    void learn(std::int64_t milliCores, std::uint32_t tasks)
    {
        for (std::uint32_t index = 0; index < tasks; ++index) {
            RunRequest request = requestFor("learnt", index, now, milliCores);
            request.requiredLabel = "absent";
            owner.request("x", request, now);
        }
        now += Milliseconds { 1 };
        owner.tick(now);
        now -= Milliseconds { 1 };
    }

    KindCapacity kind() const { return owner.capacityReport(now).kinds.at(0); }
};

/// A report of one kind with places by size.
CapacityReport reportOf(std::vector<SizedCapacity> places, std::uint32_t total = 20, double slowness = 1)
{
    CapacityReport report;
    report.typicalNeed = { 32'000, 64, 0 };
    report.kinds.push_back({ "print", "a", places.empty() ? 0 : places.front().freeTasks, total, slowness, std::move(places) });
    return report;
}

OwnerQuery queryFor(const VmId& self, std::int64_t milliCores, double maxSlowness = 0)
{
    OwnerQuery query;
    query.self = self;
    query.service = "print";
    query.route = "proof";
    query.need = { milliCores, 64, 0 };
    query.maxSlowness = maxSlowness;
    return query;
}

}

// Guards against a change of the counts where all tasks need the same: deployments with even needs see no difference.
TEST_CASE("need sample of equal needs counts tasks like one need")
{
    for (const Resources& need : { Resources { 27'000, 64, 0 }, Resources { 300, 1'000, 0 }, Resources { 0, 512, 0 }, Resources { 1'000, 0, 0 } }) {
        NeedSample sample;
        for (int count = 0; count < 300; ++count) {
            sample.add(need);
            for (const Resources& capacity : { Resources { 64'000, 100'000, 0 }, Resources { 26'999, 100'000, 0 }, Resources { 96'000, 1'500, 2 }, Resources { -5'000, 100, 0 }, Resources {} })
                REQUIRE(sample.tasksThatFit(capacity) == tasksThatFit(capacity, need));
        }
        CHECK(sample.sizes().size() == 1);
    }
    CHECK(NeedSample {}.tasksThatFit({ 64'000, 100'000, 0 }) == 0);
    CHECK(NeedSample {}.sizes().empty());
}

TEST_CASE("need sample counts tasks of uneven needs in sequence")
{
    NeedSample sample;
    for (int count = 0; count < 50; ++count) {
        sample.add({ 20'000, 64, 0 });
        sample.add({ 40'000, 64, 0 });
    }
    // Whatever comes first, one task of each size fits, and no third one.
    CHECK(sample.tasksThatFit({ 64'000, 100'000, 0 }) == Approx(2).margin(0.5));
    CHECK(sample.tasksThatFit({ 30'000, 100'000, 0 }) == Approx(0.5).margin(0.1));
    CHECK(sample.tasksThatFit({ 3'000'000, 100'000, 0 }) == Approx(100).margin(1));
    CHECK(sample.sizes() == std::vector<std::int64_t> { 20'000, 40'000 });
    sample.keepIf([](const Resources& need) { return need.milliCores < 30'000; });
    CHECK(sample.tasksThatFit({ 64'000, 100'000, 0 }) == 3);
}

// Guards against admission by numbers that differ by three quarters between VMs with the same upstreams: the mean need was a
// little more than half of an upstream at some, and a little less at others.
TEST_CASE("owners with different histories report about the same capacity")
{
    std::vector<double> totals;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        UnevenOwner owner;
        UnevenNeeds needs(seed);
        for (int job = 0; job < 200; ++job)
            owner.learn(needs.next(), 4);
        totals.push_back(owner.kind().totalTasks);
        CAPTURE(seed, totals.back());
        // Half of the pairs of tasks fit into 64 cores, and half of the triples into 96.
        CHECK(totals.back() == Approx(8 * 1.5 + 4 * 2.5).epsilon(0.1));
    }
    double mean = 0;
    for (const double total : totals)
        mean += total / static_cast<double>(totals.size());
    for (const double total : totals)
        CHECK(total == Approx(mean).epsilon(0.1));
}

// Guards against tasks that are sent to an owner whose free cores are not enough for them, and against free cores that nobody
// uses because a mean task does not fit.
TEST_CASE("a gap of 31 cores is offered to a task of 28 and not to one of 33")
{
    UnevenOwner owner(1);
    for (std::int64_t need = 24'000; need <= 40'000; need += 500)
        owner.learn(need, 2);
    owner.request("running", 33'000);
    REQUIRE(owner.port.starts.size() == 1);
    CapacityTable table;
    table.update("y", owner.owner.capacityReport(owner.now));
    CHECK(table.placesFor("y", queryFor("x", 28'000)) == 1);
    CHECK(table.placesFor("y", queryFor("x", 33'000)) == 0);

    SECTION("also while a task waits there that is larger than the gap")
    {
        owner.request("waiting", 34'000);
        REQUIRE(owner.port.starts.size() == 1);
        table.update("y", owner.owner.capacityReport(owner.now));
        CHECK(table.placesFor("y", queryFor("x", 28'000)) == 1);
        CHECK(table.placesFor("y", queryFor("x", 33'000)) == 0);
    }

    SECTION("until it has been offered to one task")
    {
        table.recordRequest("y");
        CHECK(table.placesFor("y", queryFor("x", 28'000)) == 0);
    }
}

// Guards against longer messages between VMs where sizes say nothing new.
TEST_CASE("owner reports at most six sizes a kind, and none if needs are alike")
{
    UnevenOwner owner;
    owner.learn(27'000, 40);
    CHECK(owner.kind().places.empty());
    UnevenNeeds needs(1);
    for (int task = 0; task < 100; ++task)
        owner.learn(needs.next(), 1);
    const std::vector<SizedCapacity> places = owner.kind().places;
    REQUIRE_FALSE(places.empty());
    CHECK(places.size() <= 6);
    for (std::size_t index = 1; index < places.size(); ++index) {
        CHECK(places[index].milliCores > places[index - 1].milliCores);
        CHECK(places[index].freeTasks < places[index - 1].freeTasks);
    }
}

// Guards against an owner that reports no capacity for good after its larger upstreams have left: all jobs would be refused,
// and no request would correct the sample.
TEST_CASE("owner forgets needs that none of its upstreams can satisfy any more")
{
    UnevenOwner owner(3);
    owner.learn(30'000, 10);
    owner.learn(80'000, 300);
    SECTION("because the upstream was released") { owner.owner.release("u2", owner.now); }
    SECTION("because the upstream has shrunk") { owner.owner.acquire(upstreamNamed("u2", 64'000), { 1 }, owner.now); }
    CHECK(owner.kind().totalTasks > 0);
    owner.learn(30'000, 1);
    CHECK(owner.kind().totalTasks >= 4);
}

// Guards against executors that all send their tasks to the owner with the most free capacity, which then queues them.
TEST_CASE("ten executors with the same reports spread their tasks in proportion to the places")
{
    const std::map<VmId, std::uint32_t> places { { "a", 12 }, { "b", 10 }, { "c", 8 }, { "d", 6 }, { "e", 4 } };
    std::map<VmId, std::uint32_t> sent;
    for (std::uint64_t vm = 1; vm <= 10; ++vm) {
        const VmId self = "x" + std::to_string(vm);
        CapacityTable table(vm);
        for (std::uint64_t other = 1; other <= 10; ++other)
            table.update("x" + std::to_string(other), reportOf({ { 48'000, 0 } }));
        for (const auto& owner : places)
            table.update(owner.first, reportOf({ { 40'000, owner.second }, { 48'000, 0 } }));
        // Four single tasks. Those of one job share messages, and go to one owner if it has places for them.
        for (int task = 0; task < 4; ++task) {
            const std::optional<VmId> owner = table.chooseOwner(queryFor(self, 32'000));
            REQUIRE(owner);
            table.recordRequest(*owner);
            ++sent[*owner];
        }
    }
    for (const auto& owner : places) {
        CAPTURE(owner.first, owner.second, sent[owner.first]);
        CHECK(sent[owner.first] <= 2 * owner.second);
        CHECK(sent[owner.first] * 2 >= owner.second);
    }
}

TEST_CASE("executor chooses the owner with the most places while all other VMs have places of their own")
{
    CapacityTable table(1);
    table.update("x", reportOf({ { 48'000, 0 } }));
    table.update("y", reportOf({ { 48'000, 3 } }));
    table.update("z", reportOf({ { 48'000, 5 } }));
    for (int choice = 0; choice < 50; ++choice)
        CHECK(table.chooseOwner(queryFor("x", 32'000)) == VmId { "z" });
    table.update("x2", reportOf({ { 48'000, 0 } }));
    std::map<VmId, int> choices;
    for (int choice = 0; choice < 800; ++choice)
        ++choices[*table.chooseOwner(queryFor("x", 32'000))];
    CHECK(choices["y"] == Approx(300).margin(60));
    CHECK(choices["z"] == Approx(500).margin(60));
}

TEST_CASE("executor sends a task that needs a fast upstream to an owner that has one free")
{
    // Guards against quotes that start on upstreams too slow for their objective while others have fast ones free.
    CapacityTable table(1);
    table.update("x", reportOf({ { 48'000, 0 } }));
    table.update("slow", reportOf({ { 48'000, 12 } }, 20, 2.4));
    table.update("fast", reportOf({ { 48'000, 2 } }));
    CHECK(table.chooseOwner(queryFor("x", 32'000, 1.6)) == VmId { "fast" });
    CHECK(table.ownerWithCapacity(queryFor("x", 32'000, 1.6)) == VmId { "fast" });

    SECTION("else to a slow one")
    {
        table.update("fast", reportOf({ { 48'000, 0 } }));
        CHECK(table.chooseOwner(queryFor("x", 32'000, 1.6)) == VmId { "slow" });
        CHECK(table.ownerWithCapacity(queryFor("x", 32'000, 1.6)) == VmId { "slow" });
    }

    SECTION("of another VM before a slow one of its own")
    {
        table.update("x", reportOf({ { 48'000, 3 } }, 20, 2.4));
        CHECK(table.chooseOwner(queryFor("x", 32'000, 1.6)) == VmId { "fast" });
        CHECK(table.chooseOwner(queryFor("x", 32'000, 2.5)) == VmId { "x" });
        CHECK(table.chooseOwner(queryFor("x", 32'000)) == VmId { "x" });
    }

    SECTION("unless its objective cannot be met on any kind, or all kinds are about equally fast")
    {
        CHECK(table.chooseOwner(queryFor("x", 32'000, 0.7)) == VmId { "slow" });
        table.update("slow", reportOf({ { 48'000, 12 } }, 20, 1.2));
        CHECK(table.chooseOwner(queryFor("x", 32'000, 1.1)) == VmId { "slow" });
    }
}

TEST_CASE("choices stay defined with reports that are missing, late, repeated, out of order or of an earlier build")
{
    CapacityTable table(1);
    CHECK_FALSE(table.chooseOwner(queryFor("x", 32'000)));
    CHECK_FALSE(table.ownerWithCapacity(queryFor("x", 32'000)));
    CHECK(table.placesFor("y", queryFor("x", 32'000)) == 0);
    CHECK(table.placesBeyondQueue("y", queryFor("x", 32'000)) == 0);
    table.reserveMove("y");
    table.releaseMove("y");
    CapacityReport before = reportOf({ { 30'000, 4 }, { 48'000, 1 } });
    before.requestsReceived = 1;
    CapacityReport after = reportOf({ { 30'000, 2 }, { 48'000, 0 } });
    after.requestsReceived = 3;
    for (int request = 0; request < 3; ++request)
        table.recordRequest("y");

    SECTION("a repeated report")
    {
        table.update("y", after);
        table.update("y", after);
        CHECK(table.placesFor("y", queryFor("x", 28'000)) == 2);
    }

    SECTION("an older report that arrives later counts the requests that it does not include")
    {
        table.update("y", after);
        table.update("y", before);
        CHECK(table.placesFor("y", queryFor("x", 28'000)) == 2);
        CHECK(table.placesFor("y", queryFor("x", 32'000)) == -1);
        CHECK(table.chooseOwner(queryFor("x", 32'000)) == VmId { "y" });
    }

    SECTION("a report without places uses the free tasks less the queue")
    {
        CapacityReport earlier = capacityFor(5, 8, 2);
        earlier.requestsReceived = 3;
        table.update("y", earlier);
        CHECK(table.placesFor("y", queryFor("x", 28'000)) == 3);
        CHECK(table.placesFor("y", queryFor("x", 90'000)) == 3);
        table.update("z", reportOf({ { 48'000, 9 } }));
        CHECK(table.chooseOwner(queryFor("x", 32'000)) == VmId { "z" });
    }

    SECTION("a task larger than all sizes counts like the largest one, and one of unknown size like a typical one")
    {
        after.kinds[0].places.back().freeTasks = 1;
        table.update("y", after);
        CHECK(table.placesFor("y", queryFor("x", 60'000)) == 1);
        CHECK(table.placesFor("y", queryFor("x", 0)) == after.kinds[0].freeTasks);
    }

    SECTION("sizes out of order, which no VM sends")
    {
        table.update("y", reportOf({ { 48'000, 1 }, { 30'000, 4 } }));
        CHECK(table.chooseOwner(queryFor("x", 32'000)) == VmId { "y" });
    }
}

namespace {

/// The executor of the full VM `x`, whose tasks are queued there.
struct MovingExecutor {
    RecordingExecutorPort port;
    CapacityTable capacities { 1 };
    ExecutorLimits limits;
    CrashTable crashes;
    JobExecutor executor { port, capacities, crashes, "x", limits };
    TimePoint now { std::chrono::hours { 1 } };

    explicit MovingExecutor(std::uint32_t tasks)
    {
        CapacityReport own = reportOf({ { 48'000, 0 } });
        capacities.update("x", own);
        executor.setWarmingUp(true);
        DispatchJob job = jobOf("j", tasks);
        job.steps[0].need.milliCores = 32'000;
        executor.submit(1, job, routeNamed("proof"), now);
        own.requestsReceived = tasks;
        own.queues.push_back({ "print", 0, tasks, Milliseconds { 100 } * tasks });
        capacities.update("x", own);
        now += limits.moveAfter + Milliseconds { 1 };
    }

    std::vector<TaskRun> withdrawn() const
    {
        std::vector<TaskRun> runs;
        for (const SentMessage& sent : port.sent) {
            if (sent.message.withdrawal)
                runs.push_back(sent.message.withdrawal->run);
        }
        return runs;
    }

    std::size_t requestsTo(const VmId& vm) const
    {
        return static_cast<std::size_t>(std::count_if(port.sent.begin(), port.sent.end(), [&vm](const SentMessage& sent) { return sent.message.request && sent.vm == vm; }));
    }

    void tick()
    {
        now += Milliseconds { 5 };
        executor.tick(now);
    }
};

}

// Guards against all queued tasks of a job that are withdrawn and sent to an owner with one free place.
TEST_CASE("executor moves no more tasks than there are places for their size")
{
    MovingExecutor fixture(8);

    SECTION("none to an owner that has free capacity, but no place of that size")
    {
        fixture.capacities.update("y", reportOf({ { 30'000, 5 }, { 48'000, 0 } }));
        fixture.tick();
        CHECK(fixture.withdrawn().empty());
    }

    SECTION("also if it hears the same report again before the tasks are returned")
    {
        const CapacityReport report = reportOf({ { 36'000, 3 }, { 48'000, 0 } });
        for (int tick = 0; tick < 10; ++tick) {
            fixture.capacities.update("y", report);
            fixture.tick();
        }
        REQUIRE(fixture.withdrawn().size() == 3);
        for (const TaskRun& run : fixture.withdrawn())
            fixture.executor.onReturned("x", { run, ReturnReason::Withdrawn }, fixture.now);
        CHECK(fixture.requestsTo("y") == 3);
        fixture.tick();
        CHECK(fixture.withdrawn().size() == 3);
    }

    SECTION("the place of a task that has started after all is offered again")
    {
        fixture.capacities.update("y", reportOf({ { 36'000, 1 }, { 48'000, 0 } }));
        fixture.tick();
        REQUIRE(fixture.withdrawn().size() == 1);
        fixture.executor.onStarted("x", { fixture.withdrawn()[0], "u1", { 1 } }, fixture.now);
        fixture.capacities.update("y", reportOf({ { 36'000, 1 }, { 48'000, 0 } }));
        fixture.tick();
        CHECK(fixture.withdrawn().size() == 2);
    }

    SECTION("and no more than its share if other VMs are full as well")
    {
        for (int other = 0; other < 7; ++other)
            fixture.capacities.update("full" + std::to_string(other), reportOf({ { 48'000, 0 } }));
        std::size_t moved = 0;
        constexpr int reports = 200;
        for (int report = 0; report < reports; ++report) {
            MovingExecutor one(8);
            one.capacities = CapacityTable(static_cast<std::uint64_t>(report));
            for (int other = 0; other < 7; ++other)
                one.capacities.update("full" + std::to_string(other), reportOf({ { 48'000, 0 } }));
            one.capacities.update("x", reportOf({ { 48'000, 0 } }));
            one.capacities.update("y", reportOf({ { 48'000, 4 } }));
            one.tick();
            one.tick();
            CHECK(one.withdrawn().size() <= 1);
            moved += one.withdrawn().size();
        }
        // Four places for eight VMs: half a task each.
        CHECK(static_cast<double>(moved) / reports == Approx(0.5).margin(0.12));
    }
}

TEST_CASE("executor does not move a task back and forth between two full owners")
{
    MovingExecutor fixture(1);
    fixture.capacities.update("y", reportOf({ { 48'000, 1 } }));
    fixture.tick();
    REQUIRE(fixture.withdrawn().size() == 1);
    fixture.executor.onReturned("x", { fixture.withdrawn()[0], ReturnReason::Withdrawn }, fixture.now);
    REQUIRE(fixture.requestsTo("y") == 1);
    // Another VM's task took the place.
    CapacityReport taken = reportOf({ { 48'000, 0 } });
    taken.requestsReceived = 1;
    taken.queues.push_back({ "print", 0, 1, Milliseconds { 100 } });
    fixture.capacities.update("y", taken);
    for (int tick = 0; tick < 40; ++tick)
        fixture.tick();
    CHECK(fixture.withdrawn().size() == 1);
}

TEST_CASE("executor stops at the places of one owner before it chooses the next")
{
    RecordingExecutorPort port;
    CapacityTable capacities { 1 };
    CrashTable crashes;
    JobExecutor executor { port, capacities, crashes, "x", {} };
    capacities.update("x", reportOf({ { 48'000, 0 } }));
    for (const char* owner : { "y", "z" })
        capacities.update(owner, reportOf({ { 30'000, 8 }, { 40'000, 3 }, { 48'000, 0 } }));
    DispatchJob job = jobOf("j", 6);
    job.steps[0].need.milliCores = 36'000;
    executor.submit(1, job, routeNamed("proof"), TimePoint { std::chrono::hours { 1 } });
    std::map<VmId, int> tasks;
    for (const SentMessage& sent : port.sent)
        ++tasks[sent.vm];
    CHECK(tasks == std::map<VmId, int> { { "y", 3 }, { "z", 3 } });
}

namespace {

/// Ten VMs with eight upstreams each, whose messages take 5 ms and whose reports are up to 190 ms old. Upstreams answer at
/// once. Counts tasks that are queued at one owner although a fitting place is free at another.
class UnevenLoad {
public:
    struct Result {
        /// Mean number of tasks that are queued although a place for them is free, at any point in time.
        double queuedInVain = 0;
        /// Mean number of queued tasks.
        double queued = 0;
        int started = 0;
        int moves = 0;
        /// Mean time from the submission of a job to the start of a task.
        double meanWaitMs = 0;
        int requested = 0;
    };

    UnevenLoad(std::uint64_t seed, double jobsPerSecond)
        : m_needs(seed)
        , m_jobsPerSecond(jobsPerSecond)
    {
        for (int number = 0; number < vmCount; ++number)
            m_vms.push_back(std::make_unique<Vm>(*this, "vm" + std::to_string(number)));
        for (int number = 0; number < vmCount; ++number) {
            for (int index = 0; index < upstreamsPerVm; ++index) {
                const UpstreamId id = "u" + std::to_string(number) + "-" + std::to_string(index);
                m_vms[static_cast<std::size_t>(number)]->owner.acquire(upstreamNamed(id, upstreamSizes[index % 3]), { 1 }, m_now);
                m_upstreams[id] = { upstreamSizes[index % 3], {}, {}, 0 };
            }
        }
    }

    Result run()
    {
        constexpr int steps = 240;
        constexpr int warmUpSteps = 40;
        for (int step = 0; step < steps; ++step) {
            m_now += stepLength;
            pollUpstreams();
            deliver();
            report(step);
            submit();
            for (auto& vm : m_vms) {
                vm->owner.tick(m_now);
                vm->updateOwnCapacity();
                vm->executor.tick(m_now);
                vm->deliverLocal();
            }
            if (step >= warmUpSteps) {
                m_result.queuedInVain += queuedInVain() / (steps - warmUpSteps);
                m_result.queued += static_cast<double>(m_queued.size()) / (steps - warmUpSteps);
            }
        }
        m_result.meanWaitMs /= std::max(1, m_result.started);
        return m_result;
    }

private:
    static constexpr int vmCount = 10;
    static constexpr int upstreamsPerVm = 8;
    static constexpr Milliseconds stepLength { 5 };
    static constexpr int stepsPerReport = 38;

    struct Upstream {
        std::int64_t capacity = 0;
        std::map<TaskRun, TimePoint> runs;
        std::vector<RunEndRecord> ended;
        std::uint64_t endCount = 0;
    };

    struct Vm : OwnerPort, ExecutorPort {
        Vm(UnevenLoad& load, VmId name)
            : world(load)
            , id(std::move(name))
            , capacities(rendezvousWeight(id, 0))
        {
            executor.setWarmingUp(true);
        }

        void start(const StartOrder& order) override { world.started(*this, order); }
        void stop(const StopOrder&) override { }
        void pollNow(const UpstreamId&) override { }
        void notify(const VmId& to, PeerMessage message) override
        {
            if (message.returned)
                world.m_queued.erase(message.returned->run);
            send(to, std::move(message));
        }
        void reportCrash(const UpstreamCrash&, const std::set<VmId>&) override { }
        void recordEvent(const OwnerEvent&) override { }
        void recordEvent(const JobEvent&) override { }
        void reply(CallerTicket, const JobResult&) override { }
        void send(const VmId& to, PeerMessage message) override
        {
            if (to == id)
                local.push_back(std::move(message));
            else
                world.m_messages.push_back({ to, id, std::move(message) });
        }

        void handle(const VmId& from, const PeerMessage& message)
        {
            if (message.request) {
                world.m_queued[message.request->run] = message.request->need.milliCores;
                ++received[from];
                owner.request(from, *message.request, world.m_now);
            }
            if (message.withdrawal) {
                ++world.m_result.moves;
                owner.withdraw(from, *message.withdrawal, world.m_now);
            }
            if (message.started)
                executor.onStarted(from, *message.started, world.m_now);
            if (message.ended || message.returned)
                updateOwnCapacity();
            if (message.ended)
                executor.onEnded(from, *message.ended, world.m_now);
            if (message.returned)
                executor.onReturned(from, *message.returned, world.m_now);
        }

        void deliverLocal()
        {
            while (!local.empty()) {
                const PeerMessage message = std::move(local.front());
                local.pop_front();
                handle(id, message);
            }
        }

        void updateOwnCapacity()
        {
            CapacityReport report = owner.capacityReport(world.m_now);
            report.requestsReceived = received[id];
            capacities.update(id, std::move(report));
        }

        UnevenLoad& world;
        VmId id;
        CapacityTable capacities;
        CrashTable crashes;
        UpstreamOwner owner { *this, crashes, {}, id };
        JobExecutor executor { *this, capacities, crashes, id, {} };
        std::map<VmId, std::uint64_t> received;
        std::deque<PeerMessage> local;
    };

    struct Message {
        VmId to;
        VmId from;
        PeerMessage message;
    };

    Vm& vm(const VmId& id)
    {
        return **std::find_if(m_vms.begin(), m_vms.end(), [&id](const auto& candidate) { return candidate->id == id; });
    }

    void started(Vm& owner, const StartOrder& order)
    {
        m_queued.erase(order.run);
        const double duration = 150 * (0.85 + 0.3 * m_needs.uniform());
        m_upstreams.at(order.upstream).runs[order.run] = m_now + Milliseconds { static_cast<std::int64_t>(duration) };
        m_result.meanWaitMs += static_cast<double>(toMilliseconds(m_now - m_submittedAt.at(order.run.task.job)).count());
        ++m_result.started;
        m_starts.emplace_back(owner.id, order);
    }

    void pollUpstreams()
    {
        for (auto& vm : m_vms) {
            for (const UpstreamId& id : vm->owner.owned()) {
                Upstream& upstream = m_upstreams.at(id);
                PollReply reply;
                reply.outcome = OrderOutcome::Accepted;
                reply.clock = toMilliseconds(m_now.time_since_epoch());
                for (auto run = upstream.runs.begin(); run != upstream.runs.end();) {
                    if (run->second <= m_now) {
                        reply.ended.push_back({ ++upstream.endCount, run->first, RunOutcome::Done });
                        run = upstream.runs.erase(run);
                    } else {
                        reply.running.push_back(run->first);
                        ++run;
                    }
                }
                vm->owner.onPollReply(id, *vm->owner.nextPoll(id, m_now), reply, m_now, m_now);
                answerStarts();
            }
            vm->deliverLocal();
        }
    }

    void answerStarts()
    {
        while (!m_starts.empty()) {
            const std::pair<VmId, StartOrder> start = m_starts.front();
            m_starts.pop_front();
            vm(start.first).owner.onStartReply(start.second, { OrderOutcome::Accepted, std::nullopt }, m_now);
        }
    }

    void deliver()
    {
        std::vector<Message> messages;
        messages.swap(m_messages);
        for (const Message& message : messages) {
            vm(message.to).handle(message.from, message.message);
            vm(message.to).deliverLocal();
            answerStarts();
        }
    }

    void report(int step)
    {
        for (std::size_t number = 0; number < m_vms.size(); ++number) {
            if ((step + static_cast<int>(number) * 7) % stepsPerReport != 0)
                continue;
            CapacityReport report = m_vms[number]->owner.capacityReport(m_now);
            for (auto& other : m_vms) {
                if (other->id == m_vms[number]->id)
                    continue;
                other->owner.onExecutorContact(m_vms[number]->id, m_now);
                other->owner.seedTypicalNeed(report.typicalNeed);
                report.requestsReceived = m_vms[number]->received[other->id];
                other->capacities.update(m_vms[number]->id, report);
            }
        }
    }

    void submit()
    {
        m_jobsDue += m_jobsPerSecond * static_cast<double>(stepLength.count()) / 1'000;
        while (m_jobsDue >= 1) {
            m_jobsDue -= 1;
            // Half of the VMs get three quarters of the jobs.
            const double position = m_needs.uniform();
            constexpr double half = vmCount / 2.0;
            const std::size_t number = static_cast<std::size_t>(position < 0.75 ? position / 0.75 * half : half + (position - 0.75) / 0.25 * half);
            Vm& executor = *m_vms[std::min<std::size_t>(number, vmCount - 1)];
            DispatchJob job = jobOf("j" + std::to_string(m_submittedAt.size()), 4);
            job.steps[0].need.milliCores = m_needs.next();
            job.steps[0].estimate = Milliseconds { 150 };
            m_submittedAt[job.id] = m_now;
            m_needOf[job.id] = job.steps[0].need.milliCores;
            m_result.requested += 4;
            executor.updateOwnCapacity();
            executor.executor.submit(m_submittedAt.size(), job, routeNamed("proof"), m_now);
            executor.deliverLocal();
            answerStarts();
        }
    }

    /// Each free gap counts for one task, the largest task that fits.
    double queuedInVain() const
    {
        std::vector<std::int64_t> needs;
        for (const auto& queued : m_queued)
            needs.push_back(queued.second);
        std::sort(needs.rbegin(), needs.rend());
        int count = 0;
        for (const auto& entry : m_upstreams) {
            std::int64_t free = entry.second.capacity;
            for (const auto& run : entry.second.runs)
                free -= m_needOf.at(run.first.task.job);
            const auto fitting = std::find_if(needs.begin(), needs.end(), [free](std::int64_t need) { return need <= free; });
            if (fitting == needs.end())
                continue;
            needs.erase(fitting);
            ++count;
        }
        return count;
    }

    UnevenNeeds m_needs;
    double m_jobsPerSecond;
    double m_jobsDue = 0;
    TimePoint m_now { std::chrono::hours { 1 } };
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::map<UpstreamId, Upstream> m_upstreams;
    std::vector<Message> m_messages;
    std::deque<std::pair<VmId, StartOrder>> m_starts;
    /// Needs of the runs that wait at an owner.
    std::map<TaskRun, std::int64_t> m_queued;
    std::map<std::string, std::int64_t> m_needOf;
    std::map<std::string, TimePoint> m_submittedAt;
    Result m_result;
};

}

// Guards against tasks that wait at one owner while another has a place for them, with 85% of the places in use: VMs that choose
// the same owners from the same reports, and counts of mean tasks.
TEST_CASE("few tasks are queued while a fitting place is free elsewhere")
{
    UnevenLoad::Result sum;
    constexpr int seeds = 5;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const UnevenLoad::Result result = UnevenLoad(seed, 190).run();
        CAPTURE(seed, result.queued, result.queuedInVain, result.moves, result.started, result.requested, result.meanWaitMs);
        CHECK(result.started > 0.97 * result.requested);
        sum.queuedInVain += result.queuedInVain / seeds;
        sum.queued += result.queued / seeds;
        sum.meanWaitMs += result.meanWaitMs / seeds;
        sum.moves += result.moves;
    }
    CAPTURE(sum.queued, sum.queuedInVain, sum.moves, sum.meanWaitMs);
    // The counts of mean tasks and the choice of the fullest report gave 18.9 tasks, 25.7 ms and 540 moves; now 10.7, 15.5 and
    // 257.
    CHECK(sum.queuedInVain < 14);
    CHECK(sum.meanWaitMs < 20);
    CHECK(sum.moves < 400);
}
