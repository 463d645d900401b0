#include <egrettrestle/services/claims_service.hpp>

#include <algorithm>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/platform_service.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds connectTimeout { 250 };
    constexpr Milliseconds claimTimeout { 800 };
    constexpr Milliseconds recordTimeout { 500 };
    constexpr Milliseconds handoverTimeout { 2'000 };
    constexpr Milliseconds initialBackoff { 4 };
    constexpr Milliseconds maxBackoff { 100 };
    constexpr Milliseconds handoverRetryInterval { 100 };
    constexpr int maxHandoverAttempts = 30;
    // After a view change the new replicas of a bucket may lack claims until the hand-overs arrive, so an inconclusive
    // answer within this period is retried.
    constexpr Milliseconds handoverGracePeriod { 2'000 };
    constexpr std::size_t maxClaimsPerHandoverBatch = 2'000;
    constexpr Seconds expiryInterval { 1 };
    // Applies until the first manifest is in force.
    constexpr Seconds defaultClaimWindow { 600 };

    ClaimReply replyWith(ClaimOutcome outcome)
    {
        ClaimReply answer;
        answer.outcome = outcome;
        return answer;
    }

    bool isFinal(ClaimOutcome outcome)
    {
        return outcome != ClaimOutcome::Stale && outcome != ClaimOutcome::Unavailable;
    }

}

ClaimsService::ClaimsService(ServiceContext& context)
    : m_context(context)
    , m_ledger(context.settings.id, defaultClaimWindow)
{
}

ClaimsService::~ClaimsService()
{
    stop();
}

absl::Status ClaimsService::start()
{
    m_handoverThread = std::thread([this] { runHandovers(); });
    m_expiryThread = std::thread([this] { runExpiry(); });
    return absl::OkStatus();
}

void ClaimsService::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_handoverMutex);
        m_stopping = true;
        m_handoverChanged.notify_all();
    }
    if (m_handoverThread.joinable())
        m_handoverThread.join();
    if (m_expiryThread.joinable())
        m_expiryThread.join();
}

View ClaimsService::view() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_ledger.view();
}

Epoch ClaimsService::epoch() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_ledger.epoch();
}

Incarnation ClaimsService::incarnation() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_ledger.incarnation();
}

bool ClaimsService::isOwn(Incarnation incarnation) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_ownIncarnations.count(incarnation) > 0;
}

void ClaimsService::setClaimWindow(Duration window)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_ledger.setClaimWindow(window);
}

void ClaimsService::onViewChange(std::function<void(const View&)> listener)
{
    m_listener = std::move(listener);
}

void ClaimsService::registerJoinAttempt(const Member& self)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_ledger.registerJoinAttempt(self);
}

bool ClaimsService::adoptView(const View& view)
{
    // Serialises adoption, so that the listener is called in the order of the epochs.
    const std::lock_guard<std::mutex> adoptLock(m_adoptMutex);
    std::vector<OutgoingHandover> handovers;
    std::size_t incompleteCount = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = SteadyClock::now();
        if (!m_ledger.adoptView(view, now))
            return false;
        handovers = m_ledger.handovers(now);
        m_channels.clear();
        m_viewAdoptedAt = now;
        if (m_ledger.incarnation().value != 0)
            m_ownIncarnations.insert(m_ledger.incarnation());
        incompleteCount = m_ledger.incompleteBuckets(now);
    }
    logEvent(events::viewAdopted, "epoch=" + std::to_string(view.epoch.value) + " members=" + std::to_string(view.members.size()) + " buckets_not_whole=" + std::to_string(incompleteCount));
    m_context.metrics.setGauge("view_epoch", static_cast<double>(view.epoch.value));
    {
        const std::lock_guard<std::mutex> lock(m_handoverMutex);
        m_pendingHandovers.clear();
        for (OutgoingHandover& item : handovers)
            m_pendingHandovers[item.receiver].push_back(std::move(item.handover));
        m_handoverChanged.notify_all();
    }
    if (m_listener)
        m_listener(view);
    return true;
}

