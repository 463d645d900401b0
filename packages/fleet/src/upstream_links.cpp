#include <egrettrestle/fleet/upstream_links.hpp>

#include <set>

#include <egrettrestle/fleet/dispatch_service.hpp>

namespace egrettrestle {

namespace {

    // Orders to one upstream that can be in flight at a time, so that one without a reply does not delay the others.
    constexpr int maxOrderThreads = 4;
    // Pauses after a failed poll, and between polls that do not wait at the upstream, as while the runs of a newly owned
    // upstream are being determined.
    constexpr Milliseconds failedPollDelay { 40 };
    constexpr Milliseconds settlePollDelay { 30 };

}

/// Connection state and queued orders of one upstream. Guarded by `mutex`.
struct UpstreamLinks::Link {
    UpstreamInfo info;
    std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable orderAvailable;
    std::deque<Order> orders;
    int orderThreads = 0;
    int idleThreads = 0;
    bool stopping = false;

    /// Waits; false if the link is being stopped.
    bool waitUnlessStopping(Milliseconds time)
    {
        std::unique_lock<std::mutex> lock(mutex);
        wake.wait_for(lock, time, [this] { return stopping; });
        return !stopping;
    }

    UpstreamInfo currentInfo()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return info;
    }
};

UpstreamLinks::UpstreamLinks(FleetContext& context)
    : m_context(context)
{
}

UpstreamLinks::~UpstreamLinks()
{
    stop();
}

void UpstreamLinks::stop()
{
    setOwned({});
    std::unique_lock<std::mutex> lock(m_mutex);
    m_threadEnded.wait(lock, [this] { return m_threads == 0; });
}

void UpstreamLinks::setOwned(const std::vector<UpstreamInfo>& owned)
{
    std::set<UpstreamId> ids;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const UpstreamInfo& info : owned) {
        ids.insert(info.id);
        std::shared_ptr<Link>& link = m_links[info.id];
        if (link) {
            const std::lock_guard<std::mutex> linkLock(link->mutex);
            link->info = info;
            continue;
        }
        link = std::make_shared<Link>();
        link->info = info;
        startThread(link, &UpstreamLinks::pollLoop);
    }
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        if (ids.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        {
            const std::lock_guard<std::mutex> linkLock(entry->second->mutex);
            entry->second->stopping = true;
        }
        entry->second->wake.notify_all();
        entry->second->orderAvailable.notify_all();
        entry = m_links.erase(entry);
    }
}

/// Called with m_mutex held.
void UpstreamLinks::startThread(const std::shared_ptr<Link>& link, void (UpstreamLinks::*loop)(const std::shared_ptr<Link>&))
{
    ++m_threads;
    std::thread([this, link, loop] {
        (this->*loop)(link);
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_threads;
        m_threadEnded.notify_all();
    }).detach();
}

void UpstreamLinks::enqueue(const UpstreamId& upstream, Order order)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_links.find(upstream);
    if (found == m_links.end())
        return;
    const std::shared_ptr<Link>& link = found->second;
    bool needThread = false;
    {
        const std::lock_guard<std::mutex> linkLock(link->mutex);
        link->orders.push_back(std::move(order));
        needThread = link->idleThreads < static_cast<int>(link->orders.size()) && link->orderThreads < maxOrderThreads;
        if (needThread)
            ++link->orderThreads;
    }
    link->orderAvailable.notify_one();
    if (needThread)
        startThread(link, &UpstreamLinks::orderLoop);
}

void UpstreamLinks::start(const StartOrder& order)
{
    enqueue(order.upstream, [this, order](Link& link) {
        const OrderReply reply = m_context.platform.upstreams->start(link.currentInfo(), order);
        m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onStartReply(order, reply, now); });
    });
}

void UpstreamLinks::stop(const StopOrder& order)
{
    enqueue(order.upstream, [this, order](Link& link) {
        const OrderReply reply = m_context.platform.upstreams->stop(link.currentInfo(), order);
        m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onStopReply(order, reply, now); });
    });
}

void UpstreamLinks::pollNow(const UpstreamId& upstream)
{
    enqueue(upstream, [this](Link& link) { pollOnce(link, true); });
}

bool UpstreamLinks::pollOnce(Link& link, bool immediate)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    const UpstreamInfo info = link.currentInfo();
    std::optional<PollOrder> order = dispatch.withDispatcher([&info](Dispatcher& dispatcher, TimePoint now) { return dispatcher.nextPoll(info.id, now); });
    if (!order)
        return true;
    if (immediate)
        order->wait = Milliseconds { 0 };
    const TimePoint sentAt = bootTimeNow();
    const PollReply reply = m_context.platform.upstreams->poll(info, *order);
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onPollReply(*order, reply, sentAt, now); });
    if (reply.outcome != OrderOutcome::Accepted)
        return link.waitUnlessStopping(failedPollDelay);
    return order->wait.count() > 0 || link.waitUnlessStopping(settlePollDelay);
}

void UpstreamLinks::pollLoop(const std::shared_ptr<Link>& link)
{
    while (true) {
        {
            const std::lock_guard<std::mutex> lock(link->mutex);
            if (link->stopping)
                return;
        }
        if (!pollOnce(*link, false))
            return;
    }
}

void UpstreamLinks::orderLoop(const std::shared_ptr<Link>& link)
{
    std::unique_lock<std::mutex> lock(link->mutex);
    while (true) {
        ++link->idleThreads;
        link->orderAvailable.wait(lock, [&link] { return link->stopping || !link->orders.empty(); });
        --link->idleThreads;
        if (link->orders.empty())
            return;
        const Order order = std::move(link->orders.front());
        link->orders.pop_front();
        lock.unlock();
        order(*link);
        lock.lock();
    }
}

} // namespace egrettrestle
