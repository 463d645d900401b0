#pragma once

#include <deque>
#include <optional>
#include <utility>

namespace egrettrestle {

/// The orders to one upstream: those that wait to be sent, and the number of those in flight, which is limited (a bulkhead).
/// An upstream that does not reply thereby takes up few connections, and one order without a reply does not delay the others.
/// An order may wait here until it no longer stands, so it has to be checked once it is taken. Not thread-safe.
template <typename Order>
class OrderQueue {
public:
    explicit OrderQueue(int maxInFlight)
        : m_maxInFlight(maxInFlight)
    {
    }

    /// Queues an order.
    void add(Order order) { m_waiting.push_back(std::move(order)); }

    /// Takes the next order, which is in flight until onDone() is called. Empty if none waits or as many as allowed are in
    /// flight.
    std::optional<Order> take()
    {
        if (m_waiting.empty() || m_inFlight >= m_maxInFlight)
            return std::nullopt;
        std::optional<Order> order = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_inFlight;
        return order;
    }

    /// Ends an order that was taken: its result is known, or it was not sent.
    void onDone() { --m_inFlight; }

private:
    int m_maxInFlight;
    int m_inFlight = 0;
    std::deque<Order> m_waiting;
};

} // namespace egrettrestle