void ClaimsService::synchroniseView(const std::string& peerAddress, Epoch peerEpoch)
{
    const View own = view();
    if (peerEpoch > own.epoch) {
        HttpRequest request;
        request.path = peerPaths::view;
        const HttpResult result = m_context.peers.call(peerAddress, request, { connectTimeout, claimTimeout });
        m_context.metrics.countMessage("view", false, static_cast<double>(result.response.body.size()));
        const std::optional<View> newer = result.ok() ? parseView(result.response.body) : std::nullopt;
        if (newer)
            adoptView(*newer);
    } else if (peerEpoch < own.epoch) {
        HttpRequest request;
        request.method = "POST";
        request.path = peerPaths::view;
        request.body = toText(own);
        m_context.metrics.countMessage("view", false, static_cast<double>(request.body.size()));
        m_context.peers.call(peerAddress, request, { connectTimeout, claimTimeout });
    }
}

PeerHeader ClaimsService::header(Epoch epoch, Incarnation receiver) const
{
    return { epoch, incarnation(), receiver };
}

HttpResult ClaimsService::post(const Member& peer, const std::string& path, const std::string& body, const char* use, Milliseconds timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    HttpResult result = m_context.peers.call(peer.peerAddress, request, { connectTimeout, timeout });
    const bool useful = result.ok() && result.response.status == httpStatus::ok;
    m_context.metrics.countMessage(use, !useful, static_cast<double>(body.size() + result.response.body.size()));
    return result;
}

std::shared_ptr<ClaimsService::Channels> ClaimsService::channels(const VmId& peer, Epoch epoch)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (epoch != m_ledger.epoch())
        return nullptr;
    std::shared_ptr<Channels>& entry = m_channels[peer];
    if (entry)
        return entry;
    const Member* member = findMember(m_ledger.view(), peer);
    if (!member)
        return nullptr;
    entry = std::make_shared<Channels>();
    entry->peer = *member;
    entry->claims = std::make_unique<ClaimBatcher>([this, target = *member, epoch](const std::vector<ClaimRequest>& requests) { return sendClaims(target, epoch, requests); });
    entry->records = std::make_unique<RecordBatcher>([this, target = *member, epoch](const std::vector<RecordRequest>& requests) { return sendRecords(target, epoch, requests); });
    return entry;
}

std::vector<ClaimReply> ClaimsService::sendClaims(const Member& peer, Epoch epoch, const std::vector<ClaimRequest>& requests)
{
    const ClaimBatch batch { header(epoch, peer.incarnation), requests };
    const HttpResult result = post(peer, peerPaths::claims, toText(batch), "claim", claimTimeout);
    const std::optional<ClaimBatchReply> reply = result.ok() ? parseClaimBatchReply(result.response.body) : std::nullopt;
    if (!reply || reply->answers.size() != requests.size()) {
        logEvent(events::claimPeerLost, "role=registrar peer=" + peer.id + " requests=" + std::to_string(requests.size()));
        return std::vector<ClaimReply>(requests.size());
    }
    if (reply->epoch != epoch)
        synchroniseView(peer.peerAddress, reply->epoch);
    return reply->answers;
}

std::vector<RecordReply> ClaimsService::sendRecords(const Member& peer, Epoch epoch, const std::vector<RecordRequest>& requests)
{
    const TimePoint now = SteadyClock::now();
    const RecordBatch batch { header(epoch, peer.incarnation), requests };
    const HttpResult result = post(peer, peerPaths::records, toText(batch, now), "record", recordTimeout);
    const std::optional<RecordBatchReply> reply = result.ok() ? parseRecordBatchReply(result.response.body, now) : std::nullopt;
    if (!reply || reply->answers.size() != requests.size()) {
        logEvent(events::claimPeerLost, "role=mirror peer=" + peer.id + " requests=" + std::to_string(requests.size()));
        return std::vector<RecordReply>(requests.size());
    }
    if (reply->epoch != epoch)
        synchroniseView(peer.peerAddress, reply->epoch);
    return reply->answers;
}

