// The order in which queued runs get capacity (RunQueue), alone and under load at one owner (UpstreamOwner).

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/run_queue.hpp>

#include "owner_fixture.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

constexpr std::int64_t taskMilliCores = 32'000;

const TimePoint start { std::chrono::hours { 1 } };

QueuedRun queuedRun(const std::string& job, const std::string& route, int priority, std::optional<TimePoint> dueBy = {}, TimePoint latestStart = start + Seconds { 10 })
{
    RunRequest request = requestFor(job, 0, latestStart, taskMilliCores);
    request.route = route;
    request.priority = priority;
    request.dueBy = dueBy;
    return { "x", request, start };
}

/// The jobs of a pass, in order. Each run that is offered starts if `places` is not used up.
std::vector<std::string> pass(RunQueue& queue, const CoreUsage& usage, std::size_t places, TimePoint now = start)
{
    std::vector<std::string> started;
    queue.beginPass(usage, now);
    while (const QueuedRun* run = queue.next()) {
        if (started.size() == places)
            continue;
        started.push_back(run->request.run.task.job);
        queue.removeStarted();
    }
    return started;
}

CoreUsage usageOf(std::int64_t total, std::map<std::string, std::int64_t> usedByRoute)
{
    return { { "print", { total, std::move(usedByRoute) } } };
}

using Jobs = std::vector<std::string>;

}

TEST_CASE("queue keeps the order by priority and latest start for runs without a due time")
{
    // Guards against a change for requests of builds that do not tell when a run is due.
    RunQueue queue;
    queue.add(queuedRun("later", "quote", 1, {}, start + Seconds { 3 }));
    queue.add(queuedRun("first", "quote", 1, {}, start + Seconds { 1 }));
    queue.add(queuedRun("same", "quote", 1, {}, start + Seconds { 1 }));
    queue.add(queuedRun("urgent", "check", 0, {}, start + Seconds { 9 }));
    CHECK(pass(queue, {}, 4) == Jobs { "urgent", "first", "same", "later" });
}

TEST_CASE("queue puts runs that are late anyway behind those of their priority that can be in time")
{
    // Guards against an overload in which every run starts just too late.
    RunQueue queue;
    queue.add(queuedRun("a", "check", 0, start + Milliseconds { 110 }));
    queue.add(queuedRun("b", "check", 0, start + Milliseconds { 400 }));
    queue.add(queuedRun("c", "check", 0, start + Milliseconds { 300 }));
    queue.add(queuedRun("routine", "renewal", 1, start + Milliseconds { 300 }));

    SECTION("which applies only once they are late")
    {
        CHECK(pass(queue, {}, 4, start + Milliseconds { 10 }) == Jobs { "a", "c", "b", "routine" });
    }

    SECTION("and never puts them behind less urgent runs")
    {
        CHECK(pass(queue, {}, 4, start + Milliseconds { 11 }) == Jobs { "c", "b", "a", "routine" });
    }

    SECTION("and still offers them what the others leave")
    {
        CHECK(pass(queue, {}, 2, start + Milliseconds { 11 }) == Jobs { "c", "b" });
        CHECK(pass(queue, {}, 1, start + Milliseconds { 12 }) == Jobs { "a" });
    }
}

TEST_CASE("queue guarantees each route half of an equal share of the cores while capacity is scarce")
{
    // Guards against a burst on one route that leaves a less urgent one nothing.
    RunQueue queue;
    for (const char* job : { "r1", "r2", "r3" })
        queue.add(queuedRun(job, "renewal", 1));
    for (const char* job : { "q1", "q2", "q3" })
        queue.add(queuedRun(job, "quote", 2));
    REQUIRE(queue.needsUsage());

    SECTION("the route below its share first, until it has it")
    {
        // Two routes on 8 places: two places are guaranteed to each.
        CHECK(pass(queue, usageOf(8 * taskMilliCores, { { "renewal", 7 * taskMilliCores } }), 4) == Jobs { "q1", "q2", "r1", "r2" });
    }

    SECTION("a route that only runs counts among the routes")
    {
        // Three routes on 6 places: one place is guaranteed to each.
        CHECK(pass(queue, usageOf(6 * taskMilliCores, { { "renewal", 3 * taskMilliCores }, { "check", 2 * taskMilliCores } }), 3) == Jobs { "q1", "r1", "r2" });
    }

    SECTION("runs of priority 0 before both")
    {
        queue.add(queuedRun("c1", "check", 0));
        CHECK(pass(queue, usageOf(12 * taskMilliCores, { { "renewal", 12 * taskMilliCores } }), 2) == Jobs { "c1", "q1" });
    }

    SECTION("each run is offered once in a pass")
    {
        queue.beginPass(usageOf(8 * taskMilliCores, {}), start);
        std::size_t offered = 0;
        while (queue.next())
            ++offered;
        CHECK(offered == 6);
    }
}

