#include "claim_simulation.hpp"

namespace egrettrestle::model {

namespace {

    constexpr Seconds window { 10 };
    // Resubmissions and deadlines end well within the claim window, as the manifest validation requires.
    constexpr Milliseconds resubmissionTime { 4'000 };
    constexpr Milliseconds requestDeadline { 2'500 };
    constexpr std::uint64_t body = 42;

}

ClaimSimulation::ClaimSimulation(const Exploration& exploration, std::uint64_t seed)
    : m_exploration(exploration)
    , m_random(seed)
    , m_now(Seconds(1'000))
    , m_key(submissionKey("caller", std::to_string(seed)))
{
    for (std::size_t index = 0; index < exploration.vms; ++index) {
        Vm vm;
        vm.id = std::string(1, static_cast<char>('a' + index));
        m_vms.push_back(std::move(vm));
    }
    const std::size_t first = 1 + pick(exploration.vms);
    for (std::size_t index = 0; index < first; ++index) {
        boot(index);
        join(index);
    }
    // Most schedules start with all VMs in the same view; in the others some are still joining.
    if (chance(70)) {
        for (std::size_t index = 0; index < first; ++index)
            adopt(index, m_store.back());
        for (int round = 0; round < 50 && !m_messages.empty(); ++round) {
            receive(m_messages.back());
            m_messages.pop_back();
        }
    }
}

bool ClaimSimulation::chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }

std::size_t ClaimSimulation::pick(std::size_t count) { return m_random() % count; }

std::optional<std::size_t> ClaimSimulation::pickVm(bool member)
{
    const std::size_t index = pick(m_vms.size());
    const Vm& vm = m_vms[index];
    if (!vm.alive || vm.frozen || (member && vm.ledger->incarnation().value == 0))
        return std::nullopt;
    return index;
}

std::optional<std::size_t> ClaimSimulation::indexOf(const VmId& id) const
{
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        if (m_vms[index].id == id)
            return index;
    }
    return std::nullopt;
}

ScheduleResult ClaimSimulation::run()
{
    for (std::size_t count = 0; count < m_exploration.steps; ++count) {
        m_now += Milliseconds(pick(static_cast<std::size_t>(m_exploration.maxPauseMs) + 1));
        step();
    }
    return m_result;
}

void ClaimSimulation::step()
{
    const int dice = static_cast<int>(pick(100));
    if (dice < 60) {
        deliver();
        return;
    }
    const std::size_t index = pick(m_vms.size());
    Vm& vm = m_vms[index];
    if (dice < 64) {
        if (vm.alive)
            vm.frozen = !vm.frozen;
    } else if (dice < 66) {
        if (vm.alive)
            crash(vm);
        else
            boot(index);
    } else if (!vm.alive || vm.frozen) {
        return;
    } else if (dice < 69) {
        join(index);
    } else if (dice < 71) {
        removeMember(index);
    } else if (dice < 76) {
        const std::size_t shownView = m_exploration.staleReads && chance(30) ? pick(m_store.size()) : m_store.size() - 1;
        adopt(index, m_store[shownView]);
    } else if (dice < 77) {
        if (m_exploration.resignations)
            resign(index);
    } else if (dice < 88) {
        submit(index);
    } else if (dice < 90) {
        if (m_firstSent) {
            vm.firstReplicaReplied = false;
            sendRequest(index, ClaimRequestKind::Lookup);
        }
    } else if (dice < 92) {
        if (m_exploration.releases)
            release(index);
    } else {
        startIfGranted(index);
    }
}

void ClaimSimulation::boot(std::size_t index)
{
    Vm& vm = m_vms[index];
    const VmId id = vm.id;
    const int processNumber = vm.processNumber + 1;
    vm = Vm();
    vm.id = id;
    vm.processNumber = processNumber;
    vm.alive = true;
    vm.ledger = std::make_unique<ClaimLedger>(id, window, m_exploration.rules);
}

void ClaimSimulation::crash(Vm& vm)
{
    vm.alive = false;
    vm.frozen = false;
    vm.pending.clear();
    vm.state = ExecutorState::Idle;
}

void ClaimSimulation::adopt(std::size_t index, const View& view)
{
    Vm& vm = m_vms[index];
    if (!vm.ledger->adoptView(view, m_now))
        return;
    if (vm.ledger->incarnation().value != 0)
        vm.incarnations.insert(vm.ledger->incarnation());
    for (OutgoingHandover& item : vm.ledger->handovers(m_now)) {
        const std::optional<std::size_t> receiver = indexOf(item.receiver);
        if (item.handover.bucket != bucketOf(m_key) || !receiver)
            continue;
        Message message;
        message.kind = MessageKind::Handover;
        message.from = index;
        message.fromProcess = vm.processNumber;
        message.to = *receiver;
        message.sender = vm.ledger->incarnation();
        message.addressee = findMember(view, item.receiver)->incarnation;
        message.handover = std::move(item.handover);
        m_messages.push_back(std::move(message));
    }
}

void ClaimSimulation::join(std::size_t index)
{
    const Vm& vm = m_vms[index];
    const View base = m_store.empty() ? View() : m_store.back();
    const Member* own = findMember(base, vm.id);
    if (own && vm.ledger->incarnation() == own->incarnation)
        return;
    m_store.push_back(withJoined(base, vm.id, "", ""));
    vm.ledger->registerJoinAttempt(*findMember(m_store.back(), vm.id));
    adopt(index, m_store.back());
}

void ClaimSimulation::removeMember(std::size_t index)
{
    const View& base = m_store.back();
    if (base.members.size() < 2)
        return;
    const Member member = base.members[pick(base.members.size())];
    m_store.push_back(withRemoved(base, member.incarnation));
    adopt(index, m_store.back());
}

void ClaimSimulation::resign(std::size_t index)
{
    Vm& vm = m_vms[index];
    if (vm.ledger->incarnation().value == 0)
        return;
    vm.ledger->resign();
    for (const Member& member : vm.ledger->view().members) {
        const std::optional<std::size_t> receiver = indexOf(member.id);
        if (!receiver || *receiver == index)
            continue;
        Message message;
        message.kind = MessageKind::Resignation;
        message.from = index;
        message.fromProcess = vm.processNumber;
        message.to = *receiver;
        message.epoch = vm.ledger->epoch();
        message.sender = vm.ledger->incarnation();
        message.claims = vm.ledger->claims();
        m_messages.push_back(std::move(message));
    }
    // The VM may still start what it was granted, but grants nothing more.
}

void ClaimSimulation::submit(std::size_t index)
{
    Vm& vm = m_vms[index];
    const bool free = vm.state == ExecutorState::Idle || vm.state == ExecutorState::Asking;
    if (!free || vm.ledger->incarnation().value == 0)
        return;
    if (!m_firstSent) {
        // The caller states the epoch of an earlier reply of this VM, or none if it has had no reply yet.
        m_firstSent = chance(50) ? Epoch {} : vm.ledger->epoch();
        m_firstSentAt = m_now;
    }
    if (m_now > m_firstSentAt + resubmissionTime)
        return;
    vm.state = ExecutorState::Asking;
    vm.deadline = m_now + requestDeadline;
    sendRequest(index, ClaimRequestKind::Claim);
}

void ClaimSimulation::sendRequest(std::size_t index, ClaimRequestKind kind, bool toBackup)
{
    Vm& vm = m_vms[index];
    if (vm.ledger->incarnation().value == 0)
        return;
    const ReplicaPair replicas = vm.ledger->replicas(bucketOf(m_key));
    const std::optional<VmId> replica = toBackup ? replicas.backup : replicas.primary;
    const Member* member = replica ? findMember(vm.ledger->view(), *replica) : nullptr;
    if (!member)
        return;
    Message message;
    message.kind = MessageKind::Claim;
    message.from = index;
    message.fromProcess = vm.processNumber;
    message.to = *indexOf(*replica);
    message.epoch = vm.ledger->epoch();
    message.addressee = member->incarnation;
    message.requestId = m_nextRequestId++;
    message.request = { kind, m_key, body, vm.ledger->incarnation(), *m_firstSent };
    if (kind == ClaimRequestKind::Claim)
        vm.requestId = message.requestId;
    if (kind == ClaimRequestKind::Lookup) {
        vm.lookupRequestId = message.requestId;
        vm.lookupEpoch = message.epoch;
    }
    if (message.to == index)
        receiveClaim(index, message);
    else
        m_messages.push_back(message);
}

void ClaimSimulation::startIfGranted(std::size_t index)
{
    Vm& vm = m_vms[index];
    if (vm.state != ExecutorState::Granted || m_now > vm.deadline)
        return;
    vm.state = ExecutorState::Started;
    ++m_result.starts;
}

void ClaimSimulation::release(std::size_t index)
{
    Vm& vm = m_vms[index];
    if (vm.state != ExecutorState::Granted)
        return;
    // From here on this process never starts the submission, whatever replies still arrive.
    vm.state = ExecutorState::Released;
    sendRequest(index, ClaimRequestKind::Release);
}

void ClaimSimulation::deliver()
{
    if (m_messages.empty())
        return;
    const std::size_t position = pick(m_messages.size());
    const Message message = m_messages[position];
    const Vm& receiver = m_vms[message.to];
    if (receiver.alive && receiver.frozen)
        return;
    const bool isRepeated = chance(10);
    if (!isRepeated) {
        m_messages[position] = m_messages.back();
        m_messages.pop_back();
    }
    if (!chance(12))
        receive(message);
}

void ClaimSimulation::receive(const Message& message)
{
    Vm& vm = m_vms[message.to];
    if (!vm.alive || (message.toProcess && *message.toProcess != vm.processNumber))
        return;
    switch (message.kind) {
    case MessageKind::Claim:
        receiveClaim(message.to, message);
        return;
    case MessageKind::ClaimReply:
        receiveClaimReply(message.to, message);
        return;
    case MessageKind::Record: {
        Message reply;
        reply.kind = MessageKind::RecordReply;
        reply.to = message.from;
        reply.toProcess = message.fromProcess;
        reply.requestId = message.requestId;
        reply.recordReply = vm.ledger->record(message.record, message.epoch, message.addressee, m_now);
        m_messages.push_back(std::move(reply));
        return;
    }
    case MessageKind::RecordReply:
        receiveRecordReply(message.to, message);
        return;
    case MessageKind::Handover:
        if (message.addressee == vm.ledger->incarnation() || !m_exploration.rules.checkIncarnation) {
            const bool taken = vm.ledger->acceptHandover(message.handover, message.sender, m_now);
            Vm& sender = m_vms[message.from];
            if (taken && sender.alive && sender.processNumber == message.fromProcess)
                sender.ledger->recordDelivery(message.handover, message.addressee);
        }
        return;
    case MessageKind::Resignation:
        for (const Claim& claim : message.claims)
            vm.ledger->merge(claim, m_now);
        vm.ledger->acceptResignation(message.epoch, message.sender);
        return;
    }
}

void ClaimSimulation::receiveClaim(std::size_t index, const Message& message)
{
    const ClaimStep step = m_vms[index].ledger->begin(message.request, message.epoch, message.addressee, m_now);
    processClaimStep(index, message.request, step, message.epoch, message.from, message.fromProcess, message.requestId);
}

void ClaimSimulation::processClaimStep(std::size_t index, const ClaimRequest& request, const ClaimStep& step, Epoch epoch, std::size_t requester, int requesterProcess, int requestId)
{
    Vm& vm = m_vms[index];
    PendingClaim claim;
    claim.request = request;
    claim.epoch = epoch;
    claim.requester = requester;
    claim.requesterProcess = requesterProcess;
    claim.requestId = requestId;
    if (step.reply) {
        replyToRequester(index, claim, *step.reply);
        return;
    }
    claim.record = *step.record;
    const Member* backup = findMember(vm.ledger->view(), step.backup);
    Message message;
    message.kind = MessageKind::Record;
    message.from = index;
    message.fromProcess = vm.processNumber;
    message.to = *indexOf(step.backup);
    message.epoch = epoch;
    message.addressee = backup->incarnation;
    message.requestId = m_nextRequestId++;
    claim.requestId = requestId;
    message.record = claim.record;
    vm.pending.push_back(claim);
    // A record is identified by the position of its request in the list of pending requests.
    message.requestId = static_cast<int>(vm.pending.size()) - 1;
    m_messages.push_back(std::move(message));
}

void ClaimSimulation::receiveRecordReply(std::size_t index, const Message& message)
{
    Vm& vm = m_vms[index];
    const PendingClaim claim = vm.pending[static_cast<std::size_t>(message.requestId)];
    const ClaimReply claimReply = vm.ledger->finish(claim.request, claim.epoch, claim.record, message.recordReply, m_now);
    replyToRequester(index, claim, claimReply);
}

void ClaimSimulation::checkRefusal(int startsBefore)
{
    if (startsBefore > 0)
        m_result.falseRefusal = true;
}

void ClaimSimulation::receiveLookupReply(Vm& vm, const Message& message)
{
    if (message.requestId != vm.lookupRequestId || message.claimReply.outcome != ClaimOutcome::NotFound || vm.lookupEpoch != vm.ledger->epoch())
        return;
    const bool confirmedByStore = m_store.back().epoch == vm.lookupEpoch;
    if (vm.firstReplicaReplied) {
        checkRefusal(vm.startsAtFirstReply);
    } else if (!vm.ledger->replicas(bucketOf(m_key)).backup || confirmedByStore) {
        checkRefusal(message.startsBefore);
    } else {
        vm.firstReplicaReplied = true;
        vm.startsAtFirstReply = message.startsBefore;
        sendRequest(static_cast<std::size_t>(&vm - m_vms.data()), ClaimRequestKind::Lookup, true);
    }
}

void ClaimSimulation::replyToRequester(std::size_t index, const PendingClaim& claim, const ClaimReply& claimReply)
{
    // The requester may refuse the job because of this reply once the store confirms the epoch.
    if (claimReply.neverRan && m_store.back().epoch == m_vms[index].ledger->epoch())
        checkRefusal(m_result.starts);
    Message reply;
    reply.kind = MessageKind::ClaimReply;
    reply.from = index;
    reply.to = claim.requester;
    reply.toProcess = claim.requesterProcess;
    reply.requestId = claim.requestId;
    reply.request = claim.request;
    reply.claimReply = claimReply;
    reply.startsBefore = m_result.starts;
    if (claim.requester == index)
        receiveClaimReply(index, reply);
    else
        m_messages.push_back(std::move(reply));
}

void ClaimSimulation::receiveClaimReply(std::size_t index, const Message& message)
{
    Vm& vm = m_vms[index];
    if (message.request.kind == ClaimRequestKind::Lookup)
        receiveLookupReply(vm, message);
    if (message.request.kind != ClaimRequestKind::Claim || vm.state != ExecutorState::Asking || message.requestId != vm.requestId)
        return;
    const ClaimReply& claimReply = message.claimReply;
    const bool granted = claimReply.outcome == ClaimOutcome::Granted
        || (claimReply.outcome == ClaimOutcome::AlreadyClaimed && claimReply.state == ClaimState::Acknowledged && vm.incarnations.count(claimReply.holder) > 0);
    if (granted)
        vm.state = ExecutorState::Granted;
    else if (claimReply.outcome != ClaimOutcome::Stale && claimReply.outcome != ClaimOutcome::Unavailable)
        vm.state = ExecutorState::Idle;
}

ExplorationResult explore(const Exploration& exploration, std::uint64_t firstSeed, int count)
{
    ExplorationResult result;
    for (int index = 0; index < count; ++index) {
        const std::uint64_t seed = firstSeed + static_cast<std::uint64_t>(index);
        const ScheduleResult schedule = ClaimSimulation(exploration, seed).run();
        ++result.schedules;
        if (schedule.starts > 0)
            ++result.withStart;
        const bool bad = schedule.starts > 1 || schedule.falseRefusal;
        if (bad && result.firstBadSeed == 0)
            result.firstBadSeed = seed;
        if (schedule.starts > 1)
            ++result.doubleStarts;
        if (schedule.falseRefusal)
            ++result.falseRefusals;
    }
    return result;
}

} // namespace egrettrestle::model
