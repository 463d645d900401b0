#include "dispatch_simulation.hpp"

#include <algorithm>

namespace egrettrestle::model {

namespace {

    constexpr int vmCount = 3;
    constexpr int upstreamCount = 5;
    constexpr int jobCount = 60;
    constexpr Seconds worldLength { 14 };
    constexpr Milliseconds tickInterval { 20 };
    constexpr Milliseconds orderTimeout { 120 };
    constexpr Milliseconds lookSlack { 160 };
    constexpr Milliseconds longestLease { 1'000 };
    constexpr Milliseconds resendAfter { 1'300 };
    constexpr Milliseconds longestViewDelay { 300 };
    // How long a VM waits for the reply to a batch.
    constexpr Milliseconds peerTimeout { 350 };
    constexpr Seconds unlimited { 1'000 };
    // How many of its ticks a strained VM gets to.
    constexpr double strainedTickShare = 0.02;
    constexpr std::size_t places = 2;

    VmId vmId(int number) { return "vm" + std::to_string(number); }

}

struct DispatchSimulation::Upstream {
    struct Running {
        TaskRun run;
        TimePoint doneAt;
    };

    UpstreamInfo info;
    FencingToken token;
    UpstreamClock leaseEnd { 0 };
    std::vector<Running> running;
    std::vector<RunEndRecord> ended;
    std::map<TaskRef, RunNumber> highestEnded;
    std::uint64_t ends = 0;
    TimePoint silentUntil;
};

struct DispatchSimulation::Vm : DispatcherPort {
    Vm(DispatchSimulation& owner, int vmNumber, std::uint64_t vmLife)
        : world(owner)
        , number(vmNumber)
        , life(vmLife)
        , dispatcher(*this, vmId(vmNumber), owner.limits())
    {
    }

    PeerChannel& channel(const VmId& vm)
    {
        return channels.try_emplace(vm, life, ChannelLimits { world.m_rules.messageAge ? DispatcherLimits {}.maxMessageAge : unlimited }).first->second;
    }

    void start(const StartOrder& order) override
    {
        world.sendOrder(
            number, order.upstream, [this, order](Upstream& upstream) { return world.startAt(upstream, order); },
            [this, order](const OrderReply& reply) { dispatcher.onStartReply(order, reply, world.m_now); });
    }

    void stop(const StopOrder& order) override
    {
        world.sendOrder(
            number, order.upstream, [this, order](Upstream& upstream) { return world.stopAt(upstream, order); },
            [this, order](const OrderReply& reply) { dispatcher.onStopReply(order, reply, world.m_now); });
    }

    void pollNow(const UpstreamId& upstream) override
    {
        const std::uint64_t mine = life;
        world.after(Milliseconds { 0 }, [this, mine, upstream] {
            if (Vm* vm = world.alive(number, mine)) {
                if (std::optional<PollOrder> order = vm->dispatcher.nextPoll(upstream, world.m_now)) {
                    order->wait = Milliseconds { 0 };
                    world.sendLook(number, *order, [](bool) {});
                }
            }
        });
    }

    void send(const VmId& vm, PeerMessage message) override
    {
        channel(vm).send(std::move(message));
        const std::uint64_t mine = life;
        world.after(Milliseconds { 0 }, [this, mine, vm] {
            if (Vm* sender = world.alive(number, mine))
                world.flush(*sender, vm);
        });
    }

    void reply(CallerTicket ticket, const JobResult& answer) override { world.onReply(number, ticket, answer); }
    void recordEvent(const OwnerEvent&) override { }
    void note(const JobEvent&) override { }
    void onOwnedUpstreamsChanged() override
    {
        const std::uint64_t mine = life;
        world.after(Milliseconds { 0 }, [this, mine] {
            if (world.alive(number, mine))
                world.followOwned(number);
        });
    }
    void onPeerLost(const VmId& vm) override { channel(vm).discardPending(); }

    DispatchSimulation& world;
    int number;
    std::uint64_t life;
    Dispatcher dispatcher;
    bool up = true;
    bool cut = false;
    TimePoint strainedUntil;
    Epoch epoch;
    std::map<VmId, PeerChannel> channels;
    /// VMs that a batch is on its way to.
    std::set<VmId> awaited;
    std::set<UpstreamId> looked;
    std::map<CallerTicket, std::string> tickets;
    CallerTicket lastTicket = 0;
};

/// A batch on its way from one VM to another.
struct DispatchSimulation::Batch {
    int from;
    std::uint64_t fromLife;
    int to;
    BatchHeader stamp;
    std::vector<PeerMessage> messages;
    CapacityReport room;
    /// Whether the sender has its reply or waits no longer.
    std::shared_ptr<bool> over = std::make_shared<bool>(false);
};

DispatchSimulation::DispatchSimulation(std::uint64_t seed, DispatchFaults faults, DispatchRules rules)
    : m_random(seed)
    , m_faults(faults)
    , m_rules(rules)
{
}

DispatcherLimits DispatchSimulation::limits() const
{
    DispatcherLimits limits;
    limits.owner.leaseDuration = Milliseconds { 600 };
    if (!m_rules.leaseWait)
        limits.owner.leaseExpiryMargin = -limits.owner.leaseDuration;
    if (!m_rules.orphanWait)
        limits.executor.orphanedRunTimeout = Milliseconds { 0 };
    return limits;
}

DispatchSimulation::~DispatchSimulation() = default;

void DispatchSimulation::after(Milliseconds delay, Action action)
{
    m_events.push({ m_now + delay, ++m_order, std::move(action) });
}

Milliseconds DispatchSimulation::between(int least, int most)
{
    return Milliseconds { std::uniform_int_distribution<int>(least, most)(m_random) };
}

bool DispatchSimulation::chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

DispatchSimulation::Vm* DispatchSimulation::alive(int number, std::uint64_t life)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    return vm.up && vm.life == life ? &vm : nullptr;
}

DispatchSimulation::Upstream& DispatchSimulation::upstream(const UpstreamId& id)
{
    return **std::find_if(m_upstreams.begin(), m_upstreams.end(), [&id](const auto& entry) { return entry->info.id == id; });
}

void DispatchSimulation::startVm(int number)
{
    const std::uint64_t life = m_vms[static_cast<std::size_t>(number)] ? m_vms[static_cast<std::size_t>(number)]->life + 1 : 1;
    // Events on their way still refer to the earlier life.
    m_ended.push_back(std::move(m_vms[static_cast<std::size_t>(number)]));
    m_vms[static_cast<std::size_t>(number)] = std::make_unique<Vm>(*this, number, life);
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    for (const auto& entry : m_upstreams)
        vm.dispatcher.setUpstream(entry->info, m_now);
    View next = withJoined(m_view, vmId(number), "p", "c");
    next.past.clear();
    for (Member& member : next.members)
        member.dataCentre = "dc1";
    publishView(next);
    const std::shared_ptr<std::function<void()>> tick = std::make_shared<std::function<void()>>();
    *tick = [this, number, life, tick] {
        Vm* present = alive(number, life);
        if (!present)
            return;
        const bool strained = present->strainedUntil > m_now;
        if (!strained || chance(strainedTickShare))
            present->dispatcher.tick(m_now);
        for (int other = 0; other < vmCount; ++other) {
            if (other != number)
                flush(*present, vmId(other));
        }
        after(tickInterval, *tick);
    };
    after(between(0, 20), *tick);
}

void DispatchSimulation::killVm(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    if (!vm.up)
        return;
    vm.up = false;
    for (const auto& ticket : vm.tickets)
        after(resendAfter, [this, job = ticket.second, number] { submitJob(std::stoi(job), (number + 1) % vmCount); });
    vm.tickets.clear();
    after(between(300, 1'500), [this, number] {
        if (m_vms[static_cast<std::size_t>(number)]->up)
            return;
        const Member* member = findMember(m_view, vmId(number));
        if (!member)
            return;
        View next = withRemoved(m_view, member->incarnation);
        next.past.clear();
        publishView(next);
    });
    after(between(100, 2'500), [this, number] {
        if (!m_vms[static_cast<std::size_t>(number)]->up)
            startVm(number);
    });
}

void DispatchSimulation::cutVm(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    if (!vm.up)
        return;
    vm.cut = true;
    const std::uint64_t life = vm.life;
    after(between(700, 1'500), [this, number, life] {
        const Member* member = findMember(m_view, vmId(number));
        Vm* cut = alive(number, life);
        if (!cut || !cut->cut || !member)
            return;
        View next = withRemoved(m_view, member->incarnation);
        next.past.clear();
        publishView(next);
    });
    after(between(1'000, 4'000), [this, number, life] {
        Vm* healed = alive(number, life);
        if (!healed)
            return;
        healed->cut = false;
        const View view = m_view;
        after(between(1, static_cast<int>(longestViewDelay.count())), [this, number, life, view] {
            Vm* present = alive(number, life);
            if (!present || present->cut)
                return;
            if (view.epoch > present->epoch) {
                present->epoch = view.epoch;
                present->dispatcher.setView(view, m_now);
            }
            if (findMember(m_view, vmId(number)))
                return;
            View next = withJoined(m_view, vmId(number), "p", "c");
            next.past.clear();
            for (Member& member : next.members)
                member.dataCentre = "dc1";
            publishView(next);
        });
    });
}

void DispatchSimulation::strainVm(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    if (vm.up)
        vm.strainedUntil = m_now + between(1'000, 4'000);
}

void DispatchSimulation::publishView(const View& view)
{
    m_view = view;
    for (int number = 0; number < vmCount; ++number) {
        if (!m_vms[static_cast<std::size_t>(number)])
            continue;
        const std::uint64_t life = m_vms[static_cast<std::size_t>(number)]->life;
        after(between(1, static_cast<int>(longestViewDelay.count())), [this, number, life, view] {
            Vm* vm = alive(number, life);
            if (!vm || vm->cut || view.epoch <= vm->epoch)
                return;
            vm->epoch = view.epoch;
            vm->dispatcher.setView(view, m_now);
        });
    }
}

Milliseconds DispatchSimulation::transit()
{
    return chance(m_faults.slowMessage) ? between(5, 900) : between(0, 2);
}

/// Sends everything that waits for a VM, unless a batch is on its way there.
void DispatchSimulation::flush(Vm& from, const VmId& to)
{
    const int number = to.back() - '0';
    if (!m_vms[static_cast<std::size_t>(number)] || !from.awaited.insert(to).second)
        return;
    CapacityReport room = from.dispatcher.capacityReport(m_now);
    room.requestsReceived = from.dispatcher.requestsReceived(to);
    const PeerChannel& channel = from.channel(to);
    const Batch batch { from.number, from.life, number, channel.batchHeader(), channel.pendingMessages(), room };
    after(peerTimeout, [this, batch] {
        Vm* sender = alive(batch.from, batch.fromLife);
        if (!sender || *batch.over)
            return;
        *batch.over = true;
        sender->awaited.erase(vmId(batch.to));
    });
    after(transit(), [this, batch] { deliver(batch); });
}

void DispatchSimulation::deliver(const Batch& batch)
{
    Vm& receiver = *m_vms[static_cast<std::size_t>(batch.to)];
    if (!receiver.up || receiver.cut || m_vms[static_cast<std::size_t>(batch.from)]->cut)
        return;
    const VmId from = vmId(batch.from);
    const PeerChannel::BatchResult taken = receiver.channel(from).onBatch(batch.stamp, batch.messages.size(), m_now);
    if (taken.peerRestarted)
        receiver.dispatcher.onPeerRestarted(from, m_now);
    if (taken.accepted)
        receiver.dispatcher.onPeerMessages(from, { batch.messages.begin() + static_cast<std::ptrdiff_t>(taken.duplicates), batch.messages.end() }, batch.room, m_now);
    if (receiver.strainedUntil > m_now)
        return;
    const BatchReply reply { receiver.life, PeerChannel::timestampAt(m_now), taken.accepted };
    after(transit(), [this, batch, reply] { answer(batch, reply); });
}

void DispatchSimulation::answer(const Batch& batch, const BatchReply& reply)
{
    Vm* sender = alive(batch.from, batch.fromLife);
    if (!sender || *batch.over || sender->cut)
        return;
    *batch.over = true;
    const VmId to = vmId(batch.to);
    sender->awaited.erase(to);
    const PeerChannel::ReplyResult answered = sender->channel(to).onReply(batch.stamp, batch.messages.size(), reply);
    if (answered.peerRestarted)
        sender->dispatcher.onPeerRestarted(to, m_now);
    if (answered.accepted)
        sender->dispatcher.onPeerReply(to, reply.accepted, m_now);
    if (!sender->channel(to).isEmpty())
        flush(*sender, to);
}

void DispatchSimulation::followOwned(int number)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    std::set<UpstreamId> owned;
    for (const UpstreamInfo& info : vm.dispatcher.ownedUpstreams()) {
        owned.insert(info.id);
        if (vm.looked.insert(info.id).second)
            lookLoop(number, vm.life, info.id);
    }
    for (auto looked = vm.looked.begin(); looked != vm.looked.end();)
        looked = owned.count(*looked) > 0 ? std::next(looked) : vm.looked.erase(looked);
}

void DispatchSimulation::lookLoop(int number, std::uint64_t life, const UpstreamId& id)
{
    Vm* vm = alive(number, life);
    if (!vm || vm->looked.count(id) == 0)
        return;
    const std::optional<PollOrder> order = vm->dispatcher.nextPoll(id, m_now);
    if (!order)
        return;
    const bool waits = order->wait.count() > 0;
    sendLook(number, *order, [this, number, life, id, waits](bool answered) {
        const Milliseconds pause { answered && waits ? 0 : 35 };
        after(pause, [this, number, life, id] { lookLoop(number, life, id); });
    });
}

void DispatchSimulation::sendOrder(int number, const UpstreamId& id, const std::function<OrderReply(Upstream&)>& execute, const std::function<void(const OrderReply&)>& onOrderReply)
{
    const std::uint64_t life = m_vms[static_cast<std::size_t>(number)]->life;
    const auto answer = [this, number, life, onOrderReply](const OrderReply& reply) {
        if (alive(number, life))
            onOrderReply(reply);
    };
    const bool silent = upstream(id).silentUntil > m_now;
    const bool late = chance(m_faults.lateOrder);
    if (late || silent || chance(m_faults.lostOrder)) {
        if (late && !silent)
            after(between(2'000, 6'000), [this, id, execute] { execute(upstream(id)); });
        after(orderTimeout, [answer] { answer({}); });
        return;
    }
    const bool lost = chance(m_faults.lostReply);
    after(between(1, 5), [this, id, execute, answer, lost] {
        const OrderReply reply = execute(upstream(id));
        after(lost ? orderTimeout : between(1, 5), [answer, reply, lost] { answer(lost ? OrderReply {} : reply); });
    });
}

void DispatchSimulation::sendLook(int number, const PollOrder& order, const std::function<void(bool)>& done)
{
    const std::uint64_t life = m_vms[static_cast<std::size_t>(number)]->life;
    const TimePoint sentAt = m_now;
    const auto answer = [this, number, life, order, sentAt, done](const PollReply& reply) {
        if (Vm* vm = alive(number, life))
            vm->dispatcher.onPollReply(order, reply, sentAt, m_now);
        done(reply.outcome == OrderOutcome::Accepted);
    };
    const bool silent = upstream(order.upstream).silentUntil > m_now;
    if (silent || chance(m_faults.lostOrder)) {
        after(order.wait + lookSlack, [answer] { answer(PollReply {}); });
        return;
    }
    const bool lost = chance(m_faults.lostReply);
    after(between(1, 5), [this, order, answer, lost] {
        const PollReply first = lookAt(upstream(order.upstream), order);
        const bool waits = order.wait.count() > 0 && first.outcome == OrderOutcome::Accepted && first.ended.empty();
        if (lost) {
            after(order.wait + lookSlack, [answer] { answer(PollReply {}); });
            return;
        }
        if (!waits) {
            after(between(1, 5), [answer, first] { answer(first); });
            return;
        }
        // The upstream answers at its next end, or when the wait is over.
        const TimePoint end = m_now + order.wait;
        const std::shared_ptr<std::function<void()>> poll = std::make_shared<std::function<void()>>();
        *poll = [this, order, answer, end, poll] {
            PollOrder again = order;
            again.leaseEnd.reset();
            const PollReply reply = lookAt(upstream(order.upstream), again);
            if (m_now < end && reply.ended.empty() && reply.outcome == OrderOutcome::Accepted) {
                after(Milliseconds { 5 }, *poll);
                return;
            }
            after(between(1, 5), [answer, reply] { answer(reply); });
        };
        after(Milliseconds { 5 }, *poll);
    });
}

void DispatchSimulation::endRun(Upstream& upstream, std::size_t index, RunOutcome how)
{
    const TaskRun run = upstream.running[index].run;
    upstream.running.erase(upstream.running.begin() + static_cast<std::ptrdiff_t>(index));
    upstream.ended.push_back({ ++upstream.ends, run, how });
    RunNumber& highest = upstream.highestEnded[run.task];
    highest = std::max(highest, run.number);
}

void DispatchSimulation::settle(Upstream& upstream)
{
    const UpstreamClock clock = toMilliseconds(m_now.time_since_epoch());
    for (std::size_t index = upstream.running.size(); index > 0; --index) {
        if (upstream.running[index - 1].doneAt <= m_now)
            endRun(upstream, index - 1, RunOutcome::Done);
    }
    while (clock >= upstream.leaseEnd && !upstream.running.empty())
        endRun(upstream, 0, RunOutcome::LeaseExpired);
}

OrderReply DispatchSimulation::startAt(Upstream& target, const StartOrder& order)
{
    const UpstreamClock clock = toMilliseconds(m_now.time_since_epoch());
    settle(target);
    if (m_rules.fencing && order.token < target.token)
        return { OrderOutcome::Fenced, clock };
    target.token = std::max(target.token, order.token);
    const auto highest = target.highestEnded.find(order.run.task);
    if (highest != target.highestEnded.end() && order.run.number <= highest->second)
        return { OrderOutcome::Superseded, clock };
    if (order.leaseEnd <= clock)
        return { OrderOutcome::LeaseExpired, clock };
    target.leaseEnd = std::max(target.leaseEnd, std::min(order.leaseEnd, clock + longestLease));
    const bool there = std::any_of(target.running.begin(), target.running.end(), [&order](const Upstream::Running& running) { return running.run == order.run; });
    if (there)
        return { OrderOutcome::Accepted, clock };
    if (target.running.size() >= places)
        return { OrderOutcome::InsufficientCapacity, clock };
    for (const auto& entry : m_upstreams) {
        settle(*entry);
        for (const Upstream::Running& running : entry->running) {
            if (running.run.task == order.run.task)
                m_verdict.overlaps.push_back(order.run.task.job + '.' + std::to_string(order.run.task.index) + " run " + std::to_string(running.run.number) + " on " + entry->info.id + " and run " + std::to_string(order.run.number) + " on " + target.info.id);
        }
    }
    ++m_verdict.started;
    m_startedJobs.insert(order.run.task.job);
    target.running.push_back({ order.run, m_now + between(30, 400) });
    return { OrderOutcome::Accepted, clock };
}

OrderReply DispatchSimulation::stopAt(Upstream& target, const StopOrder& order)
{
    const UpstreamClock clock = toMilliseconds(m_now.time_since_epoch());
    settle(target);
    if (m_rules.fencing && order.token < target.token)
        return { OrderOutcome::Fenced, clock };
    target.token = std::max(target.token, order.token);
    for (std::size_t index = 0; index < target.running.size(); ++index) {
        if (target.running[index].run == order.run) {
            endRun(target, index, RunOutcome::Stopped);
            break;
        }
    }
    RunNumber& highest = target.highestEnded[order.run.task];
    highest = std::max(highest, order.run.number);
    return { OrderOutcome::Accepted, clock };
}

PollReply DispatchSimulation::lookAt(Upstream& target, const PollOrder& order)
{
    const UpstreamClock clock = toMilliseconds(m_now.time_since_epoch());
    settle(target);
    PollReply reply;
    reply.clock = clock;
    if (m_rules.fencing && order.token < target.token) {
        reply.outcome = OrderOutcome::Fenced;
        return reply;
    }
    target.token = std::max(target.token, order.token);
    reply.outcome = OrderOutcome::Accepted;
    if (order.leaseEnd)
        target.leaseEnd = std::max(target.leaseEnd, std::min(*order.leaseEnd, clock + longestLease));
    target.ended.erase(std::remove_if(target.ended.begin(), target.ended.end(), [&order](const RunEndRecord& end) { return end.sequenceNumber <= order.acknowledged; }), target.ended.end());
    for (const Upstream::Running& running : target.running)
        reply.running.push_back(running.run);
    reply.ended = target.ended;
    return reply;
}

void DispatchSimulation::submitJob(int number, int vm)
{
    const std::string id = std::to_string(number);
    if (m_answered.count(id) > 0)
        return;
    Vm& target = *m_vms[static_cast<std::size_t>(vm)];
    if (!target.up) {
        after(between(50, 200), [this, number, vm] { submitJob(number, (vm + 1) % vmCount); });
        return;
    }
    DispatchJob job;
    job.id = id;
    job.callerTimeout = Milliseconds { 3'000 };
    JobStep step;
    step.count = static_cast<std::uint32_t>(1 + number % 4);
    step.need = { 27'000, 64, 0 };
    step.estimate = Milliseconds { 200 };
    job.steps.push_back(step);
    Route route;
    route.name = "proof";
    route.service = "print";
    route.maxAttempts = 3;
    route.stretch = 6;
    route.targetLatency = Milliseconds { 500 };
    const CallerTicket ticket = ++target.lastTicket;
    target.tickets[ticket] = id;
    ++m_attempts[id];
    target.dispatcher.submit(ticket, job, route, m_now);
}

void DispatchSimulation::onReply(int number, CallerTicket ticket, const JobResult& answer)
{
    Vm& vm = *m_vms[static_cast<std::size_t>(number)];
    const std::string job = vm.tickets[ticket];
    vm.tickets.erase(ticket);
    m_answered.insert(job);
    switch (answer.outcome) {
    case JobOutcome::Refused:
        ++m_verdict.refused;
        // A job that came again may have run through the VM that was killed.
        if (m_attempts[job] == 1 && m_startedJobs.count(job) > 0)
            m_verdict.falseRefusals.push_back(job);
        return;
    case JobOutcome::GaveUp:
        ++m_verdict.gaveUp;
        return;
    default:
        ++m_verdict.succeeded;
        return;
    }
}

DispatchResult DispatchSimulation::run()
{
    for (int number = 0; number < upstreamCount; ++number) {
        m_upstreams.push_back(std::make_unique<Upstream>());
        UpstreamInfo& info = m_upstreams.back()->info;
        info.id = "u" + std::to_string(number);
        info.startedAt = Milliseconds { 1 };
        info.service = "print";
        info.dataCentre = "dc1";
        info.capacity = { 64'000, 100'000, 0 };
        info.kind = "a";
    }
    m_vms.resize(vmCount);
    for (int number = 0; number < vmCount; ++number)
        startVm(number);
    for (int number = 0; number < jobCount; ++number)
        after(between(1'000, 10'000), [this, number] { submitJob(number, number % vmCount); });
    for (int kill = 0; kill < m_faults.kills; ++kill)
        after(between(1'500, 10'000), [this] { killVm(static_cast<int>(between(0, vmCount - 1).count())); });
    for (int cut = 0; cut < m_faults.cuts; ++cut)
        after(between(1'500, 9'000), [this] { cutVm(static_cast<int>(between(0, vmCount - 1).count())); });
    for (int strain = 0; strain < m_faults.strains; ++strain)
        after(between(1'500, 9'000), [this] { strainVm(static_cast<int>(between(0, vmCount - 1).count())); });
    for (int off = 0; off < m_faults.powerOffs; ++off) {
        after(between(2'000, 9'000), [this] {
            for (int number = 0; number < vmCount; ++number)
                after(between(0, 50), [this, number] { killVm(number); });
        });
    }
    for (int silence = 0; silence < m_faults.silences; ++silence) {
        after(between(1'500, 10'000), [this] {
            Upstream& silent = *m_upstreams[static_cast<std::size_t>(between(0, upstreamCount - 1).count())];
            silent.silentUntil = m_now + between(200, 2'000);
        });
    }
    const TimePoint end = m_now + worldLength;
    while (!m_events.empty() && m_events.top().at < end) {
        const Scheduled next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    return m_verdict;
}

} // namespace egrettrestle::model