TEST_CASE("queue follows a change of the configuration with the next run")
{
    // Guards against shares kept for routes that are gone, and against old priorities of routes that were re-weighted.
    RunQueue queue;
    queue.add(queuedRun("r1", "renewal", 1));
    queue.add(queuedRun("q1", "quote", 2));
    const CoreUsage usage = usageOf(4 * taskMilliCores, { { "renewal", taskMilliCores } });
    REQUIRE(pass(queue, usage, 1) == Jobs { "q1" });

    SECTION("a route that is dropped leaves no share behind")
    {
        CHECK_FALSE(queue.needsUsage());
        CHECK(pass(queue, usage, 1) == Jobs { "r1" });
    }

    SECTION("a route that is added has a share at once")
    {
        queue.add(queuedRun("n1", "new", 3));
        CHECK(pass(queue, usage, 1) == Jobs { "n1" });
    }

    SECTION("runs queued under an earlier priority keep it")
    {
        queue.add(queuedRun("r2", "renewal", 0));
        CHECK(pass(queue, usage, 2) == Jobs { "r2", "r1" });
    }
}

TEST_CASE("queue removes runs by executor, by number and by latest start")
{
    RunQueue queue;
    queue.add(queuedRun("a", "quote", 2, {}, start));
    queue.add(queuedRun("b", "quote", 2));
    queue.add(queuedRun("c", "renewal", 1));
    CHECK(queue.smallestNeed() == taskMilliCores);
    CHECK_FALSE(queue.remove("y", queuedRun("b", "quote", 2).request.run));
    CHECK(queue.remove("x", queuedRun("b", "quote", 2).request.run));
    CHECK(queue.removeExpired(start).empty());
    CHECK(queue.removeExpired(start + Milliseconds { 1 }).size() == 1);
    CHECK(queue.removeRunsOf("x").size() == 1);
    CHECK(queue.empty());
    CHECK(queue.smallestNeed() == 0);
}

namespace {

/// Half of an equal share of three routes in the cores of the nine upstreams.
constexpr std::int64_t guaranteedMilliCores = 672'000 / 6;

struct LoadRoute {
    std::string name;
    int priority = 0;
    std::uint32_t tasks = 0;
    Milliseconds runTime { 0 };
    double jobsPerSecond = 0;
    /// Factor on the arrivals during the burst.
    double burst = 1;

    Milliseconds objective() const { return Milliseconds { runTime.count() * 11 / 10 * 16 / 10 + 60 }; }
};

struct RouteResult {
    int runs = 0;
    int inTime = 0;
    int late = 0;
    int jobs = 0;
    /// Jobs all of whose runs were in time.
    int jobsInTime = 0;
    /// The longest wait of a run that was started.
    Milliseconds longestWait { 0 };
    /// The longest time for which runs of the route were queued while it used less than its guaranteed share.
    Milliseconds longestBelowShare { 0 };
    std::optional<TimePoint> belowShareSince;

    double shareInTime() const { return static_cast<double>(inTime) / std::max(1, runs); }
    double shareOfJobsInTime() const { return static_cast<double>(jobsInTime) / std::max(1, jobs); }
};

/// One owner of nine upstreams (21 places) with the three routes of a deployment. Arrivals are at regular intervals.
class OwnerUnderLoad {
public:
    explicit OwnerUnderLoad(std::vector<LoadRoute> routes)
        : m_routes(std::move(routes))
    {
        for (int index = 0; index < upstreamCount; ++index) {
            const UpstreamId id = "u" + std::to_string(index);
            m_owner.acquire(upstreamNamed(id, index % 3 == 2 ? 96'000 : 64'000), token, m_now);
            m_upstreams.push_back(id);
            poll(id);
        }
    }

