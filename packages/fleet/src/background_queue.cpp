#include <egrettrestle/fleet/background_queue.hpp>

#include <exception>

namespace egrettrestle {

BackgroundQueue::BackgroundQueue(std::function<void(const std::string& message)> onError)
    : m_onError(std::move(onError))
    , m_thread([this] { run(); })
{
}

BackgroundQueue::~BackgroundQueue()
{
    stop();
}

void BackgroundQueue::post(std::function<void()> function)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_functions.push_back(std::move(function));
    }
    m_posted.notify_one();
}

void BackgroundQueue::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_posted.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

void BackgroundQueue::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_posted.wait(lock, [this] { return m_stopping || !m_functions.empty(); });
        if (m_stopping)
            return;
        const std::function<void()> function = std::move(m_functions.front());
        m_functions.pop_front();
        lock.unlock();
        try {
            function();
        } catch (const std::exception& error) {
            m_onError(error.what());
        }
        lock.lock();
    }
}

} // namespace egrettrestle
