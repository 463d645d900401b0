#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

namespace egrettrestle::testing {

/// Held while a socket is open that no child may inherit, and while a child is made.
std::mutex& forkMutex();

/// A child process. It is killed when it goes out of scope.
class Process {
public:
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    void kill();
    void freeze() const;
    void thaw() const;
    /// Sends SIGTERM and waits; the exit code, or -1 if it did not end in time or by a signal.
    int terminate();
    /// Waits for the end; the exit code, or -1 if it did not end in time or ended by a signal.
    int wait();
    bool running();
    pid_t id() const { return m_id; }

private:
    bool reap(bool block);

    pid_t m_id;
    bool m_ended = false;
    int m_status = 0;
};

} // namespace egrettrestle::testing
