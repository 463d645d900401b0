#include <egrettrestle/fleet/background_queue.hpp>

namespace egrettrestle {

void BackgroundQueue::post(std::function<void()> function)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_functions.push_back(std::move(function));
    }
    m_posted.notify_one();
}

void BackgroundQueue::runFor(Milliseconds time)
{
    const TimePoint end = SteadyClock::now() + time;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (m_posted.wait_until(lock, end, [this] { return !m_functions.empty(); })) {
        const std::function<void()> function = std::move(m_functions.front());
        m_functions.pop_front();
        lock.unlock();
        function();
        lock.lock();
        if (SteadyClock::now() >= end)
            return;
    }
}

} // namespace egrettrestle
