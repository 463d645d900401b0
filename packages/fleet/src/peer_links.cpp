#include <egrettrestle/fleet/peer_links.hpp>

#include <algorithm>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/store_watcher.hpp>

namespace egrettrestle {

namespace {

    constexpr const char* dispatchPath = "/v1/dispatch";
    constexpr const char* configurationPath = "/v1/configuration";
    // Enough for a VM that is not scheduled for 100 ms and for one lost packet.
    constexpr HttpTimeouts peerTimeouts { Milliseconds { 200 }, Milliseconds { 350 } };
    // A batch without the messages that wait, which may be withdrawals, tells nothing new of the runs that are still wanted.
    constexpr Milliseconds lagWithMessagesHeldBack { 60'000 };
    // Shortest interval of the batches that report free capacity and show that this VM is alive.
    constexpr Milliseconds minKeepAliveInterval { 100 };
    // The interval grows with the number of contacts, so that the capacity reports of a VM cost about the same. Between VMs
    // that run tasks for each other, three batches fit into the silence after which a VM's runs are stopped; elsewhere one
    // does.
    constexpr int contactsPerKeepAliveStep = 5;
    // A batch whose time-stamp echo is older is likely to be taken for a delayed one. An empty batch first gets a new
    // time-stamp.
    constexpr Milliseconds maxTimestampAge { 400 };
    constexpr Milliseconds maxKeepAliveInterval { 300 };
    constexpr Milliseconds maxSharingKeepAliveInterval { 190 };
    constexpr Milliseconds retryInterval { 40 };
    // Links to former members are kept for this long after their last reply.
    constexpr Milliseconds formerMemberTimeout { 3'000 };
    // More than the VMs of the largest fleet, and a bound on memory whatever names senders use.
    constexpr std::size_t maxLinksToNonMembers = 600;
    // Messages to a VM that has not replied for this long are discarded. Executors number the runs of a job anew 10 s after it
    // has ended, and would mistake an older report for one on a run of the same number.
    constexpr Milliseconds maxUndeliveredTime { 5'000 };
    // Messages that need no immediate action are held back this long to be batched with others: about the run time of a
    // short task.
    constexpr Milliseconds maxMessageDelay { 50 };
    constexpr int maxPeerConnections = 2'000;
    constexpr Milliseconds reportInterval { 1'000 };
    // Bytes of a batch that cannot be read that are logged; they name the sender.
    constexpr std::size_t rejectedBatchExcerpt = 200;
    // A configuration can be hundreds of kilobytes long.
    constexpr HttpTimeouts configurationTimeouts { Milliseconds { 200 }, Milliseconds { 1'500 } };

}

/// The link to one VM.
struct PeerLinks::Peer {
    VmId id;
    std::string address;
    bool member = true;
    /// Batches are sent regularly, even without messages.
    bool contact = false;
    PeerChannel* channel = nullptr;
    /// A queued message must be sent without delay.
    bool urgent = false;
    /// One of the two VMs ran tasks for the other when the last batch was made.
    bool sharesTasks = false;
    bool batchInFlight = false;
    /// An urgent message is queued, and a call that sends it is posted to the event loop.
    bool sendPosted = false;
    /// The last batch got no reply.
    bool repeat = false;
    /// The VM has refused the last batch, although it was reached.
    bool refusesBatches = false;
    TimePoint lastSent;
    TimePoint lastReplyAt;
    /// When the first batch without a reply was sent since the last reply.
    std::optional<TimePoint> unansweredSince;
    TimePoint removedAt;
    int refusedConnections = 0;
};

PeerLinks::PeerLinks(FleetContext& context)
    : m_context(context)
    , m_client(context.loop)
{
    AsyncHttpServerLimits limits;
    limits.maxConnections = maxPeerConnections;
    limits.maxHeaderBytes = m_context.settings.maxHeaderBytes;
    limits.receiveBudget = m_context.receiveBudget;
    m_server = std::make_unique<AsyncHttpServer>(m_context.loop, m_context.settings.peerAddress, limits, [this](const std::shared_ptr<HttpExchange>& exchange) { handleRequest(exchange); });
    m_refusals = std::make_unique<ServerRefusals>("peer", *m_server);
}

PeerLinks::~PeerLinks() = default;

absl::Status PeerLinks::prepare()
{
    return m_server->bind();
}

absl::Status PeerLinks::start()
{
    m_context.loop.runEvery(reportInterval, [this] {
        m_refusals->report(m_context.log, m_context.metrics);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_discarded.report(m_context.log, m_context.metrics);
    });
    return m_server->start();
}

void PeerLinks::prepareStop()
{
    m_stopping = true;
    m_server->prepareStop();
}

void PeerLinks::stop()
{
    prepareStop();
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_batchEnded.wait(lock, [this] { return m_batchesInFlight == 0; });
    }
    m_server->stop();
}

void PeerLinks::setView(const View& view)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_epoch = view.epoch;
    m_contacts = regularContacts(view, m_context.settings.id, DispatcherLimits {}.contacts, m_contacts);
    for (auto& entry : m_peers) {
        const Member* member = findMember(view, entry.first);
        if (entry.second->member && !member)
            entry.second->removedAt = bootTimeNow();
        entry.second->member = member != nullptr;
        // A former contact may be finishing its jobs, for which it needs this VM's free capacity.
        if (member)
            entry.second->contact = false;
    }
    for (const Member& member : view.members) {
        if (member.id == m_context.settings.id)
            continue;
        Peer& peer = link(member.id);
        peer.address = member.peerAddress;
        peer.contact = m_contacts.count(member.id) > 0;
    }
}

/// Called with m_mutex held. Makes the link if there is none.
PeerLinks::Peer& PeerLinks::link(const VmId& vm)
{
    PeerPointer& peer = m_peers[vm];
    if (!peer) {
        peer = std::make_shared<Peer>();
        peer->id = vm;
        peer->channel = &channel(vm);
        peer->lastReplyAt = bootTimeNow();
    }
    return *peer;
}

/// Called with m_mutex held, for a batch that was accepted: it comes from the sender's present process. A VM that left before
/// this one joined is in none of its views, but has runs at upstreams that this VM owns now.
void PeerLinks::linkToSender(const DispatchBatch& batch)
{
    const auto found = m_peers.find(batch.sender);
    if (found != m_peers.end()) {
        // A member's address is that of the view.
        if (!found->second->member)
            found->second->address = batch.address;
        return;
    }
    const auto nonMembers = std::count_if(m_peers.begin(), m_peers.end(), [](const auto& entry) { return !entry.second->member; });
    if (static_cast<std::size_t>(nonMembers) >= maxLinksToNonMembers)
        return;
    Peer& peer = link(batch.sender);
    peer.address = batch.address;
    peer.member = false;
    peer.removedAt = bootTimeNow();
    // Like a former contact, it needs this VM's free capacity to finish its jobs.
    peer.contact = true;
}

void PeerLinks::send(const VmId& vm, PeerMessage message)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_peers.find(vm);
    if (found == m_peers.end()) {
        m_discarded.add(vm, "no-link", 1);
        return;
    }
    const PeerPointer peer = found->second;
    const bool urgent = !message.deferrable;
    peer->channel->send(std::move(message));
    peer->urgent = peer->urgent || urgent;
    if (!urgent || peer->batchInFlight || peer->sendPosted)
        return;
    // Later, so that the batch contains all messages of the present event; and without the dispatcher's lock, which the
    // caller holds.
    peer->sendPosted = true;
    m_context.loop.post([this, peer] {
        {
            const std::lock_guard<std::mutex> postedLock(m_mutex);
            peer->sendPosted = false;
            if (peer->batchInFlight || !peer->urgent)
                return;
        }
        sendBatch(peer);
    });
}

void PeerLinks::withdrawPendingRequests(const VmId& vm)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    channel(vm).withdrawPendingRequests();
}

/// Called with m_mutex held. A channel outlives its link: the message numbers continue if the VM becomes a member again.
PeerChannel& PeerLinks::channel(const VmId& vm)
{
    return m_channels.try_emplace(vm, m_context.processIncarnation, ChannelLimits { DispatcherLimits {}.maxMessageAge }).first->second;
}

/// Called with m_mutex held.
Milliseconds PeerLinks::keepAliveInterval(const Peer& peer) const
{
    const int contacts = static_cast<int>(m_contacts.size());
    const Milliseconds longest = peer.sharesTasks ? maxSharingKeepAliveInterval : maxKeepAliveInterval;
    return std::min(longest, minKeepAliveInterval * std::max(1, contacts / contactsPerKeepAliveStep));
}

DispatchBatch PeerLinks::makeBatch(Peer& peer)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchBatch batch;
    batch.sender = m_context.settings.id;
    batch.address = m_context.settings.peerAddress;
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    batch.configurationVersion = configuration ? configuration->version : 0;
    bool sharesTasks = false;
    bool held = false;
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) {
        held = dispatcher.hasUncheckedCallers();
        batch.executorLag = dispatcher.executorLag(now);
        sharesTasks = dispatcher.sharesTasks(peer.id);
        batch.capacity = dispatcher.capacityReport(now);
        batch.capacity.requestsReceived = dispatcher.requestsReceived(peer.id);
        batch.evacuations = dispatcher.evacuationsToShare();
    });
    const std::lock_guard<std::mutex> lock(m_mutex);
    batch.epoch = m_epoch;
    batch.stamp = peer.channel->batchHeader();
    const TimePoint now = bootTimeNow();
    const bool timestampExpired = now - peer.lastReplyAt > maxTimestampAge;
    // A message from before a pause may request a run for a caller that has left; its withdrawal then follows in the same
    // batch.
    if (!held && (!timestampExpired || peer.repeat))
        batch.messages = peer.channel->pendingMessages();
    else if (!peer.channel->isEmpty())
        batch.executorLag = lagWithMessagesHeldBack;
    peer.urgent = (held || timestampExpired) && peer.urgent;
    peer.lastSent = now;
    if (!peer.unansweredSince)
        peer.unansweredSince = now;
    peer.sharesTasks = sharesTasks;
    return batch;
}

