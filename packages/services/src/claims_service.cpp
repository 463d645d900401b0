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
    constexpr Milliseconds firstBackoff { 4 };
    constexpr Milliseconds longestBackoff { 100 };
    constexpr Milliseconds handoverRetryPause { 100 };
    constexpr int handoverAttempts = 30;
    // So long after a view change a holder that does not know enough may be about to learn it.
    constexpr Milliseconds handoverGrace { 2'000 };
    constexpr std::size_t handoverBatchClaims = 2'000;
    constexpr Seconds expiryInterval { 1 };
    // Until a manifest says otherwise.
    constexpr Seconds initialWindow { 600 };

    ClaimReply verdictOnly(ClaimOutcome verdict)
    {
        ClaimReply answer;
        answer.outcome = verdict;
        return answer;
    }

    bool isFinal(ClaimOutcome verdict)
    {
        return verdict != ClaimOutcome::Stale && verdict != ClaimOutcome::Unavailable;
    }

}

ClaimsService::ClaimsService(Node& node)
    : m_node(node)
    , m_ledger(node.settings.id, initialWindow)
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

void ClaimsService::setWindow(Duration window)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_ledger.setClaimWindow(window);
}

void ClaimsService::onViewChange(std::function<void(const View&)> listener)
{
    m_listener = std::move(listener);
}

void ClaimsService::announceJoin(const Member& self)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_ledger.registerJoinAttempt(self);
}

bool ClaimsService::adoptView(const View& view)
{
    // Listeners must hear of views in the order of their epochs.
    const std::lock_guard<std::mutex> adoptLock(m_adoptMutex);
    std::vector<OutgoingHandover> handovers;
    std::size_t notWhole = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = SteadyClock::now();
        if (!m_ledger.adoptView(view, now))
            return false;
        handovers = m_ledger.handovers(now);
        m_channels.clear();
        m_viewAdopted = now;
        if (m_ledger.incarnation().value != 0)
            m_ownIncarnations.insert(m_ledger.incarnation());
        notWhole = m_ledger.incompleteBuckets(now);
    }
    logEvent(events::viewAdopted, "epoch=" + std::to_string(view.epoch.value) + " members=" + std::to_string(view.members.size()) + " buckets_not_whole=" + std::to_string(notWhole));
    m_node.metrics.setGauge("view_epoch", static_cast<double>(view.epoch.value));
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

void ClaimsService::compareViews(const std::string& peerAddress, Epoch theirs)
{
    const View own = view();
    if (theirs > own.epoch) {
        HttpRequest request;
        request.path = peerPaths::view;
        const HttpResult result = m_node.peers.call(peerAddress, request, { connectTimeout, claimTimeout });
        m_node.metrics.countMessage("view", false, static_cast<double>(result.response.body.size()));
        const std::optional<View> newer = result.ok() ? parseView(result.response.body) : std::nullopt;
        if (newer)
            adoptView(*newer);
    } else if (theirs < own.epoch) {
        HttpRequest request;
        request.method = "POST";
        request.path = peerPaths::view;
        request.body = toText(own);
        m_node.metrics.countMessage("view", false, static_cast<double>(request.body.size()));
        m_node.peers.call(peerAddress, request, { connectTimeout, claimTimeout });
    }
}

PeerHeader ClaimsService::header(Epoch epoch, Incarnation addressee) const
{
    return { epoch, incarnation(), addressee };
}

HttpResult ClaimsService::post(const Member& peer, const std::string& path, const std::string& body, const char* use, Milliseconds timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    HttpResult result = m_node.peers.call(peer.peerAddress, request, { connectTimeout, timeout });
    const bool useful = result.ok() && result.response.status == httpStatus::ok;
    m_node.metrics.countMessage(use, !useful, static_cast<double>(body.size() + result.response.body.size()));
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
        compareViews(peer.peerAddress, reply->epoch);
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
        compareViews(peer.peerAddress, reply->epoch);
    return reply->answers;
}

std::vector<ClaimReply> ClaimsService::decideAsRegistrar(const std::vector<ClaimRequest>& requests, Epoch epoch, Incarnation addressee)
{
    std::vector<ClaimReply> answers(requests.size());
    std::vector<ClaimStep> steps;
    std::map<VmId, std::vector<std::size_t>> byMirror;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = SteadyClock::now();
        for (std::size_t index = 0; index < requests.size(); ++index) {
            steps.push_back(m_ledger.begin(requests[index], epoch, addressee, now));
            if (steps.back().reply)
                answers[index] = *steps.back().reply;
            else
                byMirror[steps.back().backup].push_back(index);
        }
    }
    for (const auto& group : byMirror) {
        std::vector<RecordRequest> records;
        for (const std::size_t index : group.second)
            records.push_back(*steps[index].record);
        const std::shared_ptr<Channels> mirror = channels(group.first, epoch);
        const std::vector<RecordReply> replies = mirror ? mirror->records->ask(records) : std::vector<RecordReply>(records.size());
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = SteadyClock::now();
        for (std::size_t position = 0; position < records.size(); ++position) {
            const std::size_t index = group.second[position];
            answers[index] = m_ledger.finish(requests[index], epoch, records[position], replies[position], now);
        }
    }
    return answers;
}

ClaimReply ClaimsService::askHolder(const VmId& holder, Epoch epoch, const ClaimRequest& request)
{
    if (holder == m_node.settings.id)
        return decideAsRegistrar({ request }, epoch, incarnation()).front();
    const std::shared_ptr<Channels> peer = channels(holder, epoch);
    return peer ? peer->claims->ask({ request }).front() : verdictOnly(ClaimOutcome::Stale);
}