std::vector<ClaimReply> ClaimsService::decideAsPrimary(const std::vector<ClaimRequest>& requests, Epoch epoch, Incarnation receiver)
{
    std::vector<ClaimReply> answers(requests.size());
    std::vector<ClaimStep> steps;
    std::map<VmId, std::vector<std::size_t>> byBackup;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = SteadyClock::now();
        for (std::size_t index = 0; index < requests.size(); ++index) {
            steps.push_back(m_ledger.begin(requests[index], epoch, receiver, now));
            if (steps.back().reply)
                answers[index] = *steps.back().reply;
            else
                byBackup[steps.back().backup].push_back(index);
        }
    }
    for (const auto& group : byBackup) {
        std::vector<RecordRequest> records;
        for (const std::size_t index : group.second)
            records.push_back(*steps[index].record);
        const std::shared_ptr<Channels> backup = channels(group.first, epoch);
        const std::vector<RecordReply> replies = backup ? backup->records->execute(records) : std::vector<RecordReply>(records.size());
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = SteadyClock::now();
        for (std::size_t position = 0; position < records.size(); ++position) {
            const std::size_t index = group.second[position];
            answers[index] = m_ledger.finish(requests[index], epoch, records[position], replies[position], now);
        }
    }
    return answers;
}

ClaimReply ClaimsService::callReplica(const VmId& replica, Epoch epoch, const ClaimRequest& request)
{
    if (replica == m_context.settings.id)
        return decideAsPrimary({ request }, epoch, incarnation()).front();
    const std::shared_ptr<Channels> peer = channels(replica, epoch);
    return peer ? peer->claims->execute({ request }).front() : replyWith(ClaimOutcome::Stale);
}

ClaimsService::ReplicaSnapshot ClaimsService::currentReplicas(const SubmissionKey& key) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return { m_ledger.replicas(bucketOf(key)), m_ledger.epoch(), m_ledger.incarnation(), m_viewAdoptedAt };
}

ClaimReply ClaimsService::callPrimary(ClaimRequest request, TimePoint deadline)
{
    ClaimReply answer = replyWith(ClaimOutcome::Unavailable);
    Milliseconds backoff = initialBackoff;
    while (true) {
        const ReplicaSnapshot snapshot = currentReplicas(request.key);
        // Set once and kept over retries: a claim recorded under an earlier incarnation stays with that incarnation.
        if (request.executor.value == 0)
            request.executor = snapshot.self;
        if (snapshot.replicas.primary && request.executor.value != 0)
            answer = callReplica(*snapshot.replicas.primary, snapshot.epoch, request);
        const bool handoverMayArrive = answer.outcome == ClaimOutcome::Indeterminate && SteadyClock::now() < snapshot.viewAdoptedAt + handoverGracePeriod;
        if ((isFinal(answer.outcome) && !handoverMayArrive) || SteadyClock::now() + backoff >= deadline)
            break;
        std::this_thread::sleep_for(backoff);
        backoff = std::min(maxBackoff, backoff * 2);
    }
    return answer.outcome == ClaimOutcome::Stale ? replyWith(ClaimOutcome::Unavailable) : answer;
}

ClaimReply ClaimsService::lookUp(ClaimRequest request, TimePoint deadline)
{
    request.kind = ClaimRequestKind::Lookup;
    Milliseconds backoff = initialBackoff;
    while (true) {
        const ReplicaSnapshot snapshot = currentReplicas(request.key);
        request.executor = snapshot.self;
        const ClaimReply answer = lookUpOnce(snapshot.replicas, snapshot.epoch, request);
        const bool handoverMayArrive = answer.outcome == ClaimOutcome::Indeterminate && SteadyClock::now() < snapshot.viewAdoptedAt + handoverGracePeriod;
        if ((isFinal(answer.outcome) && !handoverMayArrive) || SteadyClock::now() + backoff >= deadline)
            return answer;
        std::this_thread::sleep_for(backoff);
        backoff = std::min(maxBackoff, backoff * 2);
    }
}

