#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// Functions that take too long for the event loop, such as parsing a large configuration. One thread runs them in order.
/// Thread-safe.
class BackgroundQueue {
public:
    void post(std::function<void()> function);
    /// Runs the functions that are posted within a time, at the end of which it returns.
    void runFor(Milliseconds time);

private:
    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::deque<std::function<void()>> m_functions;
};

} // namespace egrettrestle