    std::map<std::string, RouteResult> run(Milliseconds burstBegin, Milliseconds burstEnd, Milliseconds end)
    {
        std::vector<double> due(m_routes.size(), 1);
        for (Milliseconds time { 0 }; time < end + drainTime; time += step) {
            m_now = start + time;
            const bool inBurst = time >= burstBegin && time < burstEnd;
            for (std::size_t index = 0; index < m_routes.size() && time < end; ++index) {
                const LoadRoute& route = m_routes[index];
                due[index] += route.jobsPerSecond * (inBurst ? route.burst : 1) * static_cast<double>(step.count()) / 1'000;
                for (; due[index] >= 1; due[index] -= 1)
                    submit(route);
            }
            endRuns();
            if (time.count() % 20 == 0)
                m_owner.tick(m_now);
            if (time.count() % 100 == 0) {
                for (const UpstreamId& upstream : m_upstreams)
                    poll(upstream);
            }
            acceptStarts();
            recordUse();
        }
        return m_results;
    }

    /// How often a run of another priority was started while one of priority 0, which needs as much, was left waiting.
    int routineStartsBeforeUrgent() const { return m_routineStartsBeforeUrgent; }

private:
    static constexpr int upstreamCount = 9;
    static constexpr Milliseconds step { 2 };
    /// Time without arrivals in which all runs end or expire.
    static constexpr Milliseconds drainTime { 6'000 };

    struct Running {
        UpstreamId upstream;
        TimePoint endsAt;
        const LoadRoute* route = nullptr;
        TimePoint dueBy;
    };

    struct Submitted {
        const LoadRoute* route = nullptr;
        TimePoint at;
    };

    void submit(const LoadRoute& route)
    {
        const std::string job = route.name + std::to_string(++m_jobs);
        ++m_results[route.name].jobs;
        for (std::uint32_t index = 0; index < route.tasks; ++index) {
            RunRequest request = requestFor(job, index, m_now + route.objective() * 3 - route.runTime * 3 / 4, taskMilliCores);
            request.route = route.name;
            request.priority = route.priority;
            request.estimate = route.runTime;
            request.expectedRunTime = route.runTime;
            request.dueBy = m_now + route.objective();
            m_submitted[request.run] = { &route, m_now };
            ++m_results[route.name].runs;
            m_owner.request("x", request, m_now);
            acceptStarts();
        }
    }

    void acceptStarts()
    {
        bool routineStarted = false;
        for (; m_startsSeen < m_port.starts.size(); ++m_startsSeen) {
            const StartOrder order = m_port.starts[m_startsSeen];
            const Submitted& submitted = m_submitted.at(order.run);
            const LoadRoute& route = *submitted.route;
            routineStarted = routineStarted || route.priority != 0;
            m_running[order.run] = { order.upstream, m_now + route.runTime, &route, submitted.at + route.objective() };
            RouteResult& result = m_results[route.name];
            result.longestWait = std::max(result.longestWait, toMilliseconds(m_now - submitted.at));
            m_owner.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, m_now);
        }
        if (!routineStarted)
            return;
        const CapacityReport report = m_owner.capacityReport(m_now);
        m_routineStartsBeforeUrgent += std::any_of(report.queues.begin(), report.queues.end(), [](const QueueBacklog& queue) { return queue.priority == 0; }) ? 1 : 0;
    }

    void endRuns()
    {
        std::vector<TaskRun> ended;
        for (const auto& entry : m_running) {
            if (entry.second.endsAt <= m_now)
                ended.push_back(entry.first);
        }
        for (const TaskRun& run : ended) {
            const Running running = m_running.at(run);
            m_running.erase(run);
            RouteResult& result = m_results[running.route->name];
            const bool inTime = m_now <= running.dueBy;
            ++(inTime ? result.inTime : result.late);
            if (inTime && ++m_runsInTime[run.task.job] == running.route->tasks)
                ++result.jobsInTime;
            poll(running.upstream, { { ++m_endCounts[running.upstream], run, RunOutcome::Done } });
            acceptStarts();
        }
    }

    void poll(const UpstreamId& upstream, std::vector<RunEndRecord> ended = {})
    {
        PollReply reply;
        reply.outcome = OrderOutcome::Accepted;
        reply.clock = toMilliseconds(m_now.time_since_epoch());
        for (const auto& entry : m_running) {
            if (entry.second.upstream == upstream)
                reply.running.push_back(entry.first);
        }
        reply.ended = std::move(ended);
        const PollOrder order = *m_owner.nextPoll(upstream, m_now);
        m_owner.onPollReply(upstream, order, reply, m_now, m_now);
        acceptStarts();
    }