/// Called with m_mutex held.
Milliseconds PeerLinks::sendInterval(const Peer& peer) const
{
    if (peer.repeat)
        return retryInterval;
    if (peer.urgent)
        return Milliseconds { 0 };
    return peer.channel->isEmpty() ? keepAliveInterval(peer) : maxMessageDelay;
}

/// Called with m_mutex held.
bool PeerLinks::isDue(const Peer& peer, TimePoint now) const
{
    if (peer.batchInFlight)
        return false;
    if (!peer.contact && !peer.sharesTasks && peer.channel->isEmpty())
        return false;
    return now - peer.lastSent >= sendInterval(peer);
}

/// Called with m_mutex held.
void PeerLinks::removeFormerMembers(TimePoint now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        const Peer& peer = *entry->second;
        if (peer.member || peer.batchInFlight || now - std::max(peer.removedAt, peer.lastReplyAt) <= formerMemberTimeout) {
            ++entry;
            continue;
        }
        m_discarded.add(peer.id, "link-removed", peer.channel->discardPending());
        entry = m_peers.erase(entry);
    }
}

void PeerLinks::sendDueBatches()
{
    std::vector<PeerPointer> due;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = bootTimeNow();
        removeFormerMembers(now);
        for (const auto& entry : m_peers) {
            // The last reply of a VM that is not in regular contact may be older.
            if (entry.second->unansweredSince && now - *entry.second->unansweredSince > maxUndeliveredTime)
                m_discarded.add(entry.first, "unanswered", entry.second->channel->discardPending());
            if (isDue(*entry.second, now))
                due.push_back(entry.second);
        }
    }
    for (const PeerPointer& peer : due)
        sendBatch(peer);
}

