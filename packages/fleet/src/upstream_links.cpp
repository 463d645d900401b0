#include <egrettrestle/fleet/upstream_links.hpp>

#include <set>

#include <egrettrestle/fleet/dispatch_service.hpp>

namespace egrettrestle {

namespace {

    // Orders to one upstream that can be in flight at a time, so that one without a reply does not delay the others.
    constexpr int maxOrdersInFlight = 4;
    // Pauses after a failed poll, and between polls that do not wait at the upstream, as while the runs of a newly owned
    // upstream are being determined.
    constexpr Milliseconds failedPollDelay { 40 };
    constexpr Milliseconds settlePollDelay { 30 };

}

/// Queued orders of one upstream. Guarded by UpstreamLinks::m_mutex.
struct UpstreamLinks::Link {
    UpstreamInfo info;
    OrderQueue<Order> orders { maxOrdersInFlight };
    /// A call that sends queued orders is posted to the event loop.
    bool sendPosted = false;
    /// Queued orders are being sent. Used on the loop's thread only.
    bool sending = false;
    bool stopping = false;
};

UpstreamLinks::UpstreamLinks(FleetContext& context)
    : m_context(context)
{
}

UpstreamLinks::~UpstreamLinks() = default;

void UpstreamLinks::stop()
{
    setOwned({});
    std::unique_lock<std::mutex> lock(m_mutex);
    m_callEnded.wait(lock, [this] { return m_calls == 0; });
}

void UpstreamLinks::setOwned(const std::vector<UpstreamInfo>& owned)
{
    std::set<UpstreamId> ids;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const UpstreamInfo& info : owned) {
        ids.insert(info.id);
        LinkPointer& link = m_links[info.id];
        if (link) {
            link->info = info;
            continue;
        }
        link = std::make_shared<Link>();
        link->info = info;
        ++m_calls;
        // The caller holds the dispatcher's lock, which the poll needs.
        m_context.loop.post([this, link] { pollAgain(link); });
    }
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        if (ids.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        entry->second->stopping = true;
        entry = m_links.erase(entry);
    }
}

void UpstreamLinks::enqueue(const UpstreamId& upstream, Order order)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_links.find(upstream);
    if (found == m_links.end())
        return;
    const LinkPointer link = found->second;
    ++m_calls;
    link->orders.add(std::move(order));
    // The caller holds the dispatcher's lock, which is needed to check the order.
    if (!link->sendPosted)
        m_context.loop.post([this, link] { sendQueued(link); });
    link->sendPosted = true;
}

void UpstreamLinks::sendQueued(const LinkPointer& link)
{
    if (link->sending)
        return;
    link->sending = true;
    while (const std::optional<Order> order = takeOrder(link)) {
        if (!(*order)(link))
            onOrderDone(link);
    }
    link->sending = false;
}

std::optional<UpstreamLinks::Order> UpstreamLinks::takeOrder(const LinkPointer& link)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    link->sendPosted = false;
    return link->orders.take();
}

UpstreamInfo UpstreamLinks::infoOf(const LinkPointer& link)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return link->info;
}

void UpstreamLinks::onOrderDone(const LinkPointer& link)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        link->orders.onDone();
    }
    sendQueued(link);
    endCall();
}

void UpstreamLinks::endCall()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_calls;
    m_callEnded.notify_all();
}

void UpstreamLinks::start(const StartOrder& order)
{
    enqueue(order.upstream, [this, order](const LinkPointer& link) {
        const WorkScope scope(m_context.work, WorkKind::Order);
        DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
        const std::optional<StartOrder> current = dispatch.withDispatcher([&order](Dispatcher& dispatcher, TimePoint now) { return dispatcher.startToSend(order, now); });
        if (!current) {
            m_context.metrics.countWithheldStart();
            return false;
        }
        m_context.metrics.countStart("run");
        m_context.platform.upstreams->start(infoOf(link), *current, [this, link, current = *current, &dispatch](const OrderReply& reply) {
            const WorkScope replyScope(m_context.work, WorkKind::Order);
            dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onStartReply(current, reply, now); });
            onOrderDone(link);
        });
        return true;
    });
}

void UpstreamLinks::stop(const StopOrder& order)
{
    enqueue(order.upstream, [this, order](const LinkPointer& link) {
        const WorkScope scope(m_context.work, WorkKind::Order);
        DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
        const std::optional<StopOrder> current = dispatch.withDispatcher([&order](Dispatcher& dispatcher, TimePoint) { return dispatcher.stopToSend(order); });
        if (!current)
            return false;
        m_context.platform.upstreams->stop(infoOf(link), *current, [this, link, current = *current, &dispatch](const OrderReply& reply) {
            const WorkScope replyScope(m_context.work, WorkKind::Order);
            dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onStopReply(current, reply, now); });
            onOrderDone(link);
        });
        return true;
    });
}

void UpstreamLinks::pollNow(const UpstreamId& upstream)
{
    enqueue(upstream, [this](const LinkPointer& link) {
        poll(link, true, [this, link](Milliseconds) { onOrderDone(link); });
        return true;
    });
}

void UpstreamLinks::pollAgain(const LinkPointer& link)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (link->stopping) {
            --m_calls;
            m_callEnded.notify_all();
            return;
        }
    }
    poll(link, false, [this, link](Milliseconds delay) { pollAfter(link, delay); });
}

void UpstreamLinks::pollAfter(const LinkPointer& link, Milliseconds delay)
{
    if (delay.count() == 0)
        pollAgain(link);
    else
        m_context.loop.runAfter(delay, [this, link] { pollAgain(link); });
}

void UpstreamLinks::poll(const LinkPointer& link, bool immediate, std::function<void(Milliseconds)> onDone)
{
    const WorkScope scope(m_context.work, WorkKind::Poll);
    const UpstreamInfo info = infoOf(link);
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    std::optional<PollOrder> order = dispatch.withDispatcher([&info](Dispatcher& dispatcher, TimePoint now) { return dispatcher.nextPoll(info.id, now); });
    if (!order) {
        onDone(settlePollDelay);
        return;
    }
    if (immediate)
        order->wait = Milliseconds { 0 };
    m_context.platform.upstreams->poll(info, *order, [this, order = *order, sentAt = bootTimeNow(), onDone = std::move(onDone)](const PollReply& reply) {
        const WorkScope replyScope(m_context.work, WorkKind::Poll);
        m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onPollReply(order, reply, sentAt, now); });
        if (reply.outcome != OrderOutcome::Accepted)
            onDone(failedPollDelay);
        else
            onDone(order.wait.count() > 0 ? Milliseconds { 0 } : settlePollDelay);
    });
}

} // namespace egrettrestle
