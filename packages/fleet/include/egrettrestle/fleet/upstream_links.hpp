#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include <egrettrestle/decision/order_queue.hpp>
#include <egrettrestle/decision/upstream_orders.hpp>
#include <egrettrestle/fleet/fleet_context.hpp>

namespace egrettrestle {

/// Sends orders to the upstreams that this VM owns and polls their status continuously, on the event loop: no method but
/// stop() waits for an upstream. Replies go to the dispatcher. Safe for use by several threads.
class UpstreamLinks : public KernelService {
public:
    explicit UpstreamLinks(FleetContext& context);
    ~UpstreamLinks() override;

    std::string name() const override { return fleetServices::upstreamLinks; }
    absl::Status start() override { return absl::OkStatus(); }
    void prepareStop() override { setOwned({}); }
    /// Waits until all calls have ended; orders that are queued are still sent if they stand.
    void stop() override;

    /// Sets the upstreams to poll; polling of all others stops.
    void setOwned(const std::vector<UpstreamInfo>& owned);

    /// Queue a call for an upstream; it is discarded if this VM does not own the upstream, or if the order no longer stands by
    /// the time at which it would be sent.
    /// @{
    void start(const StartOrder& order);
    void stop(const StopOrder& order);
    /// Polls without waiting for a run to end, ahead of the regular poll.
    void pollNow(const UpstreamId& upstream);
    /// @}

private:
    struct Link;
    using LinkPointer = std::shared_ptr<Link>;
    /// Sends an order; false if it was discarded instead.
    using Order = std::function<bool(const LinkPointer&)>;

    void enqueue(const UpstreamId& upstream, Order order);
    /// Sends queued orders until as many as allowed are in flight. Called on the loop's thread.
    void sendQueued(const LinkPointer& link);
    std::optional<Order> takeOrder(const LinkPointer& link);
    UpstreamInfo infoOf(const LinkPointer& link);
    void onOrderDone(const LinkPointer& link);
    void pollAgain(const LinkPointer& link);
    void pollAfter(const LinkPointer& link, Milliseconds delay);
    /// Polls once and calls `onDone` with the delay until the next regular poll.
    void poll(const LinkPointer& link, bool immediate, std::function<void(Milliseconds)> onDone);
    void endCall();

    FleetContext& m_context;
    std::mutex m_mutex;
    std::condition_variable m_callEnded;
    std::map<UpstreamId, LinkPointer> m_links;
    /// Orders that are queued or sent, and polls of upstreams that are, or were until the last poll, owned.
    int m_calls = 0;
};

} // namespace egrettrestle