void PeerLinks::sendBatch(const PeerPointer& peer)
{
    if (m_stopping)
        return;
    const WorkScope scope(m_context.work, WorkKind::BatchSent);
    DispatchBatch batch = makeBatch(*peer);
    HttpRequest request;
    request.method = "POST";
    request.path = dispatchPath;
    request.body = toText(batch, bootTimeNow());
    std::string address;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        peer->batchInFlight = true;
        ++m_batchesInFlight;
        address = peer->address;
    }
    m_client.call(address, std::move(request), peerTimeouts, [this, peer, batch = std::move(batch)](const HttpResult& result) { onResult(peer, result, batch); });
}

void PeerLinks::onResult(const PeerPointer& peer, const HttpResult& result, const DispatchBatch& batch)
{
    const WorkScope scope(m_context.work, WorkKind::BatchSent);
    const std::optional<DispatchReply> reply = result.ok() && result.response.status == httpStatus::ok ? parseDispatchReply(result.response.body) : std::nullopt;
    bool sendNext = false;
    bool refusalBegins = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const bool refused = result.ok() && result.response.status != httpStatus::ok;
        refusalBegins = refused && !peer->refusesBatches;
        peer->refusesBatches = refused;
        peer->batchInFlight = false;
        peer->repeat = !reply;
        if (!reply) {
            // The pause until the repetition begins with the failure.
            peer->lastSent = bootTimeNow();
            peer->refusedConnections = result.failure == HttpFailure::ConnectFailed ? peer->refusedConnections + 1 : 0;
        }
    }
    if (refusalBegins)
        m_context.log.write(events::batchRefused, { { "peer", peer->id }, { "status", result.response.status }, { "messages", static_cast<std::int64_t>(batch.messages.size()) } });
    if (reply)
        onReply(*peer, *reply, batch);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        sendNext = reply && peer->urgent && !peer->batchInFlight && !peer->sendPosted;
        --m_batchesInFlight;
        m_batchEnded.notify_all();
    }
    if (sendNext)
        sendBatch(peer);
}

