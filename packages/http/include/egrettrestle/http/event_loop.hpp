#pragma once

#include <functional>
#include <memory>
#include <string>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// One thread that runs all network I/O and timers of a process, whatever the number of connections. The functions run on
/// it must not block.
class EventLoop {
public:
    /// Called with the message of an exception that a function threw; the loop goes on with the next function.
    using ErrorHandler = std::function<void(const std::string&)>;

    explicit EventLoop(ErrorHandler onError = {});
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Starts the thread.
    void start();
    /// Ends the thread. Functions that have not run yet are discarded. Must not be called on the loop's thread.
    void stop();

    /// Runs a function on the loop's thread, later and never within this call. Thread-safe.
    void post(std::function<void()> function);
    /// Runs a function once after a delay. Thread-safe.
    void runAfter(Milliseconds delay, std::function<void()> function);
    /// Runs a function at regular intervals until the loop stops. Thread-safe.
    void runEvery(Milliseconds interval, std::function<void()> function);
    /// Whether the calling thread is the loop's.
    bool isLoopThread() const;
    /// A time, by the boot clock, such that all connections and data that had arrived by then have been passed to those who
    /// wait for them. What is read now has arrived later. It is at most some tens of milliseconds ago, unless the process
    /// stood still or the loop has more to do than it can. Thread-safe.
    TimePoint inputHandledUntil() const;

    struct State;
    /// For the client and the server of this package.
    State& state() { return *m_state; }

private:
    void measureInput();

    std::unique_ptr<State> m_state;
};

} // namespace egrettrestle
