#include <egrettrestle/fleet/upstream_links.hpp>

#include <set>

#include <egrettrestle/fleet/dispatch_service.hpp>

namespace egrettrestle {

namespace {

    // Orders to one upstream that may be on their way at a time, so that one without an answer does not hold up the others.
    constexpr int mostOrderThreads = 4;
    // Pause after a look that failed, and between looks while what runs at a new upstream is being settled.
    constexpr Milliseconds failedLookPause { 40 };
    constexpr Milliseconds settlePause { 30 };

}

/// What is sent to one upstream.
struct UpstreamLinks::Link {
    UpstreamInfo info;
    std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable orderWake;
    std::deque<Order> orders;
    int orderThreads = 0;
    int idleThreads = 0;
    bool stopping = false;

    bool pause(Milliseconds time)
    {
        std::unique_lock<std::mutex> lock(mutex);
        wake.wait_for(lock, time, [this] { return stopping; });
        return !stopping;
    }

    UpstreamInfo target()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return info;
    }
};

UpstreamLinks::UpstreamLinks(FleetContext& node)
    : m_node(node)
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
    m_ended.wait(lock, [this] { return m_threads == 0; });
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
        spawn(link, &UpstreamLinks::lookLoop);
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
        entry->second->orderWake.notify_all();
        entry = m_links.erase(entry);
    }
}

/// Called with m_mutex held.
void UpstreamLinks::spawn(const std::shared_ptr<Link>& link, void (UpstreamLinks::*loop)(const std::shared_ptr<Link>&))
{
    ++m_threads;
    std::thread([this, link, loop] {
        (this->*loop)(link);
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_threads;
        m_ended.notify_all();
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
        needThread = link->idleThreads < static_cast<int>(link->orders.size()) && link->orderThreads < mostOrderThreads;
        if (needThread)
            ++link->orderThreads;
    }
    link->orderWake.notify_one();
    if (needThread)
        spawn(link, &UpstreamLinks::orderLoop);
}

void UpstreamLinks::start(const StartOrder& order)
{
    enqueue(order.upstream, [this, order](Link& link) {
        const OrderReply reply = m_node.platform.upstreams->start(link.target(), order);
        m_node.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onStartReply(order, reply, now); });
    });
}

void UpstreamLinks::stop(const StopOrder& order)
{
    enqueue(order.upstream, [this, order](Link& link) {
        const OrderReply reply = m_node.platform.upstreams->stop(link.target(), order);
        m_node.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onStopReply(order, reply, now); });
    });
}

void UpstreamLinks::pollNow(const UpstreamId& upstream)
{
    enqueue(upstream, [this](Link& link) { lookOnce(link, true); });
}

bool UpstreamLinks::lookOnce(Link& link, bool immediate)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    const UpstreamInfo info = link.target();
    std::optional<PollOrder> order = dispatch.withDispatcher([&info](Dispatcher& dispatcher, TimePoint now) { return dispatcher.nextPoll(info.id, now); });
    if (!order)
        return true;
    if (immediate)
        order->wait = Milliseconds { 0 };
    const TimePoint sentAt = bootTimeNow();
    const PollReply reply = m_node.platform.upstreams->poll(info, *order);
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onPollReply(*order, reply, sentAt, now); });
    if (reply.outcome != OrderOutcome::Accepted)
        return link.pause(failedLookPause);
    return order->wait.count() > 0 || link.pause(settlePause);
}

void UpstreamLinks::lookLoop(const std::shared_ptr<Link>& link)
{
    while (true) {
        {
            const std::lock_guard<std::mutex> lock(link->mutex);
            if (link->stopping)
                return;
        }
        if (!lookOnce(*link, false))
            return;
    }
}

void UpstreamLinks::orderLoop(const std::shared_ptr<Link>& link)
{
    std::unique_lock<std::mutex> lock(link->mutex);
    while (true) {
        ++link->idleThreads;
        link->orderWake.wait(lock, [&link] { return link->stopping || !link->orders.empty(); });
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