void PeerLinks::onReply(Peer& peer, const DispatchReply& reply, const DispatchBatch& batch)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    PeerChannel::ReplyResult replyResult;
    // Under one lock, so that no message meant for the previous incarnation is sent to the restarted process.
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            replyResult = peer.channel->onReply(batch.stamp, batch.messages.size(), reply.channel);
            if (!replyResult.accepted)
                return;
            peer.lastReplyAt = now;
            peer.unansweredSince.reset();
            peer.refusedConnections = 0;
            peer.urgent = peer.urgent || (!reply.channel.accepted && !peer.channel->isEmpty());
        }
        if (replyResult.peerRestarted)
            dispatcher.onPeerRestarted(peer.id, now);
        dispatcher.onPeerReply(peer.id, reply.channel.accepted, now);
    });
    if (replyResult.peerRestarted)
        logPeerRestart(peer.id, reply.channel.processIncarnation, "reply");
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    if (reply.configurationVersion > (configuration ? configuration->version : 0))
        fetchConfiguration(peer.address);
}

void PeerLinks::logPeerRestart(const VmId& vm, std::uint64_t processIncarnation, const char* seen)
{
    m_context.log.write(events::vmRestarted, { { "peer", vm }, { "life", static_cast<std::int64_t>(processIncarnation) }, { "seen", seen } });
}

void PeerLinks::fetchConfiguration(const std::string& address)
{
    // All peers report a new version at about the same time; one copy of it is enough.
    if (m_fetchingConfiguration.exchange(true))
        return;
    HttpRequest request;
    request.path = configurationPath;
    m_client.call(address, std::move(request), configurationTimeouts, [this](const HttpResult& result) {
        if (!result.ok() || result.response.status != httpStatus::ok || result.response.body.empty()) {
            m_fetchingConfiguration = false;
            return;
        }
        m_context.background.post([this, text = result.response.body] {
            m_context.kernel.find<StoreWatcher>(fleetServices::storeWatcher).applyConfiguration(text, "peer");
            m_fetchingConfiguration = false;
        });
    });
}