ClaimReply ClaimsService::lookUpOnce(const ReplicaPair& replicas, Epoch epoch, const ClaimRequest& request)
{
    bool notFound = false;
    bool indeterminate = false;
    bool allAnswered = true;
    for (const std::optional<VmId>& replica : { replicas.primary, replicas.backup }) {
        if (!replica)
            continue;
        const ClaimReply answer = callReplica(*replica, epoch, request);
        if (answer.outcome == ClaimOutcome::AlreadyClaimed || answer.outcome == ClaimOutcome::Conflict)
            return answer;
        notFound = notFound || answer.outcome == ClaimOutcome::NotFound;
        indeterminate = indeterminate || answer.outcome == ClaimOutcome::Indeterminate;
        allAnswered = allAnswered && isFinal(answer.outcome);
    }
    if (notFound && (allAnswered || epochIsCurrent(epoch)))
        return replyWith(ClaimOutcome::NotFound);
    return replyWith(indeterminate && allAnswered ? ClaimOutcome::Indeterminate : ClaimOutcome::Unavailable);
}

bool ClaimsService::epochIsCurrent(Epoch epoch)
{
    Store& store = m_context.kernel.find<PlatformService>(serviceNames::platform).store();
    const absl::StatusOr<StoreEntry> entry = store.read(storeKeys::viewPrefix + m_context.settings.dataCentre);
    const std::optional<View> view = entry.ok() && entry->modRevision != 0 ? parseView(entry->value) : std::nullopt;
    return view && view->epoch == epoch;
}

ClaimBatchReply ClaimsService::handleClaims(const ClaimBatch& batch)
{
    ClaimBatchReply reply;
    reply.answers = decideAsPrimary(batch.requests, batch.header.epoch, batch.header.receiver);
    reply.epoch = epoch();
    return reply;
}

RecordBatchReply ClaimsService::handleRecords(const RecordBatch& batch)
{
    RecordBatchReply reply;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = SteadyClock::now();
    for (const RecordRequest& request : batch.requests)
        reply.answers.push_back(m_ledger.record(request, batch.header.epoch, batch.header.receiver, now));
    reply.epoch = m_ledger.epoch();
    return reply;
}

bool ClaimsService::acceptHandovers(const HandoverBatch& batch)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (batch.header.receiver != m_ledger.incarnation())
        return false;
    bool accepted = true;
    for (const Handover& handover : batch.handovers)
        accepted = m_ledger.acceptHandover(handover, batch.header.sender, SteadyClock::now()) && accepted;
    return accepted;
}

void ClaimsService::acceptResignation(const Resignation& resignation)
{
    bool accepted = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = SteadyClock::now();
        for (const Claim& claim : resignation.claims)
            m_ledger.merge(claim, now);
        accepted = m_ledger.acceptResignation(resignation.epoch, resignation.resigner);
    }
    if (accepted)
        logEvent(events::resigned, "epoch=" + std::to_string(resignation.epoch.value) + " incarnation=" + std::to_string(resignation.resigner.value));
}

void ClaimsService::resign()
{
    Resignation resignation;
    View present;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ledger.resign();
        resignation = { m_ledger.epoch(), m_ledger.incarnation(), m_ledger.claims() };
        present = m_ledger.view();
    }
    const std::string body = toText(resignation, SteadyClock::now());
    for (const Member& member : present.members) {
        if (member.id != m_context.settings.id)
            post(member, peerPaths::resignation, body, "handover", handoverTimeout);
    }
}

