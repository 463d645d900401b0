#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace egrettrestle {

/// Functions that take too long for the event loop, such as parsing a large configuration. A thread of its own runs them in
/// order, so that they delay neither the loop nor a planned stop. Thread-safe.
class BackgroundQueue {
public:
    /// `onError` gets the messages of exceptions of the functions.
    explicit BackgroundQueue(std::function<void(const std::string& message)> onError);
    /// Calls stop().
    ~BackgroundQueue();
    BackgroundQueue(const BackgroundQueue&) = delete;
    BackgroundQueue& operator=(const BackgroundQueue&) = delete;

    /// Queues a function; it is dropped after stop().
    void post(std::function<void()> function);
    /// Waits for the function that is running, and drops the others.
    void stop();

private:
    void run();

    std::function<void(const std::string& message)> m_onError;
    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::deque<std::function<void()>> m_functions;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace egrettrestle
