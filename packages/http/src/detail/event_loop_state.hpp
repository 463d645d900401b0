#pragma once

#include <atomic>
#include <chrono>
#include <optional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <egrettrestle/http/event_loop.hpp>

namespace egrettrestle {

struct EventLoop::State {
    /// The times of repeated functions are counted from here.
    const std::chrono::steady_clock::time_point origin = std::chrono::steady_clock::now();
    // One thread runs the context; others may post to it.
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    ErrorHandler onError;
    std::thread thread;
    std::atomic<std::thread::id> threadId {};
    std::atomic<TimePoint> inputHandledUntil { bootTimeNow() };
    bool measuringInput = false;

    void run();
};

} // namespace egrettrestle