bool ClaimsService::waitForHandovers(TimePoint deadline)
{
    std::unique_lock<std::mutex> lock(m_handoverMutex);
    return m_handoverChanged.wait_until(lock, deadline, [this] { return m_pendingHandovers.empty() && !m_delivering; });
}

void ClaimsService::runHandovers()
{
    std::unique_lock<std::mutex> lock(m_handoverMutex);
    while (!m_stopping) {
        if (m_pendingHandovers.empty()) {
            m_handoverChanged.wait(lock);
            continue;
        }
        const auto first = m_pendingHandovers.begin();
        const VmId receiver = first->first;
        const std::vector<Handover> handovers = std::move(first->second);
        m_pendingHandovers.erase(first);
        m_delivering = true;
        lock.unlock();
        const bool delivered = deliver(receiver, handovers);
        logEvent(events::claimHandover, "to=" + receiver + " buckets=" + std::to_string(handovers.size()) + " delivered=" + (delivered ? "yes" : "no"));
        lock.lock();
        m_delivering = false;
        m_handoverChanged.notify_all();
    }
}

bool ClaimsService::deliver(const VmId& receiver, const std::vector<Handover>& handovers)
{
    for (std::size_t next = 0; next < handovers.size();) {
        std::size_t end = next;
        std::size_t claims = 0;
        while (end < handovers.size() && (end == next || claims + handovers[end].claims.size() <= maxClaimsPerHandoverBatch))
            claims += handovers[end++].claims.size();
        const View present = view();
        const Member* member = findMember(present, receiver);
        if (!member || present.epoch != handovers[next].epoch)
            return false;
        HandoverBatch batch;
        batch.header = header(present.epoch, member->incarnation);
        batch.handovers.assign(handovers.begin() + static_cast<std::ptrdiff_t>(next), handovers.begin() + static_cast<std::ptrdiff_t>(end));
        const std::string body = toText(batch, SteadyClock::now());
        bool delivered = false;
        for (int attempt = 0; attempt < maxHandoverAttempts && !delivered && !m_stopping; ++attempt) {
            const HttpResult result = post(*member, peerPaths::handover, body, "handover", handoverTimeout);
            delivered = result.ok() && result.response.status == httpStatus::ok;
            if (delivered)
                break;
            // The receiver may not have adopted this view yet; a lower peer epoch makes synchroniseView() send it.
            if (result.ok())
                synchroniseView(member->peerAddress, Epoch { present.epoch.value - 1 });
            std::this_thread::sleep_for(handoverRetryInterval);
            if (epoch() != present.epoch)
                return false;
        }
        if (!delivered)
            return false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const Handover& handover : batch.handovers)
                m_ledger.recordDelivery(handover, member->incarnation);
        }
        next = end;
    }
    return true;
}

void ClaimsService::runExpiry()
{
    std::unique_lock<std::mutex> lock(m_handoverMutex);
    while (!m_stopping) {
        m_handoverChanged.wait_for(lock, expiryInterval, [this] { return m_stopping.load(); });
        lock.unlock();
        {
            const std::lock_guard<std::mutex> ledgerLock(m_mutex);
            const TimePoint now = SteadyClock::now();
            m_ledger.expire(now);
            const std::size_t incompleteCount = m_ledger.incompleteBuckets(now);
            m_context.metrics.setGauge("claims", static_cast<double>(m_ledger.size()));
            m_context.metrics.setGauge("buckets_not_whole", static_cast<double>(incompleteCount));
            // Right after a view change incomplete buckets are expected, since hand-overs are still in flight.
            if (incompleteCount > 0 && now > m_viewAdoptedAt + handoverGracePeriod && m_incompleteLoggedEpoch != m_ledger.epoch()) {
                m_incompleteLoggedEpoch = m_ledger.epoch();
                logEvent(events::claimsIncomplete, "epoch=" + std::to_string(m_incompleteLoggedEpoch.value) + " buckets=" + std::to_string(incompleteCount));
            }
        }
        lock.lock();
    }
}

} // namespace egrettrestle