    void recordUse()
    {
        std::map<std::string, std::int64_t> used;
        for (const auto& entry : m_running)
            used[entry.second.route->name] += taskMilliCores;
        const CapacityReport report = m_owner.capacityReport(m_now);
        for (const LoadRoute& route : m_routes) {
            const bool queued = std::any_of(report.queues.begin(), report.queues.end(), [&route](const QueueBacklog& queue) { return queue.priority == route.priority; });
            RouteResult& result = m_results[route.name];
            if (!queued || used[route.name] >= guaranteedMilliCores)
                result.belowShareSince.reset();
            else if (!result.belowShareSince)
                result.belowShareSince = m_now;
            if (result.belowShareSince)
                result.longestBelowShare = std::max(result.longestBelowShare, toMilliseconds(m_now - *result.belowShareSince));
        }
    }

    std::vector<LoadRoute> m_routes;
    RecordingOwnerPort m_port;
    CrashTable m_crashes;
    UpstreamOwner m_owner { m_port, m_crashes, OwnerLimits {} };
    TimePoint m_now = start;
    std::vector<UpstreamId> m_upstreams;
    std::map<UpstreamId, std::uint64_t> m_endCounts;
    std::map<TaskRun, Submitted> m_submitted;
    std::map<TaskRun, Running> m_running;
    std::map<std::string, RouteResult> m_results;
    std::map<std::string, std::uint32_t> m_runsInTime;
    std::size_t m_startsSeen = 0;
    int m_jobs = 0;
    int m_routineStartsBeforeUrgent = 0;
};

/// Rates of one of 39 owners, in proportion to a load of 0.58 of the cores, times `factor`.
std::vector<LoadRoute> mixedLoad(double factor)
{
    return {
        { "check", 0, 8, Milliseconds { 60 }, 5.3 * factor },
        { "renewal", 1, 2, Milliseconds { 200 }, 15.5 * factor },
        { "quote", 2, 4, Milliseconds { 900 }, 0.97 * factor },
    };
}

}

// The bounds lie a little below what was measured; the figures before this order and with it are in
// docs/design/shares-and-admission.md.

TEST_CASE("owner under a load of 1.3 times its capacity serves every route")
{
    // Guards against strict priority, under which 7% of the quotes were in time.
    OwnerUnderLoad load(mixedLoad(1.3 / 0.58));
    std::map<std::string, RouteResult> results = load.run(Seconds { 1 }, Seconds { 6 }, Seconds { 6 });
    CHECK(results["check"].shareInTime() > 0.8);
    CHECK(results["renewal"].shareInTime() > 0.75);
    CHECK(results["quote"].shareInTime() > 0.6);
    CHECK(load.routineStartsBeforeUrgent() == 0);
}

TEST_CASE("owner under a burst of renewals of 1.8 keeps the guaranteed share of quotes")
{
    std::vector<LoadRoute> routes = mixedLoad(1.5);
    routes[1].burst = 1.8;
    OwnerUnderLoad load(routes);
    std::map<std::string, RouteResult> results = load.run(Seconds { 2 }, Seconds { 5 }, Seconds { 8 });
    // Renewals give back what they have borrowed when their runs of 200 ms end; checks may take some of it for 60 ms.
    CHECK(results["quote"].longestBelowShare <= Milliseconds { 260 });
    CHECK(results["quote"].shareInTime() > 0.9);
    CHECK(results["renewal"].shareInTime() > 0.85);
    CHECK(load.routineStartsBeforeUrgent() == 0);
    CHECK(results["check"].longestWait <= Milliseconds { 200 });
}

TEST_CASE("owner under a burst of checks of 1.9 starts nothing else while they wait")
{
    std::vector<LoadRoute> routes = mixedLoad(1.6);
    routes[0].burst = 1.9;
    OwnerUnderLoad load(routes);
    std::map<std::string, RouteResult> results = load.run(Seconds { 2 }, Seconds { 5 }, Seconds { 8 });
    CHECK(results["check"].shareInTime() > 0.9);
    CHECK(results["renewal"].shareInTime() > 0.95);
    CHECK(results["quote"].shareInTime() > 0.85);
    CHECK(load.routineStartsBeforeUrgent() == 0);
}

TEST_CASE("owner without scarcity starts every run at once")
{
    // Guards against an order that holds runs back while capacity is free.
    std::map<std::string, RouteResult> results = OwnerUnderLoad(mixedLoad(0.3)).run(Seconds { 1 }, Seconds { 6 }, Seconds { 6 });
    for (const auto& result : results)
        CHECK(result.second.longestWait.count() == 0);
}
