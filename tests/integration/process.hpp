#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

namespace egrettrestle::testing {

/// Serialises fork() with the use of sockets that no child process may inherit.
std::mutex& forkMutex();

/// A child process. Killed with SIGKILL on destruction.
class Process {
public:
    /// Starts the program with its standard output and error appended to `logFile`. Throws std::runtime_error if fork()
    /// fails; a program that cannot be executed ends with exit code 127.
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Stops the process with SIGSTOP.
    void suspend() const;
    /// Continues a suspended process with SIGCONT.
    void resume() const;
    /// Sends SIGTERM and waits as wait() does.
    int terminate();
    /// Waits for the end. Returns the exit code, or -1 if the process did not end in time or was ended by a signal.
    int wait();
    bool running();
    pid_t id() const { return m_id; }

private:
    /// Collects the exit status. Returns whether the process has ended.
    bool reap(bool block);

    pid_t m_id;
    bool m_ended = false;
    int m_status = 0;
};

} // namespace egrettrestle::testing
