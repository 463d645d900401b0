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
    std::deque<Order> orders;
    int ordersInFlight = 0;
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
    if (link->ordersInFlight == maxOrdersInFlight) {
        link->orders.push_back(std::move(order));
        return;
    }
    ++link->ordersInFlight;
    order(link);
}

void UpstreamLinks::onOrderDone(const LinkPointer& link)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        --link->ordersInFlight;
        if (!link->orders.empty()) {
            const Order order = std::move(link->orders.front());
            link->orders.pop_front();
            ++link->ordersInFlight;
            order(link);
        }
    }
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
        m_context.platform.upstreams->start(link->info, order, [this, link, order](const OrderReply& reply) {
            m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onStartReply(order, reply, now); });
            onOrderDone(link);
        });
    });
}

void UpstreamLinks::stop(const StopOrder& order)
{
    enqueue(order.upstream, [this, order](const LinkPointer& link) {
        m_context.platform.upstreams->stop(link->info, order, [this, link, order](const OrderReply& reply) {
            m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onStopReply(order, reply, now); });
            onOrderDone(link);
        });
    });
}

void UpstreamLinks::pollNow(const UpstreamId& upstream)
{
    // The dispatcher's lock is needed, which the caller holds.
    enqueue(upstream, [this](const LinkPointer& link) {
        m_context.loop.post([this, link] { poll(link, true, [this, link](Milliseconds) { onOrderDone(link); }); });
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
    UpstreamInfo info;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        info = link->info;
    }
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    std::optional<PollOrder> order = dispatch.withDispatcher([&info](Dispatcher& dispatcher, TimePoint now) { return dispatcher.nextPoll(info.id, now); });
    if (!order) {
        onDone(settlePollDelay);
        return;
    }
    if (immediate)
        order->wait = Milliseconds { 0 };
    m_context.platform.upstreams->poll(info, *order, [this, order = *order, sentAt = bootTimeNow(), onDone = std::move(onDone)](const PollReply& reply) {
        m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onPollReply(order, reply, sentAt, now); });
        if (reply.outcome != OrderOutcome::Accepted)
            onDone(failedPollDelay);
        else
            onDone(order.wait.count() > 0 ? Milliseconds { 0 } : settlePollDelay);
    });
}

} // namespace egrettrestle
