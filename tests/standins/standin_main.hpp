#pragma once

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/http/server.hpp>

namespace egrettrestle::standin {

inline std::atomic<bool> stopRequested { false };

/// Runs the server until SIGTERM or SIGINT. Returns the exit code: 0, or 1 if the server could not be started.
inline int serve(HttpServer& server)
{
    constexpr Milliseconds pollInterval { 50 };
    std::signal(SIGTERM, [](int) { stopRequested = true; });
    std::signal(SIGINT, [](int) { stopRequested = true; });
    std::signal(SIGPIPE, SIG_IGN);
    const absl::Status status = server.start();
    if (!status.ok()) {
        std::cerr << status.message() << '\n';
        return 1;
    }
    while (!stopRequested)
        std::this_thread::sleep_for(pollInterval);
    server.stop();
    return 0;
}

inline HttpResponse jsonResponse(std::string body, int status = httpStatus::ok)
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

} // namespace egrettrestle::standin