void PeerLinks::handleRequest(const std::shared_ptr<HttpExchange>& exchange)
{
    const WorkScope scope(m_context.work, WorkKind::BatchReceived);
    const HttpRequest& request = exchange->request();
    HttpResponse response;
    if (request.method == "GET" && request.path == configurationPath) {
        response.body = m_context.kernel.find<DispatchService>(fleetServices::dispatch).configurationText();
    } else if (request.method != "POST" || request.path != dispatchPath) {
        response.status = httpStatus::notFound;
    } else {
        std::vector<ValidationError> errors;
        if (std::optional<DispatchBatch> batch = parseDispatchBatch(request.body, bootTimeNow(), errors)) {
            response.body = toText(handleBatch(std::move(*batch)));
        } else {
            response.status = httpStatus::badRequest;
            m_context.metrics.countRejectedBatch();
            m_context.log.write(events::batchRejected, { { "bytes", static_cast<std::int64_t>(request.body.size()) }, { "error", errors.empty() ? std::string() : toString(errors.front()) }, { "start", request.body.substr(0, rejectedBatchExcerpt) } });
        }
    }
    exchange->reply(std::move(response));
}

DispatchReply PeerLinks::handleBatch(DispatchBatch batch)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchReply reply;
    reply.channel.processIncarnation = m_context.processIncarnation;
    reply.channel.timestamp = PeerChannel::timestampAt(bootTimeNow());
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    reply.configurationVersion = configuration ? configuration->version : 0;
    PeerChannel::BatchResult batchResult;
    // The age check and the processing happen under one lock: the process may have been suspended since the batch arrived.
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            reply.epoch = m_epoch;
            batchResult = channel(batch.sender).onBatch(batch.stamp, batch.messages.size(), now);
            // Before the messages are processed, which may cause replies.
            if (batchResult.accepted)
                linkToSender(batch);
        }
        if (batchResult.peerRestarted)
            dispatcher.onPeerRestarted(batch.sender, now);
        // Its revision says whether it is news, also in a batch that was delayed. Before the batch's requests: these must not
        // be started where that is no longer allowed.
        if (batch.evacuations)
            dispatcher.setEvacuations(*batch.evacuations, EvacuationSource::Peer, now);
        if (!batchResult.accepted)
            return;
        batch.messages.erase(batch.messages.begin(), batch.messages.begin() + static_cast<std::ptrdiff_t>(batchResult.duplicates));
        dispatcher.onPeerMessages(batch.sender, batch.messages, batch.capacity, now, { batchResult.maxAge, batch.executorLag });
    });
    reply.channel.accepted = batchResult.accepted;
    if (batchResult.peerRestarted)
        logPeerRestart(batch.sender, batch.stamp.processIncarnation, "batch");
    if (!batchResult.accepted && !batch.messages.empty() && batch.stamp.receiverProcessIncarnation == m_context.processIncarnation)
        m_context.log.write(events::staleBatch, { { "peer", batch.sender }, { "messages", static_cast<std::int64_t>(batch.messages.size()) } });
    return reply;
}

std::vector<UnresponsivePeer> PeerLinks::unresponsivePeers() const
{
    // VMs that replied more recently count as responsive.
    constexpr Milliseconds responsiveThreshold { 150 };
    std::vector<UnresponsivePeer> unresponsive;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& entry : m_peers) {
        const Peer& peer = *entry.second;
        if (!peer.member || !peer.unansweredSince)
            continue;
        // A VM that is not a regular contact is silent only since a batch to it was due.
        const TimePoint silentSince = std::max(peer.lastReplyAt, *peer.unansweredSince - maxSharingKeepAliveInterval);
        const Milliseconds silence = toMilliseconds(bootTimeNow() - silentSince);
        if (silence > responsiveThreshold)
            unresponsive.push_back({ entry.first, silence, peer.refusedConnections > 1 });
    }
    return unresponsive;
}

} // namespace egrettrestle
