#include "dispatch_simulation.hpp"

#include <algorithm>
#include <ostream>
#include <stdexcept>

namespace egrettrestle::model {

namespace {

    constexpr int vmCount = 3;
    constexpr int upstreamCount = 5;
    constexpr int jobCount = 60;
    constexpr Seconds simulatedTime { 14 };
    constexpr Milliseconds tickInterval { 20 };
    constexpr Milliseconds orderTimeout { 120 };
    constexpr Milliseconds pollReplyTimeout { 160 };
    constexpr Milliseconds maxLease { 1'000 };
    constexpr Milliseconds resubmissionDelay { 1'300 };
    constexpr Milliseconds maxViewDelay { 300 };
    // How long a VM waits for the reply to a batch.
    constexpr Milliseconds peerTimeout { 350 };
    constexpr Seconds noAgeLimit { 1'000 };
    // Share of its ticks that a VM executes while it is starved of CPU.
    constexpr double starvedTickShare = 0.02;
    constexpr std::size_t slotsPerUpstream = 2;
    constexpr Milliseconds timeToCrash { 20 };
    constexpr Seconds callerTimeoutWithCrashes { 8 };
    constexpr Milliseconds shortCallerTimeout { 1'500 };
    // With connections that break, so that callers may submit their jobs again long before their time is over.
    constexpr Milliseconds longCallerTimeout { 4'500 };
    constexpr Milliseconds lateStopPeriod { 3'000 };
    // Time in which a VM that has stood still reads what has arrived.
    constexpr int maxCatchUpTime = 10;
    constexpr int maxStallsOfSeries = 12;
    constexpr int maxLag = 600;
    constexpr Seconds lagWithMessagesHeldBack { 60 };
    constexpr double slowestClockRate = 0.98;
    // Of a VM that ends as planned: until the load balancer sends it no new connections, the latest end of its jobs, the interval
    // at which it looks whether they have ended, and the time that it waits for the owners' replies at the end.
    constexpr Milliseconds balancerDetectionTime { 2'300 };
    constexpr Milliseconds replyDeadline { 5'100 };
    constexpr Milliseconds stopPollInterval { 50 };
    constexpr Milliseconds ownerReplyTime { 200 };
    // Share of the stalls, and of the gaps between them, that are short.
    constexpr double shortStallShare = 0.7;
    // Share of the callers without a reply that keep their connection until they submit their job again.
    constexpr double lingeringCallerShare = 0.5;
    constexpr int maxSubmissionsOfJob = 3;
    constexpr int hotRackFactor = 3;
    constexpr int maxOrdersInFlight = 4;
    // Of the jobs with many small tasks.
    constexpr std::size_t slotsForSmallTasks = 40;
    constexpr int taskFactorOfLargeJobs = 12;
    constexpr int largeJobCount = 15;
    // Tasks whose upstream may have crashed under them each need another one for themselves.
    constexpr int upstreamCountForLargeJobs = 12;
    constexpr int maxTimeAway = 2'000;
    // Discovery is usually read within this time, and later while the store is away.
    constexpr int usualDescriptionDelay = 500;
    constexpr int maxDescriptionDelay = 3'000;
    constexpr double lateDescriptionShare = 0.3;
    constexpr std::int64_t milliCoresOfTask = 27'000;
    const Resources capacityOfKindA { 64'000, 100'000, 0 };
    const Resources capacityOfKindB { 32'000, 100'000, 0 };
    const std::string hotRack = "r1";

    constexpr std::chrono::hours simulationBegin { 1 };

    VmId vmId(int number) { return "vm" + std::to_string(number); }

    std::string textOf(const TaskRun& run)
    {
        return run.task.job + '.' + std::to_string(run.task.index) + '#' + std::to_string(run.number);
    }

    std::string textOf(const RunNote& note)
    {
        std::string text = textOf(note.run) + ' ' + note.vm + ' ' + note.upstream + ' ' + note.basis;
        for (const auto& age : note.ages)
            text += std::string(" ") + age.first + ' ' + std::to_string(age.second.count());
        return text;
    }

    const char* nameOf(OrderOutcome outcome)
    {
        static const std::map<OrderOutcome, const char*> names {
            { OrderOutcome::Accepted, "accepted" },
            { OrderOutcome::Superseded, "superseded" },
            { OrderOutcome::LeaseExpired, "lease-expired" },
            { OrderOutcome::InsufficientCapacity, "no-capacity" },
            { OrderOutcome::Fenced, "fenced" },
            { OrderOutcome::Unknown, "no-reply" },
            { OrderOutcome::NotSent, "not-sent" },
            { OrderOutcome::WrongUpstream, "wrong-upstream" },
            { OrderOutcome::WrongProcess, "wrong-process" },
        };
        const auto found = names.find(outcome);
        return found == names.end() ? "other" : found->second;
    }

    const char* nameOf(RunOutcome outcome)
    {
        static const std::map<RunOutcome, const char*> names {
            { RunOutcome::Done, "done" },
            { RunOutcome::Failed, "failed" },
            { RunOutcome::Stopped, "stopped" },
            { RunOutcome::LeaseExpired, "lease-expired" },
        };
        return names.at(outcome);
    }

    const char* nameOf(ReturnReason reason)
    {
        static const std::map<ReturnReason, const char*> names {
            { ReturnReason::Expired, "expired" },
            { ReturnReason::Withdrawn, "withdrawn" },
            { ReturnReason::Lost, "lost" },
            { ReturnReason::Superseded, "superseded" },
            { ReturnReason::Unschedulable, "unschedulable" },
        };
        return names.at(reason);
    }

    const char* nameOf(OwnerEvent::Kind kind)
    {
        static const std::map<OwnerEvent::Kind, const char*> names {
            { OwnerEvent::Kind::Owned, "owned" },
            { OwnerEvent::Kind::Released, "released" },
            { OwnerEvent::Kind::Fenced, "fenced" },
            { OwnerEvent::Kind::Restarted, "restarted" },
            { OwnerEvent::Kind::Unreachable, "unreachable" },
            { OwnerEvent::Kind::RunsLost, "runs-lost" },
            { OwnerEvent::Kind::StartUnanswered, "start-unanswered" },
            { OwnerEvent::Kind::RunStopped, "run-stopped" },
            { OwnerEvent::Kind::ClaimHandled, "claim-handled" },
            { OwnerEvent::Kind::RunsPastEnd, "runs-past-end" },
            { OwnerEvent::Kind::RunsUnclaimed, "runs-unclaimed" },
            { OwnerEvent::Kind::RunsReturnedLost, "runs-returned-lost" },
        };
        const auto found = names.find(kind);
        return found == names.end() ? nullptr : found->second;
    }

    Route proofRoute()
    {
        Route route;
        route.name = "proof";
        route.service = "print";
        route.maxAttempts = 3;
        route.stretch = 6;
        route.targetLatency = Milliseconds { 500 };
        return route;
    }

}

/// An upstream that executes orders by the platform's rules. While it is silent, it neither receives orders nor replies.
struct DispatchSimulation::Upstream {
    struct ActiveRun {
        TaskRun run;
        TimePoint endsAt;
    };

    UpstreamInfo info;
    FencingToken token;
    UpstreamClock leaseEnd { 0 };
    std::vector<ActiveRun> running;
    std::vector<RunEndRecord> ended;
    std::map<TaskRef, RunNumber> highestEnded;
    std::uint64_t endedCount = 0;
    TimePoint silentUntil;
    TimePoint lateStopsUntil;
    /// Set while it is cut off before it restarts.
    bool restarting = false;
    /// When its clock began.
    TimePoint clockBegin;
    double clockRate = 1;
    /// Set while the upstream is down after a crash: it rejects connections.
    bool down = false;
    std::vector<UpstreamId> formerIds;
};

/// One attempt of a caller to have a job executed.
struct DispatchSimulation::Submission {
    std::string job;
    int vm;
    bool answered = false;
    /// The caller no longer waits.
    bool left = false;
    /// The caller has closed its connection.
    bool disconnected = false;
    /// The process and ticket that handle it; 0 before the VM has read it.
    std::uint64_t processIncarnation = 0;
    CallerTicket ticket = 0;
};

/// One process of a VM: its dispatcher, and its channels to the other VMs.
struct DispatchSimulation::Vm : DispatcherPort {
    Vm(DispatchSimulation& owner, int vmNumber, std::uint64_t ownIncarnation)
        : simulation(owner)
        , number(vmNumber)
        , processIncarnation(ownIncarnation)
        , dispatcher(*this, vmId(vmNumber), owner.limits())
    {
    }

    PeerChannel& channel(const VmId& vm)
    {
        return channels.try_emplace(vm, processIncarnation, ChannelLimits { simulation.m_rules.messageAge ? DispatcherLimits {}.maxMessageAge : noAgeLimit }).first->second;
    }

    void start(const StartOrder& order) override
    {
        if (simulation.m_faults.restartsBehindCuts == 0) {
            if (const std::optional<StartOrder> current = dispatcher.startToSend(order, simulation.m_now))
                sendStart(*current);
            return;
        }
        // Without the check an order counts as sent from its decision on.
        const bool checked = simulation.m_rules.orderCheck;
        if (!checked)
            dispatcher.startToSend(order, simulation.m_now);
        simulation.queueOrder(number, order.upstream, [this, order, checked] {
            const std::optional<StartOrder> current = checked ? dispatcher.startToSend(order, simulation.m_now) : order;
            if (current)
                sendStart(*current);
            return current.has_value();
        });
    }

    void sendStart(const StartOrder& order)
    {
        simulation.sendOrder(
            number, order.upstream, simulation.m_rules.processCheck ? order.process : Milliseconds { 0 }, [this, order](Upstream& upstream) {
                const OrderReply reply = simulation.executeStart(upstream, order);
                simulation.noteOrder(upstream, "start", order.run, order.token, reply);
                return reply; },
            [this, order](const OrderReply& reply) {
                dispatcher.onStartReply(order, reply, simulation.m_now);
                simulation.onOrderDone(number, order.upstream);
            });
    }

    void stop(const StopOrder& order) override
    {
        if (simulation.upstream(order.upstream).lateStopsUntil > simulation.m_now) {
            simulation.after(simulation.randomDuration(2'000, 6'000), [this, order] {
                Upstream& target = simulation.upstream(order.upstream);
                simulation.noteOrder(target, "late stop", order.run, order.token, simulation.executeStop(target, order));
            });
            const std::uint64_t ownIncarnation = processIncarnation;
            simulation.afterOn(number, orderTimeout, [this, ownIncarnation, order] {
                if (simulation.aliveProcess(number, ownIncarnation))
                    dispatcher.onStopReply(order, {}, simulation.m_now);
            });
            return;
        }
        if (simulation.m_faults.restartsBehindCuts == 0) {
            sendStop(order);
            return;
        }
        simulation.queueOrder(number, order.upstream, [this, order, checked = simulation.m_rules.orderCheck] {
            const std::optional<StopOrder> current = checked ? dispatcher.stopToSend(order) : order;
            if (current)
                sendStop(*current);
            return current.has_value();
        });
    }

    void sendStop(const StopOrder& order)
    {
        simulation.sendOrder(
            number, order.upstream, Milliseconds { 0 }, [this, order](Upstream& upstream) {
                const OrderReply reply = simulation.executeStop(upstream, order);
                simulation.noteOrder(upstream, "stop", order.run, order.token, reply);
                return reply; },
            [this, order](const OrderReply& reply) {
                dispatcher.onStopReply(order, reply, simulation.m_now);
                simulation.onOrderDone(number, order.upstream);
            });
    }

    void pollNow(const UpstreamId& upstream) override
    {
        const std::uint64_t ownIncarnation = processIncarnation;
        simulation.afterOn(number, Milliseconds { 0 }, [this, ownIncarnation, upstream] {
            if (Vm* vm = simulation.aliveProcess(number, ownIncarnation)) {
                if (std::optional<PollOrder> order = vm->dispatcher.nextPoll(upstream, simulation.m_now)) {
                    order->wait = Milliseconds { 0 };
                    simulation.sendPoll(number, *order, [](bool) {});
                }
            }
        });
    }

    void send(const VmId& vm, PeerMessage message) override
    {
        channel(vm).send(std::move(message));
        const std::uint64_t ownIncarnation = processIncarnation;
        simulation.afterOn(number, Milliseconds { 0 }, [this, ownIncarnation, vm] {
            if (Vm* sender = simulation.aliveProcess(number, ownIncarnation))
                simulation.flush(*sender, vm);
        });
    }

    void reply(CallerTicket ticket, const JobResult& result) override { simulation.onReply(number, ticket, result); }
    void recordEvent(const OwnerEvent& event) override
    {
        if (event.kind == OwnerEvent::Kind::WaitsEnded)
            simulation.m_result.waits += static_cast<int>(event.count);
        const char* name = nameOf(event.kind);
        if (!name)
            return;
        const std::string text = vmId(number) + ' ' + name + ' ' + event.upstream + ' ' + event.cause + " age " + std::to_string(event.age.count()) + " count " + std::to_string(event.count);
        if (event.run.task.job.empty())
            simulation.note(text);
        else
            simulation.note(event.run.task.job, text + ' ' + textOf(event.run));
        for (const LostRun& lost : event.runs)
            simulation.note(lost.run.task.job, text + ' ' + textOf(lost.run));
        for (const RunNote& note : event.notes)
            simulation.note(note.run.task.job, text + ' ' + textOf(note));
    }
    void recordEvent(const EvacuationEvent&) override { }
    void recordEvent(const JobEvent& event) override
    {
        const std::string text = vmId(number) + " job event " + std::to_string(static_cast<int>(event.kind)) + ' ' + event.reason + " age " + std::to_string(event.age.count());
        simulation.note(event.job, text);
        for (const RunNote& note : event.runs)
            simulation.note(event.job, text + ' ' + textOf(note));
        for (const ResentRun& resend : event.resends)
            simulation.note(event.job, text + ' ' + textOf(resend.earlier) + " said by " + resend.statedBy + ", now run " + std::to_string(resend.run) + " at " + resend.owner);
    }
    void onOwnedUpstreamsChanged() override
    {
        const std::uint64_t ownIncarnation = processIncarnation;
        simulation.after(Milliseconds { 0 }, [this, ownIncarnation] {
            if (simulation.aliveProcess(number, ownIncarnation))
                simulation.updatePolledUpstreams(number);
        });
    }
    void onPeerLost(const VmId& vm) override
    {
        simulation.note(vmId(number) + " considers " + vm + " lost");
        channel(vm).withdrawPendingRequests();
    }

    DispatchSimulation& simulation;
    int number;
    std::uint64_t processIncarnation;
    Dispatcher dispatcher;
    bool up = true;
    bool partitioned = false;
    /// When it got the signal to end.
    std::optional<TimePoint> endsSince;
    TimePoint starvedUntil;
    Epoch epoch;
    std::map<VmId, PeerChannel> channels;
    /// VMs to which a batch has been sent whose reply is outstanding.
    std::set<VmId> batchesInFlight;
    std::set<UpstreamId> polled;
    std::map<UpstreamId, OrderQueue<std::function<bool()>>> orders;
    std::map<CallerTicket, std::string> tickets;
    CallerTicket lastTicket = 0;
};

/// A batch in transit from one VM to another.
struct DispatchSimulation::Batch {
    int from;
    std::uint64_t senderIncarnation;
    int to;
    BatchHeader stamp;
    std::vector<PeerMessage> messages;
    CapacityReport capacity;
    Milliseconds executorLag;
    TimePoint madeAt;
    /// Whether the sender has received the reply or timed out; shared by the copies of the batch.
    std::shared_ptr<bool> completed = std::make_shared<bool>(false);
};

DispatchSimulation::DispatchSimulation(std::uint64_t seed, DispatchFaults faults, DispatchRules rules, ContactLimits contacts)
    : m_random(seed)
    , m_faults(faults)
    , m_rules(rules)
    , m_contacts(contacts)
{
}

DispatcherLimits DispatchSimulation::limits() const
{
    DispatcherLimits limits;
    limits.owner.leaseDuration = Milliseconds { 600 };
    limits.contacts = m_contacts;
    if (m_faults.hotRack)
        limits.owner.remoteDataFactor = hotRackFactor;
    if (!m_rules.leaseExpiryWait)
        limits.owner.leaseExpiryMargin = -limits.owner.leaseDuration;
    if (!m_rules.orphanedRunWait)
        limits.executor.orphanedRunTimeout = Milliseconds { 0 };
    if (!m_rules.withdrawnRunLimit) {
        limits.executor.withdrawnRunLimit = Seconds { 100 };
        limits.owner.orphanedRunLimit = Seconds { 100 };
    }
    return limits;
}

DispatchSimulation::~DispatchSimulation() = default;

void DispatchSimulation::trace(std::string job, std::ostream& output)
{
    m_tracedJob = std::move(job);
    m_traceOutput = &output;
}

void DispatchSimulation::note(const std::string& text) const
{
    if (m_traceOutput)
        *m_traceOutput << toMilliseconds(m_now.time_since_epoch() - simulationBegin).count() << " ms: " << text << '\n';
}

void DispatchSimulation::note(const std::string& job, const std::string& text) const
{
    if (job == m_tracedJob)
        note(text);
}

void DispatchSimulation::noteMessage(const Batch& batch, const PeerMessage& message) const
{
    if (!m_traceOutput)
        return;
    const std::string route = vmId(batch.from) + " -> " + vmId(batch.to) + ' ';
    const auto add = [this, &route](const TaskRun& run, const std::string& text) { note(run.task.job, route + text + ' ' + textOf(run)); };
    if (message.request)
        add(message.request->run, "request");
    if (message.started)
        add(message.started->run, "started at " + message.started->upstream + " epoch " + std::to_string(message.started->epoch.value));
    if (message.ended)
        add(message.ended->run, "ended at " + message.ended->upstream + ' ' + nameOf(message.ended->outcome));
    if (message.returned)
        add(message.returned->run, std::string("returned ") + nameOf(message.returned->reason));
    if (message.withdrawal)
        add(message.withdrawal->run, "withdrawal at " + message.withdrawal->upstream + (message.withdrawal->onlyIfWaiting ? " if waiting" : "") + (message.withdrawal->endBy ? " end by " + std::to_string(toMilliseconds(message.withdrawal->endBy->time_since_epoch() - simulationBegin).count()) : ""));
    if (message.claim)
        add(message.claim->run, "claim at " + message.claim->upstream + " epoch " + std::to_string(message.claim->epoch.value));
}

void DispatchSimulation::noteOrder(const Upstream& target, const char* order, const TaskRun& run, FencingToken token, const OrderReply& reply) const
{
    if (m_traceOutput)
        note(run.task.job, target.info.id + ' ' + order + ' ' + textOf(run) + " token " + std::to_string(token.value) + ": " + nameOf(reply.outcome) + ", lease left " + std::to_string((target.leaseEnd - clockOf(target)).count()));
}

void DispatchSimulation::after(Milliseconds delay, Action action)
{
    m_scheduled.push({ m_now + delay, ++m_lastEventNumber, std::move(action), std::nullopt, false });
}

void DispatchSimulation::afterOn(int vm, Milliseconds delay, Action action)
{
    m_scheduled.push({ m_now + delay, ++m_lastEventNumber, std::move(action), vm, false });
}

/// Executes an action, or delays it until its VM no longer stands still.
void DispatchSimulation::execute(Scheduled next)
{
    m_now = next.at;
    if (!next.vm || !m_faults.vmsStandStill()) {
        next.action();
        return;
    }
    const TimePoint frozenUntil = m_frozenUntil[*next.vm];
    if (frozenUntil > m_now) {
        next.at = frozenUntil + randomDuration(0, maxCatchUpTime);
        m_scheduled.push(std::move(next));
        return;
    }
    const auto lag = m_lag.find(*next.vm);
    if (lag != m_lag.end() && !next.lagged) {
        next.at = m_now + lag->second;
        next.lagged = true;
        m_scheduled.push(std::move(next));
        return;
    }
    Vm& vm = *m_vms[static_cast<std::size_t>(*next.vm)];
    if (vm.up && m_rules.pauseCheck && vm.dispatcher.onActivity(m_now, inputHandledUntil(*next.vm)))
        after(Milliseconds { 0 }, [this, number = *next.vm, processIncarnation = vm.processIncarnation] { checkCallers(number, processIncarnation); });
    next.action();
}

void DispatchSimulation::checkCallers(int number, std::uint64_t processIncarnation)
{
    Vm* vm = aliveProcess(number, processIncarnation);
    if (!vm)
        return;
    for (const std::shared_ptr<Submission>& submission : m_submissionsInProgress) {
        if (submission->disconnected && submission->vm == number && submission->processIncarnation == processIncarnation)
            vm->dispatcher.onCallerDisconnected(submission->ticket, m_now);
    }
    vm->dispatcher.onCallersChecked(m_now);
}

Milliseconds DispatchSimulation::randomDuration(int least, int most)
{
    return Milliseconds { std::uniform_int_distribution<int>(least, most)(m_random) };
}

bool DispatchSimulation::chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

DispatchSimulation::Vm* DispatchSimulation::aliveProcess(int number, std::uint64_t processIncarnation)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    return vm.up && vm.processIncarnation == processIncarnation ? &vm : nullptr;
}

DispatchSimulation::Upstream& DispatchSimulation::upstream(const UpstreamId& id)
{
    return **std::find_if(m_upstreams.begin(), m_upstreams.end(), [&id](const auto& entry) {
        return entry->info.id == id || std::count(entry->formerIds.begin(), entry->formerIds.end(), id) > 0;
    });
}

void DispatchSimulation::startVm(int number)
{
    const std::uint64_t processIncarnation = m_vms[static_cast<std::size_t>(number)] ? m_vms[static_cast<std::size_t>(number)]->processIncarnation + 1 : 1;
    // Scheduled events still refer to the previous process.
    m_endedProcesses.push_back(std::move(m_vms[static_cast<std::size_t>(number)]));
    m_vms[static_cast<std::size_t>(number)] = std::make_unique<Vm>(*this, number, processIncarnation);
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    for (const auto& entry : m_upstreams)
        vm.dispatcher.setUpstream(entry->info, m_now);
    View next = withJoined(m_view, vmId(number), "p", "c");
    next.past.clear();
    for (Member& member : next.members)
        member.dataCentre = "dc1";
    publishView(next);
    const std::shared_ptr<std::function<void()>> tick = std::make_shared<std::function<void()>>();
    *tick = [this, number, processIncarnation, tick] {
        Vm* process = aliveProcess(number, processIncarnation);
        if (!process)
            return;
        const bool starved = process->starvedUntil > m_now;
        if (!starved || chance(starvedTickShare))
            process->dispatcher.tick(m_now);
        for (int other = 0; other < vmCount; ++other) {
            const VmId otherVm = vmId(other);
            const bool isMesh = m_contacts.meshMembers >= vmCount;
            const bool due = isMesh || process->dispatcher.contacts().count(otherVm) > 0 || process->dispatcher.sharesTasks(otherVm) || !process->channel(otherVm).isEmpty();
            if (other != number && due)
                flush(*process, otherVm);
        }
        afterOn(number, tickInterval, *tick);
    };
    afterOn(number, randomDuration(0, 20), *tick);
}

void DispatchSimulation::crashVm(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    if (!vm.up)
        return;
    note(vmId(number) + " crashes");
    endProcess(number);
    after(randomDuration(300, 1'500), [this, number] {
        if (m_vms[static_cast<std::size_t>(number)]->up)
            return;
        const Member* member = findMember(m_view, vmId(number));
        if (!member)
            return;
        View next = withRemoved(m_view, member->incarnation);
        next.past.clear();
        publishView(next);
    });
    after(randomDuration(100, 2'500), [this, number] {
        if (!m_vms[static_cast<std::size_t>(number)]->up)
            startVm(number);
    });
}

/// The process of a VM ends; its callers lose their connections.
void DispatchSimulation::endProcess(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    vm.up = false;
    for (const std::shared_ptr<Submission>& submission : m_submissionsInProgress) {
        if (submission->vm != number || submission->answered || submission->left)
            continue;
        submission->answered = true;
        vm.tickets.erase(submission->ticket);
        if (m_submissions[submission->job] < maxSubmissionsOfJob)
            after(resubmissionDelay, [this, submission] { submitJob(std::stoi(submission->job), (submission->vm + 1) % vmCount); });
    }
    // Callers that may leave have submitted their jobs again above, or when they left.
    if (!m_faults.callersLeave()) {
        for (const auto& ticket : vm.tickets)
            after(resubmissionDelay, [this, job = ticket.second, number] { submitJob(std::stoi(job), (number + 1) % vmCount); });
    }
    vm.tickets.clear();
}

/// The VMs get the signal to end one after another, some before the former one has ended.
void DispatchSimulation::endInTurn(std::vector<int> numbers)
{
    if (numbers.empty())
        return;
    const int number = numbers.back();
    numbers.pop_back();
    endAsPlanned(number);
    after(randomDuration(300, 4'000), [this, numbers] { endInTurn(numbers); });
}

/// A VM gets the signal to end. It leaves the view, goes on as an owner until it knows that it has left, and as the executor of
/// its jobs until they have ended or its time is over.
void DispatchSimulation::endAsPlanned(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    if (!vm.up || vm.endsSince)
        return;
    vm.endsSince = m_now;
    note(vmId(number) + " gets the signal to end");
    const std::uint64_t processIncarnation = vm.processIncarnation;
    afterOn(number, randomDuration(0, static_cast<int>(stopPollInterval.count())), [this, number, processIncarnation] { leaveView(number, processIncarnation); });
    afterOn(number, balancerDetectionTime, [this, number, processIncarnation, signalledAt = m_now] { finishJobs(number, processIncarnation, signalledAt); });
}

/// Repeated until the store has accepted it.
void DispatchSimulation::leaveView(int number, std::uint64_t processIncarnation)
{
    const Vm* vm = aliveProcess(number, processIncarnation);
    const Member* member = findMember(m_view, vmId(number));
    if (!vm || !member)
        return;
    if (vm->partitioned) {
        afterOn(number, stopPollInterval, [this, number, processIncarnation] { leaveView(number, processIncarnation); });
        return;
    }
    View next = withRemoved(m_view, member->incarnation);
    next.past.clear();
    publishView(next);
}

/// Ends the process once no caller waits, or at its deadline with an answer to those that are left.
void DispatchSimulation::finishJobs(int number, std::uint64_t processIncarnation, TimePoint signalledAt)
{
    Vm* vm = aliveProcess(number, processIncarnation);
    if (!vm)
        return;
    if ((vm->dispatcher.jobs() > 0 || !vm->tickets.empty()) && m_now < signalledAt + replyDeadline) {
        afterOn(number, stopPollInterval, [this, number, processIncarnation, signalledAt] { finishJobs(number, processIncarnation, signalledAt); });
        return;
    }
    note(vmId(number) + " ends its jobs");
    vm->dispatcher.endJobs(m_now);
    afterOn(number, ownerReplyTime, [this, number, processIncarnation] {
        Vm* ending = aliveProcess(number, processIncarnation);
        if (!ending)
            return;
        ending->dispatcher.abandonJobs(m_now);
        note(vmId(number) + " ends");
        endProcess(number);
        after(randomDuration(1'000, 2'000), [this, number, processIncarnation] {
            const Vm& ended = *m_vms[static_cast<std::size_t>(number)];
            if (!ended.up && ended.processIncarnation == processIncarnation)
                startVm(number);
        });
    });
}

void DispatchSimulation::partitionVm(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    if (!vm.up)
        return;
    vm.partitioned = true;
    note(vmId(number) + " is partitioned");
    const std::uint64_t processIncarnation = vm.processIncarnation;
    after(randomDuration(700, 1'500), [this, number, processIncarnation] {
        const Member* member = findMember(m_view, vmId(number));
        Vm* process = aliveProcess(number, processIncarnation);
        if (!process || !process->partitioned || !member)
            return;
        View next = withRemoved(m_view, member->incarnation);
        next.past.clear();
        publishView(next);
    });
    after(randomDuration(1'000, 4'000), [this, number, processIncarnation] {
        Vm* reconnected = aliveProcess(number, processIncarnation);
        if (!reconnected)
            return;
        reconnected->partitioned = false;
        note(vmId(number) + " is reconnected");
        const View view = m_view;
        after(randomDuration(1, static_cast<int>(maxViewDelay.count())), [this, number, processIncarnation, view] {
            Vm* process = aliveProcess(number, processIncarnation);
            if (!process || process->partitioned)
                return;
            if (view.epoch > process->epoch) {
                process->epoch = view.epoch;
                process->dispatcher.setView(view, m_now);
            }
            if (process->endsSince || findMember(m_view, vmId(number)))
                return;
            View next = withJoined(m_view, vmId(number), "p", "c");
            next.past.clear();
            for (Member& member : next.members)
                member.dataCentre = "dc1";
            publishView(next);
        });
    });
}

void DispatchSimulation::cutPair()
{
    const int first = static_cast<int>(randomDuration(0, vmCount - 1).count());
    const int second = (first + static_cast<int>(randomDuration(1, vmCount - 1).count())) % vmCount;
    const Milliseconds duration = randomDuration(300, 5'000);
    const TimePoint until = m_now + duration;
    const auto lose = [until](TimePoint& known) { known = std::max(known, until); };
    const int kind = static_cast<int>(randomDuration(0, 2).count());
    lose(m_repliesLostUntil[{ vmId(first), vmId(second) }]);
    if (kind < 2)
        lose(m_requestsLostUntil[{ vmId(first), vmId(second) }]);
    if (kind == 0) {
        lose(m_requestsLostUntil[{ vmId(second), vmId(first) }]);
        lose(m_repliesLostUntil[{ vmId(second), vmId(first) }]);
    }
    const char* const names[] = { "everything between ", "everything that is sent by ", "the replies of " };
    note(std::string("a cut loses ") + names[kind] + vmId(first) + " to " + vmId(second) + " for " + std::to_string(duration.count()));
}

void DispatchSimulation::cutFromUpstreams()
{
    const VmId vm = vmId(static_cast<int>(randomDuration(0, vmCount - 1).count()));
    const Milliseconds duration = randomDuration(300, 5'000);
    const bool repliesOnly = chance(0.5);
    const double share = chance(0.5) ? 0.4 : 1;
    std::string ids;
    for (const auto& entry : m_upstreams) {
        if (share < 1 && !chance(share))
            continue;
        TimePoint& until = repliesOnly ? m_repliesLostUntil[{ entry->info.id, vm }] : m_requestsLostUntil[{ vm, entry->info.id }];
        until = std::max(until, m_now + duration);
        ids += ' ' + entry->info.id;
    }
    note(vm + (repliesOnly ? " gets no replies of" : " does not reach") + ids + " for " + std::to_string(duration.count()));
}

bool DispatchSimulation::isLost(const std::map<std::pair<std::string, std::string>, TimePoint>& cuts, const std::string& from, const std::string& to) const
{
    const auto cut = cuts.find({ from, to });
    return cut != cuts.end() && cut->second > m_now;
}

void DispatchSimulation::starveVm(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    if (!vm.up)
        return;
    const Milliseconds duration = randomDuration(1'000, 4'000);
    vm.starvedUntil = m_now + duration;
    note(vmId(number) + " is starved for " + std::to_string(duration.count()));
}

void DispatchSimulation::freezeVm(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    if (!vm.up)
        return;
    standStill(number, randomDuration(300, 4'000));
    // Other VMs remove it if it stands still for long enough.
    const std::uint64_t processIncarnation = vm.processIncarnation;
    after(randomDuration(700, 1'500), [this, number, processIncarnation] {
        const Member* member = findMember(m_view, vmId(number));
        if (!aliveProcess(number, processIncarnation) || m_frozenUntil[number] <= m_now || !member)
            return;
        View next = withRemoved(m_view, member->incarnation);
        next.past.clear();
        publishView(next);
        afterOn(number, maxViewDelay, [this, number, processIncarnation] {
            const Vm* process = aliveProcess(number, processIncarnation);
            if (!process || process->endsSince || findMember(m_view, vmId(number)))
                return;
            View joined = withJoined(m_view, vmId(number), "p", "c");
            joined.past.clear();
            for (Member& other : joined.members)
                other.dataCentre = "dc1";
            publishView(joined);
        });
    });
}

void DispatchSimulation::standStill(int number, Milliseconds duration)
{
    if (inputHandledUntil(number) == m_now)
        m_behindSince[number] = m_now;
    m_frozenUntil[number] = std::max(m_frozenUntil[number], m_now + duration);
    note(vmId(number) + " stands still for " + std::to_string(duration.count()));
}

void DispatchSimulation::stallInSeries(int number, int stalls)
{
    if (stalls == 0)
        return;
    const Milliseconds stall = randomDuration(20, chance(shortStallShare) ? 240 : 900);
    standStill(number, stall);
    after(stall + randomDuration(1, chance(shortStallShare) ? 15 : 300), [this, number, stalls] { stallInSeries(number, stalls - 1); });
}

void DispatchSimulation::lagVm(int number)
{
    const Milliseconds lag = randomDuration(50, maxLag);
    if (!m_lag.emplace(number, lag).second)
        return;
    note(vmId(number) + " lags by " + std::to_string(lag.count()));
    after(randomDuration(1'000, 4'000), [this, number] { m_lag.erase(number); });
}

/// All input of a VM that had arrived by then has been handled.
TimePoint DispatchSimulation::inputHandledUntil(int number)
{
    const auto lag = m_lag.find(number);
    if (lag != m_lag.end())
        return m_now - lag->second;
    const bool behind = m_now <= m_frozenUntil[number] + Milliseconds { maxCatchUpTime };
    return behind ? m_behindSince[number] : m_now;
}

void DispatchSimulation::publishView(const View& view)
{
    m_view = view;
    std::string members;
    for (const Member& member : view.members)
        members += ' ' + member.id;
    note("view " + std::to_string(view.epoch.value) + members);
    for (int number = 0; number < vmCount; ++number) {
        if (!m_vms[static_cast<std::size_t>(number)])
            continue;
        const std::uint64_t processIncarnation = m_vms[static_cast<std::size_t>(number)]->processIncarnation;
        afterOn(number, randomDuration(1, static_cast<int>(maxViewDelay.count())), [this, number, processIncarnation, view] {
            Vm* vm = aliveProcess(number, processIncarnation);
            if (!vm || vm->partitioned || view.epoch <= vm->epoch)
                return;
            vm->epoch = view.epoch;
            note(vmId(number) + " adopts view " + std::to_string(view.epoch.value));
            vm->dispatcher.setView(view, m_now);
        });
    }
}

Milliseconds DispatchSimulation::messageDelay()
{
    return chance(m_faults.slowMessageProbability) ? randomDuration(5, 900) : randomDuration(0, 2);
}

/// Sends all pending messages to a VM, unless a reply from it is outstanding.
void DispatchSimulation::flush(Vm& from, const VmId& to)
{
    const int number = to.back() - '0';
    if (!m_vms[static_cast<std::size_t>(number)] || !from.batchesInFlight.insert(to).second)
        return;
    CapacityReport capacity = from.dispatcher.capacityReport(m_now);
    capacity.requestsReceived = from.dispatcher.requestsReceived(to);
    const PeerChannel& channel = from.channel(to);
    const bool held = from.dispatcher.hasUncheckedCallers();
    const Batch batch { from.number, from.processIncarnation, number, channel.batchHeader(), held ? std::vector<PeerMessage> {} : channel.pendingMessages(), capacity, held && !channel.isEmpty() ? lagWithMessagesHeldBack : from.dispatcher.executorLag(m_now), m_now };
    afterOn(from.number, peerTimeout, [this, batch] {
        Vm* sender = aliveProcess(batch.from, batch.senderIncarnation);
        if (!sender || *batch.completed)
            return;
        *batch.completed = true;
        sender->batchesInFlight.erase(vmId(batch.to));
    });
    afterOn(number, messageDelay(), [this, batch] { deliver(batch); });
}

void DispatchSimulation::deliver(const Batch& batch)
{
    Vm& receiver = *m_vms[static_cast<std::size_t>(batch.to)];
    if (!receiver.up || receiver.partitioned || m_vms[static_cast<std::size_t>(batch.from)]->partitioned)
        return;
    const VmId from = vmId(batch.from);
    if (isLost(m_requestsLostUntil, from, vmId(batch.to)))
        return;
    const PeerChannel::BatchResult batchResult = receiver.channel(from).onBatch(batch.stamp, batch.messages.size(), m_now);
    if (batchResult.peerRestarted)
        receiver.dispatcher.onPeerRestarted(from, m_now);
    for (const PeerMessage& message : batch.messages)
        noteMessage(batch, message);
    if (!batchResult.accepted && !batch.messages.empty())
        note(vmId(batch.to) + " rejects a batch of " + std::to_string(batch.messages.size()) + " from " + from);
    if (batchResult.accepted) {
        std::vector<PeerMessage> messages(batch.messages.begin() + static_cast<std::ptrdiff_t>(batchResult.duplicates), batch.messages.end());
        // Times are sent as the time that is left.
        for (PeerMessage& message : messages) {
            if (message.withdrawal && message.withdrawal->endBy)
                *message.withdrawal->endBy += m_now - batch.madeAt;
        }
        receiver.dispatcher.onPeerMessages(from, messages, batch.capacity, m_now, { batchResult.maxAge, batch.executorLag });
    }
    if (receiver.starvedUntil > m_now)
        return;
    const BatchReply reply { receiver.processIncarnation, PeerChannel::timestampAt(m_now), batchResult.accepted };
    afterOn(batch.from, messageDelay(), [this, batch, reply] { deliverReply(batch, reply); });
}

void DispatchSimulation::deliverReply(const Batch& batch, const BatchReply& reply)
{
    Vm* sender = aliveProcess(batch.from, batch.senderIncarnation);
    const VmId to = vmId(batch.to);
    if (!sender || *batch.completed || sender->partitioned || isLost(m_repliesLostUntil, to, vmId(batch.from)))
        return;
    *batch.completed = true;
    sender->batchesInFlight.erase(to);
    const PeerChannel::ReplyResult answered = sender->channel(to).onReply(batch.stamp, batch.messages.size(), reply);
    if (answered.peerRestarted)
        sender->dispatcher.onPeerRestarted(to, m_now);
    if (answered.accepted)
        sender->dispatcher.onPeerReply(to, reply.accepted, m_now);
    if (!sender->channel(to).isEmpty())
        flush(*sender, to);
}

void DispatchSimulation::updatePolledUpstreams(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    std::set<UpstreamId> owned;
    for (const UpstreamInfo& info : vm.dispatcher.ownedUpstreams()) {
        owned.insert(info.id);
        if (vm.polled.insert(info.id).second)
            pollLoop(number, vm.processIncarnation, info.id);
    }
    for (auto polled = vm.polled.begin(); polled != vm.polled.end();)
        polled = owned.count(*polled) > 0 ? std::next(polled) : vm.polled.erase(polled);
}

void DispatchSimulation::pollLoop(int number, std::uint64_t processIncarnation, const UpstreamId& id)
{
    Vm* vm = aliveProcess(number, processIncarnation);
    if (!vm || vm->polled.count(id) == 0)
        return;
    const std::optional<PollOrder> order = vm->dispatcher.nextPoll(id, m_now);
    if (!order)
        return;
    const bool waits = order->wait.count() > 0;
    sendPoll(number, *order, [this, number, processIncarnation, id, waits](bool answered) {
        const Milliseconds pause { answered && waits ? 0 : 35 };
        afterOn(number, pause, [this, number, processIncarnation, id] { pollLoop(number, processIncarnation, id); });
    });
}

void DispatchSimulation::queueOrder(int number, const UpstreamId& id, std::function<bool()> send)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    vm.orders.try_emplace(id, maxOrdersInFlight).first->second.add(std::move(send));
    afterOn(number, Milliseconds { 0 }, [this, number, id, processIncarnation = vm.processIncarnation] {
        if (aliveProcess(number, processIncarnation))
            sendQueuedOrders(number, id);
    });
}

void DispatchSimulation::sendQueuedOrders(int number, const UpstreamId& id)
{
    OrderQueue<std::function<bool()>>& orders = m_vms[static_cast<std::size_t>(number)]->orders.at(id);
    while (const std::optional<std::function<bool()>> send = orders.take()) {
        if (!(*send)())
            orders.onDone();
    }
}

void DispatchSimulation::onOrderDone(int number, const UpstreamId& id)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    const auto orders = vm.orders.find(id);
    if (orders == vm.orders.end())
        return;
    orders->second.onDone();
    sendQueuedOrders(number, id);
}

void DispatchSimulation::sendOrder(int number, const UpstreamId& id, Milliseconds process, const std::function<OrderReply(Upstream&)>& execute, const std::function<void(const OrderReply&)>& onOrderReply)
{
    const std::uint64_t processIncarnation = m_vms[static_cast<std::size_t>(number)]->processIncarnation;
    const auto respond = [this, number, processIncarnation, onOrderReply](const OrderReply& reply) {
        if (aliveProcess(number, processIncarnation))
            onOrderReply(reply);
    };
    const bool silent = upstream(id).silentUntil > m_now || isLost(m_requestsLostUntil, vmId(number), id);
    const bool late = chance(m_faults.lateOrderProbability);
    if (late || silent || chance(m_faults.lostOrderProbability)) {
        if (late && !silent)
            after(randomDuration(2'000, 6'000), [this, id, execute] {
                if (!connectionFailure(id))
                    execute(upstream(id));
            });
        afterOn(number, orderTimeout, [respond] { respond({}); });
        return;
    }
    const bool lost = chance(m_faults.lostReplyProbability) || isLost(m_repliesLostUntil, id, vmId(number));
    after(randomDuration(1, 5), [this, number, id, process, execute, respond, lost] {
        if (const std::optional<OrderReply> failure = connectionFailure(id)) {
            respond(*failure);
            return;
        }
        if (process.count() > 0 && upstream(id).info.startedAt != process) {
            respond({ OrderOutcome::WrongProcess, std::nullopt });
            return;
        }
        const OrderReply reply = execute(upstream(id));
        afterOn(number, lost ? orderTimeout : randomDuration(1, 5), [respond, reply, lost] { respond(lost ? OrderReply {} : reply); });
    });
}

void DispatchSimulation::sendPoll(int number, const PollOrder& order, const std::function<void(bool)>& done)
{
    const std::uint64_t processIncarnation = m_vms[static_cast<std::size_t>(number)]->processIncarnation;
    const TimePoint sentAt = m_now;
    const auto respond = [this, number, processIncarnation, order, sentAt, done](const PollReply& reply) {
        if (Vm* vm = aliveProcess(number, processIncarnation))
            vm->dispatcher.onPollReply(order, reply, sentAt, m_now);
        done(reply.outcome == OrderOutcome::Accepted);
    };
    const bool silent = upstream(order.upstream).silentUntil > m_now || isLost(m_requestsLostUntil, vmId(number), order.upstream);
    if (silent || chance(m_faults.lostOrderProbability)) {
        afterOn(number, order.wait + pollReplyTimeout, [respond] { respond(PollReply {}); });
        return;
    }
    const bool lost = chance(m_faults.lostReplyProbability) || isLost(m_repliesLostUntil, order.upstream, vmId(number));
    const TimePoint clockBegin = upstream(order.upstream).clockBegin;
    // A cut loses the polls that wait at the upstream.
    const auto loseInCut = [this, number, order, respond, clockBegin] {
        const Upstream& target = upstream(order.upstream);
        if (!target.restarting && target.clockBegin == clockBegin)
            return false;
        afterOn(number, pollReplyTimeout, [respond] { respond(PollReply {}); });
        return true;
    };
    const auto respondIfDown = [this, order, respond] {
        const std::optional<OrderReply> failure = connectionFailure(order.upstream);
        if (!failure)
            return false;
        PollReply reply;
        reply.outcome = failure->outcome;
        reply.failure = failure->failure;
        respond(reply);
        return true;
    };
    after(randomDuration(1, 5), [this, number, order, respond, respondIfDown, loseInCut, lost] {
        if (respondIfDown() || loseInCut())
            return;
        const PollReply firstReply = executePoll(upstream(order.upstream), order);
        const bool waits = order.wait.count() > 0 && firstReply.outcome == OrderOutcome::Accepted && firstReply.ended.empty();
        if (lost) {
            afterOn(number, order.wait + pollReplyTimeout, [respond] { respond(PollReply {}); });
            return;
        }
        if (!waits) {
            afterOn(number, randomDuration(1, 5), [respond, firstReply] { respond(firstReply); });
            return;
        }
        // The upstream replies when a run ends, or after the requested wait.
        const TimePoint end = m_now + order.wait;
        const std::shared_ptr<std::function<void()>> repeat = std::make_shared<std::function<void()>>();
        *repeat = [this, number, order, respond, respondIfDown, loseInCut, end, repeat] {
            if (respondIfDown() || loseInCut())
                return;
            PollOrder again = order;
            again.leaseEnd.reset();
            const PollReply reply = executePoll(upstream(order.upstream), again);
            if (m_now < end && reply.ended.empty() && reply.outcome == OrderOutcome::Accepted) {
                after(Milliseconds { 5 }, *repeat);
                return;
            }
            afterOn(number, randomDuration(1, 5), [respond, reply] { respond(reply); });
        };
        after(Milliseconds { 5 }, *repeat);
    });
}

void DispatchSimulation::endRun(Upstream& upstream, std::size_t index, RunOutcome outcome)
{
    const TaskRun run = upstream.running[index].run;
    note(run.task.job, upstream.info.id + " ends " + textOf(run) + ' ' + nameOf(outcome));
    upstream.running.erase(upstream.running.begin() + static_cast<std::ptrdiff_t>(index));
    upstream.ended.push_back({ ++upstream.endedCount, run, outcome });
    RunNumber& highestRun = upstream.highestEnded[run.task];
    highestRun = std::max(highestRun, run.number);
}

void DispatchSimulation::endDueRuns(Upstream& upstream)
{
    const UpstreamClock clock = clockOf(upstream);
    for (std::size_t index = upstream.running.size(); index > 0; --index) {
        if (upstream.running[index - 1].endsAt <= m_now)
            endRun(upstream, index - 1, RunOutcome::Done);
    }
    while (clock >= upstream.leaseEnd && !upstream.running.empty())
        endRun(upstream, 0, RunOutcome::LeaseExpired);
}

bool DispatchSimulation::isCrashing(const TaskRef& task) const { return std::stoi(task.job) < m_faults.crashingJobs && task.index == 0; }

void DispatchSimulation::countStartOfCrashingTask(const TaskRef& task)
{
    CrashingTask& counts = m_crashingTasks[task];
    if (counts.crashes >= 3 && ++counts.startsAfterThird == 3)
        m_result.excessStarts.push_back(task.job);
}

std::optional<OrderReply> DispatchSimulation::connectionFailure(const UpstreamId& id)
{
    const Upstream& target = upstream(id);
    if (target.down)
        return OrderReply { OrderOutcome::NotSent, std::nullopt, ConnectionFailure::Refused };
    if (target.info.id != id)
        return OrderReply { OrderOutcome::WrongUpstream, std::nullopt };
    return std::nullopt;
}

/// The upstream rejects connections for some seconds, and then returns under another id without its runs.
void DispatchSimulation::crashUpstream(Upstream& crashed)
{
    if (crashed.down)
        return;
    const bool isAccident = std::none_of(crashed.running.begin(), crashed.running.end(), [this](const Upstream::ActiveRun& running) { return isCrashing(running.run.task); });
    for (const Upstream::ActiveRun& running : crashed.running) {
        if (isAccident && ++m_accidents[running.run.task] == 2)
            m_unluckyJobs.insert(running.run.task.job);
        if (!isCrashing(running.run.task))
            continue;
        ++m_crashingTasks[running.run.task].crashes;
        ++m_result.crashesUnderTasks;
    }
    note(crashed.info.id + " crashes");
    crashed.down = true;
    crashed.running.clear();
    crashed.ended.clear();
    after(randomDuration(2'500, 3'500), [this, &crashed] {
        const UpstreamId formerId = crashed.info.id;
        crashed.formerIds.push_back(formerId);
        crashed.info.id = crashed.formerIds.front() + '-' + std::to_string(crashed.formerIds.size());
        crashed.info.startedAt = toMilliseconds(m_now.time_since_epoch());
        crashed.token = {};
        crashed.leaseEnd = UpstreamClock { 0 };
        crashed.highestEnded.clear();
        crashed.endedCount = 0;
        crashed.down = false;
        announceUpstream(crashed.info, formerId);
    });
}

/// The upstream is cut off, crashes and starts again under its id, without its runs and with a new clock.
void DispatchSimulation::restartBehindCut(Upstream& restarted)
{
    if (restarted.restarting || restarted.down)
        return;
    const Milliseconds cut = randomDuration(50, 2'000);
    restarted.restarting = true;
    restarted.silentUntil = m_now + cut;
    note(restarted.info.id + " is cut off for " + std::to_string(cut.count()) + " and then restarts");
    after(cut, [this, &restarted] {
        restarted.restarting = false;
        countAccidents(restarted);
        replaceProcess(restarted);
        describeToVms(restarted.info, usualDescriptionDelay);
    });
}

void DispatchSimulation::countAccidents(const Upstream& crashed)
{
    for (const Upstream::ActiveRun& running : crashed.running) {
        if (++m_accidents[running.run.task] == 2)
            m_unluckyJobs.insert(running.run.task.job);
    }
}

/// Begins another process of an upstream, which knows nothing of before.
void DispatchSimulation::replaceProcess(Upstream& restarted)
{
    restarted.running.clear();
    restarted.ended.clear();
    restarted.highestEnded.clear();
    restarted.endedCount = 0;
    restarted.token = {};
    restarted.leaseEnd = UpstreamClock { 0 };
    restarted.clockBegin = m_now;
    restarted.info.startedAt = toMilliseconds(m_now.time_since_epoch());
}

void DispatchSimulation::describeToVms(const UpstreamInfo& info, int maxDelay)
{
    for (int number = 0; number < vmCount; ++number) {
        after(randomDuration(10, maxDelay), [this, number, info] {
            if (m_vms[static_cast<std::size_t>(number)]->up)
                m_vms[static_cast<std::size_t>(number)]->dispatcher.setUpstream(info, m_now);
        });
    }
}

void DispatchSimulation::restartAsOtherKind(Upstream& restarted, bool behindCut)
{
    if (restarted.restarting || restarted.down)
        return;
    const Milliseconds away = randomDuration(50, maxTimeAway);
    // Behind a cut its runs may be considered lost before it crashes.
    countAccidents(restarted);
    if (behindCut) {
        restarted.restarting = true;
        restarted.silentUntil = m_now + away;
    } else {
        restarted.down = true;
        restarted.running.clear();
    }
    note(restarted.info.id + (behindCut ? " is cut off for " : " is down for ") + std::to_string(away.count()) + " and then of another kind");
    after(away, [this, &restarted] {
        restarted.restarting = false;
        restarted.down = false;
        replaceProcess(restarted);
        const bool wasKindA = restarted.info.kind == "a";
        restarted.info.kind = wasKindA ? "b" : "a";
        restarted.info.labels = { restarted.info.kind };
        restarted.info.capacity = wasKindA ? capacityOfKindB : capacityOfKindA;
        describeToVms(restarted.info, chance(lateDescriptionShare) ? maxDescriptionDelay : usualDescriptionDelay);
    });
}

/// Records a start that the present process of an upstream must not have got.
void DispatchSimulation::checkPlace(const Upstream& target, const TaskRun& run)
{
    const auto report = [this, &target, &run](const std::string& fault) {
        m_result.misplacedRuns.push_back(textOf(run) + " on " + target.info.id + ' ' + fault);
    };
    const std::string label = requiredLabel(run.task.job);
    if (!label.empty() && target.info.kind != label)
        report("without label " + label);
    if (static_cast<std::int64_t>(target.running.size() + 1) * milliCoresOfTask > target.info.capacity.milliCores)
        report("beyond its capacity");
    const std::uint32_t most = maxPerUpstream(run.task.job);
    const auto isOfStep = [&run](const Upstream::ActiveRun& running) { return running.run.task.job == run.task.job && running.run.task.step == run.task.step; };
    if (most > 0 && std::count_if(target.running.begin(), target.running.end(), isOfStep) >= static_cast<std::ptrdiff_t>(most))
        report("beside another task of its step");
}

/// Cuts off the upstream that a VM fills first, and submits a job to that VM before it can have noticed.
void DispatchSimulation::cutOffBeforeJob(int number)
{
    const int vm = number % vmCount;
    if (!m_vms[static_cast<std::size_t>(vm)]->up)
        return;
    const std::vector<UpstreamInfo> owned = m_vms[static_cast<std::size_t>(vm)]->dispatcher.ownedUpstreams();
    if (owned.empty())
        return;
    restartBehindCut(upstream(owned.front().id));
    after(randomDuration(1, 30), [this, number, vm] { submitJob(number, vm); });
}

UpstreamClock DispatchSimulation::clockOf(const Upstream& target) const
{
    const Milliseconds time = toMilliseconds(m_now - target.clockBegin);
    return m_faults.slowClocks ? Milliseconds { static_cast<std::int64_t>(static_cast<double>(time.count()) * target.clockRate) } : time;
}

/// Discovery lists a new incarnation at once, and stops listing the former one after some time.
void DispatchSimulation::announceUpstream(const UpstreamInfo& info, const UpstreamId& formerId)
{
    for (int number = 0; number < vmCount; ++number) {
        after(randomDuration(10, 500), [this, number, info] {
            if (m_vms[static_cast<std::size_t>(number)]->up)
                m_vms[static_cast<std::size_t>(number)]->dispatcher.setUpstream(info, m_now);
        });
        after(randomDuration(800, 2'000), [this, number, formerId] {
            if (m_vms[static_cast<std::size_t>(number)]->up)
                m_vms[static_cast<std::size_t>(number)]->dispatcher.onUpstreamUnlisted(formerId, m_now);
        });
    }
}

OrderReply DispatchSimulation::executeStart(Upstream& target, const StartOrder& order)
{
    const UpstreamClock clock = clockOf(target);
    endDueRuns(target);
    if (m_rules.fencing && order.token < target.token)
        return { OrderOutcome::Fenced, clock };
    target.token = std::max(target.token, order.token);
    const auto highestRun = target.highestEnded.find(order.run.task);
    if (highestRun != target.highestEnded.end() && order.run.number <= highestRun->second)
        return { OrderOutcome::Superseded, clock };
    if (order.leaseEnd <= clock)
        return { OrderOutcome::LeaseExpired, clock };
    target.leaseEnd = std::max(target.leaseEnd, std::min(order.leaseEnd, clock + maxLease));
    const bool alreadyRunning = std::any_of(target.running.begin(), target.running.end(), [&order](const Upstream::ActiveRun& running) { return running.run == order.run; });
    if (alreadyRunning)
        return { OrderOutcome::Accepted, clock };
    if (m_faults.changesKinds())
        checkPlace(target, order.run);
    else if (target.running.size() >= (m_faults.restartsBehindCuts > 0 ? slotsForSmallTasks : slotsPerUpstream))
        return { OrderOutcome::InsufficientCapacity, clock };
    for (const auto& entry : m_upstreams) {
        endDueRuns(*entry);
        for (const Upstream::ActiveRun& running : entry->running) {
            if (running.run.task == order.run.task)
                m_result.concurrentRuns.push_back(order.run.task.job + '.' + std::to_string(order.run.task.index) + " run " + std::to_string(running.run.number) + " on " + entry->info.id + " and run " + std::to_string(order.run.number) + " on " + target.info.id);
        }
    }
    ++m_result.started;
    m_startedJobs.insert(order.run.task.job);
    const bool isLong = m_faults.longTaskProbability > 0 && chance(m_faults.longTaskProbability);
    const int factor = m_faults.hotRack && target.info.rack != hotRack ? hotRackFactor : 1;
    target.running.push_back({ order.run, m_now + factor * (isLong ? randomDuration(2'000, 5'000) : randomDuration(30, 400)) });
    if (isCrashing(order.run.task)) {
        countStartOfCrashingTask(order.run.task);
        after(timeToCrash, [this, &target, run = order.run] {
            const auto isRun = [&run](const Upstream::ActiveRun& running) { return running.run == run; };
            if (std::any_of(target.running.begin(), target.running.end(), isRun))
                crashUpstream(target);
        });
    }
    return { OrderOutcome::Accepted, clock };
}

OrderReply DispatchSimulation::executeStop(Upstream& target, const StopOrder& order)
{
    const UpstreamClock clock = clockOf(target);
    endDueRuns(target);
    if (m_rules.fencing && order.token < target.token)
        return { OrderOutcome::Fenced, clock };
    target.token = std::max(target.token, order.token);
    for (std::size_t index = 0; index < target.running.size(); ++index) {
        if (target.running[index].run == order.run) {
            endRun(target, index, RunOutcome::Stopped);
            break;
        }
    }
    RunNumber& highestRun = target.highestEnded[order.run.task];
    highestRun = std::max(highestRun, order.run.number);
    return { OrderOutcome::Accepted, clock };
}

PollReply DispatchSimulation::executePoll(Upstream& target, const PollOrder& order)
{
    const UpstreamClock clock = clockOf(target);
    endDueRuns(target);
    PollReply reply;
    reply.clock = clock;
    reply.startedAt = target.info.startedAt;
    if (m_rules.fencing && order.token < target.token) {
        reply.outcome = OrderOutcome::Fenced;
        return reply;
    }
    target.token = std::max(target.token, order.token);
    reply.outcome = OrderOutcome::Accepted;
    if (order.leaseEnd)
        target.leaseEnd = std::max(target.leaseEnd, std::min(*order.leaseEnd, clock + maxLease));
    if (m_traceOutput && order.leaseEnd) {
        for (const Upstream::ActiveRun& running : target.running)
            noteOrder(target, "lease", running.run, order.token, { OrderOutcome::Accepted, clock });
    }
    target.ended.erase(std::remove_if(target.ended.begin(), target.ended.end(), [&order](const RunEndRecord& end) { return end.sequenceNumber <= order.acknowledged; }), target.ended.end());
    for (const Upstream::ActiveRun& running : target.running)
        reply.running.push_back(running.run);
    reply.ended = target.ended;
    return reply;
}

void DispatchSimulation::submitJob(int number, int vm)
{
    const std::string id = std::to_string(number);
    if (m_answeredJobs.count(id) > 0)
        return;
    Vm& target = *m_vms[static_cast<std::size_t>(vm)];
    // The load balancer sends no new connections to a VM that is about to end.
    const bool takesConnections = target.up && !(target.endsSince && m_now - *target.endsSince > balancerDetectionTime);
    if (!takesConnections) {
        after(randomDuration(50, 200), [this, number, vm] { submitJob(number, (vm + 1) % vmCount); });
        return;
    }
    if (m_faults.callersLeave()) {
        // A caller submits a job again only after its earlier submission was answered, or it has stopped waiting for it.
        if (std::any_of(m_submissionsInProgress.begin(), m_submissionsInProgress.end(), [&id](const auto& earlier) { return earlier->job == id && !earlier->answered && !earlier->left; }))
            throw std::logic_error("job " + id + " is submitted while an earlier submission of it is waited for");
        const std::shared_ptr<Submission> submission = std::make_shared<Submission>(Submission { id, vm });
        m_submissionsInProgress.push_back(submission);
        ++m_submissions[id];
        note(id, "job " + id + " is submitted to " + vmId(vm));
        afterOn(vm, randomDuration(0, 2), [this, submission] { receiveSubmission(submission); });
        after(callerTimeout(), [this, submission] { leave(submission, false); });
        if (m_faults.brokenConnectionProbability > 0 && chance(m_faults.brokenConnectionProbability))
            after(randomDuration(1, static_cast<int>(callerTimeout().count()) - 1), [this, submission] { leave(submission, true); });
        return;
    }
    const CallerTicket ticket = ++target.lastTicket;
    target.tickets[ticket] = id;
    ++m_submissions[id];
    note(id, "job " + id + " is submitted to " + vmId(vm));
    target.dispatcher.submit(ticket, jobFor(id), proofRoute(), m_now, m_now);
}

Milliseconds DispatchSimulation::callerTimeout() const
{
    if (m_faults.brokenConnectionProbability > 0)
        return longCallerTimeout;
    return m_faults.callersLeave() ? shortCallerTimeout : Milliseconds { 3'000 };
}

std::string DispatchSimulation::requiredLabel(const std::string& job) const
{
    return m_faults.changesKinds() && std::stoi(job) % 2 == 0 ? "a" : std::string();
}

std::uint32_t DispatchSimulation::maxPerUpstream(const std::string& job) const
{
    return m_faults.changesKinds() && std::stoi(job) % 3 == 0 ? 1 : 0;
}

DispatchJob DispatchSimulation::jobFor(const std::string& id)
{
    DispatchJob job;
    job.id = id;
    job.callerTimeout = callerTimeout();
    if (m_faults.crashingJobs > 0) {
        const TimePoint deadline = m_callerDeadlines.emplace(id, m_now + callerTimeoutWithCrashes).first->second;
        job.callerTimeout = toMilliseconds(deadline - m_now);
    }
    JobStep step;
    step.count = static_cast<std::uint32_t>(1 + std::stoi(id) % 4);
    step.need = { milliCoresOfTask, 64, 0 };
    step.requiredLabel = requiredLabel(id);
    step.maxPerUpstream = maxPerUpstream(id);
    if (m_faults.restartsBehindCuts > 0) {
        step.count *= taskFactorOfLargeJobs;
        step.need.milliCores = 1'600;
    }
    step.estimate = Milliseconds { 200 };
    if (m_faults.hotRack)
        step.dataRack = hotRack;
    job.steps.push_back(step);
    return job;
}

/// The VM reads a request.
void DispatchSimulation::receiveSubmission(const std::shared_ptr<Submission>& submission)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(submission->vm)];
    // A request to a process that has crashed does not reach the next one.
    if (!vm.up || submission->answered || (submission->disconnected && m_rules.pauseCheck))
        return;
    submission->processIncarnation = vm.processIncarnation;
    submission->ticket = ++vm.lastTicket;
    vm.tickets[submission->ticket] = submission->job;
    const TimePoint arrivedAfter = m_rules.requestAge ? inputHandledUntil(submission->vm) : m_now;
    vm.dispatcher.submit(submission->ticket, jobFor(submission->job), proofRoute(), arrivedAfter, m_now);
    // Without the check the disconnection is noticed after the request has been handled.
    if (submission->disconnected)
        vm.dispatcher.onCallerDisconnected(submission->ticket, m_now);
}

void DispatchSimulation::disconnect(const std::shared_ptr<Submission>& submission)
{
    submission->disconnected = true;
    afterOn(submission->vm, Milliseconds { 1 }, [this, submission] {
        Vm& vm = *m_vms[static_cast<std::size_t>(submission->vm)];
        if (vm.up && vm.processIncarnation == submission->processIncarnation)
            vm.dispatcher.onCallerDisconnected(submission->ticket, m_now);
    });
}

/// A caller without a reply whose time is over, or whose connection has broken, submits its job to another VM. It closes its
/// connection at once, or only then.
void DispatchSimulation::leave(const std::shared_ptr<Submission>& submission, bool connectionBroken)
{
    const auto found = std::find(m_submissionsInProgress.begin(), m_submissionsInProgress.end(), submission);
    if (submission->left || found == m_submissionsInProgress.end())
        return;
    m_submissionsInProgress.erase(found);
    if (submission->answered)
        return;
    submission->left = true;
    note(submission->job, "the caller of job " + submission->job + " at " + vmId(submission->vm) + (connectionBroken ? " loses its connection" : " leaves"));
    m_submissionsInProgress.push_back(submission);
    if (m_faults.stallSeries > 0 && !connectionBroken && chance(lingeringCallerShare))
        after(resubmissionDelay, [this, submission] { disconnect(submission); });
    else
        disconnect(submission);
    if (m_submissions[submission->job] < maxSubmissionsOfJob)
        after(resubmissionDelay, [this, submission] { submitJob(std::stoi(submission->job), (submission->vm + 1) % vmCount); });
}

void DispatchSimulation::onReply(int number, CallerTicket ticket, const JobResult& result)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    const std::string job = vm.tickets[ticket];
    vm.tickets.erase(ticket);
    note(job, vmId(number) + " answers job " + job + ": " + result.reason);
    for (const std::shared_ptr<Submission>& submission : m_submissionsInProgress) {
        if (submission->vm != number || submission->processIncarnation != vm.processIncarnation || submission->ticket != ticket)
            continue;
        if (submission->left)
            return;
        submission->answered = true;
        if (result.outcome == JobOutcome::GaveUp && m_submissions[job] < maxSubmissionsOfJob) {
            after(resubmissionDelay, [this, job, number] { submitJob(std::stoi(job), (number + 1) % vmCount); });
            return;
        }
    }
    const auto callerDeadline = m_callerDeadlines.find(job);
    const bool submitsAgain = result.outcome == JobOutcome::GaveUp && callerDeadline != m_callerDeadlines.end() && m_now + resubmissionDelay < callerDeadline->second;
    if (submitsAgain) {
        after(resubmissionDelay, [this, job, number] { submitJob(std::stoi(job), (number + 1) % vmCount); });
        return;
    }
    m_answeredJobs.insert(job);
    switch (result.outcome) {
    case JobOutcome::Failed:
        if (std::stoi(job) < m_faults.crashingJobs)
            ++m_result.crashingJobsFailed;
        else if (m_unluckyJobs.count(job) == 0)
            m_result.falseFailures.push_back(job);
        return;
    case JobOutcome::Refused:
        ++m_result.refused;
        // A resubmitted job may have been started by the VM that crashed, so only jobs submitted once are checked.
        if (m_submissions[job] == 1 && m_startedJobs.count(job) > 0)
            m_result.falseRefusals.push_back(job);
        return;
    case JobOutcome::GaveUp:
        ++m_result.gaveUp;
        return;
    default:
        ++m_result.succeeded;
        return;
    }
}

DispatchResult DispatchSimulation::run()
{
    const bool largeJobs = m_faults.restartsBehindCuts > 0;
    const int upstreams = largeJobs ? upstreamCountForLargeJobs : upstreamCount;
    const int jobs = largeJobs ? largeJobCount : jobCount;
    for (int number = 0; number < upstreams; ++number) {
        m_upstreams.push_back(std::make_unique<Upstream>());
        UpstreamInfo& info = m_upstreams.back()->info;
        info.id = "u" + std::to_string(number);
        info.startedAt = Milliseconds { 1 };
        info.service = "print";
        info.dataCentre = "dc1";
        info.capacity = capacityOfKindA;
        info.kind = "a";
        if (m_faults.changesKinds()) {
            info.kind = number % 2 == 0 ? "a" : "b";
            info.labels = { info.kind };
            info.capacity = number % 2 == 0 ? capacityOfKindA : capacityOfKindB;
        }
        if (m_faults.slowClocks)
            m_upstreams.back()->clockRate = std::uniform_real_distribution<double>(slowestClockRate, 1)(m_random);
        if (m_faults.hotRack)
            info.rack = number % 2 == 0 ? hotRack : "r2";
    }
    m_vms.resize(vmCount);
    for (int number = 0; number < vmCount; ++number)
        startVm(number);
    for (int number = 0; number < jobs; ++number)
        after(randomDuration(1'000, 10'000), [this, number] { submitJob(number, number % vmCount); });
    for (int crash = 0; crash < m_faults.crashes; ++crash)
        after(randomDuration(1'500, 10'000), [this] { crashVm(static_cast<int>(randomDuration(0, vmCount - 1).count())); });
    for (int partition = 0; partition < m_faults.partitions; ++partition)
        after(randomDuration(1'500, 9'000), [this] { partitionVm(static_cast<int>(randomDuration(0, vmCount - 1).count())); });
    for (int starvation = 0; starvation < m_faults.cpuStarvations; ++starvation)
        after(randomDuration(1'500, 9'000), [this] { starveVm(static_cast<int>(randomDuration(0, vmCount - 1).count())); });
    for (int freeze = 0; freeze < m_faults.freezes; ++freeze)
        after(randomDuration(1'500, 9'000), [this] { freezeVm(static_cast<int>(randomDuration(0, vmCount - 1).count())); });
    for (int period = 0; period < m_faults.lagPeriods; ++period)
        after(randomDuration(1'500, 9'000), [this] { lagVm(static_cast<int>(randomDuration(0, vmCount - 1).count())); });
    for (int series = 0; series < m_faults.stallSeries; ++series) {
        after(randomDuration(1'500, 9'000), [this] {
            const int number = static_cast<int>(randomDuration(0, vmCount - 1).count());
            stallInSeries(number, static_cast<int>(randomDuration(2, maxStallsOfSeries).count()));
        });
    }
    for (int period = 0; period < m_faults.lateStopPeriods; ++period) {
        after(randomDuration(1'500, 10'000), [this, upstreams] {
            Upstream& late = *m_upstreams[static_cast<std::size_t>(randomDuration(0, upstreams - 1).count())];
            late.lateStopsUntil = m_now + lateStopPeriod;
            note(late.info.id + " executes stops late");
        });
    }
    for (int series = 0; series < m_faults.plannedLeaves; ++series) {
        after(randomDuration(1'000, 6'000), [this] {
            std::vector<int> numbers;
            for (int number = 0; number < vmCount; ++number)
                numbers.push_back(number);
            std::shuffle(numbers.begin(), numbers.end(), m_random);
            endInTurn(numbers);
        });
    }
    for (int cut = 0; cut < m_faults.pairCuts; ++cut)
        after(randomDuration(1'500, 9'000), [this] { cutPair(); });
    for (int cut = 0; cut < m_faults.upstreamCuts; ++cut)
        after(randomDuration(1'500, 9'000), [this] { cutFromUpstreams(); });
    for (int outage = 0; outage < m_faults.fullOutages; ++outage) {
        after(randomDuration(2'000, 9'000), [this] {
            for (int number = 0; number < vmCount; ++number)
                after(randomDuration(0, 50), [this, number] { crashVm(number); });
        });
    }
    for (int crash = 0; crash < m_faults.upstreamCrashes; ++crash)
        after(randomDuration(1'500, 10'000), [this, upstreams] { crashUpstream(*m_upstreams[static_cast<std::size_t>(randomDuration(0, upstreams - 1).count())]); });
    for (int restart = 0; restart < m_faults.restartsBehindCuts; ++restart)
        after(randomDuration(1'500, 10'000), [this, number = jobs + restart] { cutOffBeforeJob(number); });
    const auto restartAsOtherKinds = [this, upstreams](int restarts, bool behindCut) {
        for (int restart = 0; restart < restarts; ++restart)
            after(randomDuration(1'500, 10'000), [this, upstreams, behindCut] { restartAsOtherKind(*m_upstreams[static_cast<std::size_t>(randomDuration(0, upstreams - 1).count())], behindCut); });
    };
    restartAsOtherKinds(m_faults.otherKinds, false);
    restartAsOtherKinds(m_faults.otherKindsBehindCuts, true);
    for (int period = 0; period < m_faults.silentPeriods; ++period) {
        after(randomDuration(1'500, 10'000), [this, upstreams] {
            Upstream& silent = *m_upstreams[static_cast<std::size_t>(randomDuration(0, upstreams - 1).count())];
            const Milliseconds duration = randomDuration(200, 2'000);
            silent.silentUntil = m_now + duration;
            note(silent.info.id + " is silent for " + std::to_string(duration.count()));
        });
    }
    const TimePoint end = m_now + simulatedTime;
    while (!m_scheduled.empty() && m_scheduled.top().at < end) {
        Scheduled next = m_scheduled.top();
        m_scheduled.pop();
        execute(std::move(next));
    }
    return m_result;
}

} // namespace egrettrestle::model