ClaimsService::HolderSnapshot ClaimsService::holdersNow(const SubmissionKey& key) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return { m_ledger.replicas(bucketOf(key)), m_ledger.epoch(), m_ledger.incarnation(), m_viewAdopted };
}

ClaimReply ClaimsService::ask(ClaimRequest request, TimePoint deadline)
{
    ClaimReply answer = verdictOnly(ClaimOutcome::Unavailable);
    Milliseconds backoff = firstBackoff;
    while (true) {
        const HolderSnapshot now = holdersNow(request.key);
        // An executor asks under the incarnation it has now; a claim of an earlier one stays that one's.
        if (request.executor.value == 0)
            request.executor = now.self;
        if (now.holders.primary && request.executor.value != 0)
            answer = askHolder(*now.holders.primary, now.epoch, request);
        const bool mayLearn = answer.outcome == ClaimOutcome::Indeterminate && SteadyClock::now() < now.viewAdopted + handoverGrace;
        if ((isFinal(answer.outcome) && !mayLearn) || SteadyClock::now() + backoff >= deadline)
            break;
        std::this_thread::sleep_for(backoff);
        backoff = std::min(longestBackoff, backoff * 2);
    }
    return answer.outcome == ClaimOutcome::Stale ? verdictOnly(ClaimOutcome::Unavailable) : answer;
}

ClaimReply ClaimsService::lookUp(ClaimRequest request, TimePoint deadline)
{
    request.kind = ClaimRequestKind::Lookup;
    Milliseconds backoff = firstBackoff;
    while (true) {
        const HolderSnapshot now = holdersNow(request.key);
        request.executor = now.self;
        const ClaimReply answer = lookUpOnce(now.holders, now.epoch, request);
        const bool mayLearn = answer.outcome == ClaimOutcome::Indeterminate && SteadyClock::now() < now.viewAdopted + handoverGrace;
        if ((isFinal(answer.outcome) && !mayLearn) || SteadyClock::now() + backoff >= deadline)
            return answer;
        std::this_thread::sleep_for(backoff);
        backoff = std::min(longestBackoff, backoff * 2);
    }
}

ClaimReply ClaimsService::lookUpOnce(const ReplicaPair& holders, Epoch epoch, const ClaimRequest& request)
{
    bool absent = false;
    bool unknown = false;
    bool allAsked = true;
    for (const std::optional<VmId>& holder : { holders.primary, holders.backup }) {
        if (!holder)
            continue;
        const ClaimReply answer = askHolder(*holder, epoch, request);
        if (answer.outcome == ClaimOutcome::AlreadyClaimed || answer.outcome == ClaimOutcome::Conflict)
            return answer;
        absent = absent || answer.outcome == ClaimOutcome::NotFound;
        unknown = unknown || answer.outcome == ClaimOutcome::Indeterminate;
        allAsked = allAsked && isFinal(answer.outcome);
    }
    if (absent && (allAsked || epochIsCurrent(epoch)))
        return verdictOnly(ClaimOutcome::NotFound);
    return verdictOnly(unknown && allAsked ? ClaimOutcome::Indeterminate : ClaimOutcome::Unavailable);
}

bool ClaimsService::epochIsCurrent(Epoch epoch)
{
    Store& store = m_node.kernel.find<PlatformService>(serviceNames::platform).store();
    const absl::StatusOr<StoreEntry> entry = store.read(storeKeys::viewPrefix + m_node.settings.dataCentre);
    const std::optional<View> view = entry.ok() && entry->modRevision != 0 ? parseView(entry->value) : std::nullopt;
    return view && view->epoch == epoch;
}

ClaimBatchReply ClaimsService::answerClaims(const ClaimBatch& batch)
{
    ClaimBatchReply reply;
    reply.answers = decideAsRegistrar(batch.requests, batch.header.epoch, batch.header.receiver);
    reply.epoch = epoch();
    return reply;
}

RecordBatchReply ClaimsService::answerRecords(const RecordBatch& batch)
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
        if (member.id != m_node.settings.id)
            post(member, peerPaths::resignation, body, "handover", handoverTimeout);
    }
}

bool ClaimsService::finishHandovers(TimePoint deadline)
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
        while (end < handovers.size() && (end == next || claims + handovers[end].claims.size() <= handoverBatchClaims))
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
        for (int attempt = 0; attempt < handoverAttempts && !delivered && !m_stopping; ++attempt) {
            const HttpResult result = post(*member, peerPaths::handover, body, "handover", handoverTimeout);
            delivered = result.ok() && result.response.status == httpStatus::ok;
            if (delivered)
                break;
            // The receiver may not have heard of the view yet.
            if (result.ok())
                compareViews(member->peerAddress, Epoch { present.epoch.value - 1 });
            std::this_thread::sleep_for(handoverRetryPause);
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
            const std::size_t notWhole = m_ledger.incompleteBuckets(now);
            m_node.metrics.setGauge("claims", static_cast<double>(m_ledger.size()));
            m_node.metrics.setGauge("buckets_not_whole", static_cast<double>(notWhole));
            // Right after a view change hand-overs are still under way.
            if (notWhole > 0 && now > m_viewAdopted + handoverGrace && m_doubtReported != m_ledger.epoch()) {
                m_doubtReported = m_ledger.epoch();
                logEvent(events::claimsIncomplete, "epoch=" + std::to_string(m_doubtReported.value) + " buckets=" + std::to_string(notWhole));
            }
        }
        lock.lock();
    }
}

} // namespace egrettrestle
