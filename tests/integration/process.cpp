#include "process.hpp"

#include <cerrno>
#include <csignal>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle::testing {

namespace {

    constexpr Seconds stopTimeout { 20 };
    constexpr Milliseconds pollInterval { 10 };

}

std::mutex& forkMutex()
{
    static std::mutex mutex;
    return mutex;
}

Process::Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
    : m_id(-1)
{
    std::vector<char*> argumentPointers { const_cast<char*>(program.c_str()) };
    for (const std::string& argument : arguments)
        argumentPointers.push_back(const_cast<char*>(argument.c_str()));
    argumentPointers.push_back(nullptr);
    int pipeEnds[2];
    const std::lock_guard<std::mutex> lock(forkMutex());
    if (pipe(pipeEnds) != 0)
        throw std::runtime_error("pipe failed");
    m_id = fork();
    if (m_id != 0) {
        close(pipeEnds[1]);
        // Ends when the child executes the program: until then it holds this process's connections, for as long as it is
        // suspended.
        char byte = 0;
        while (m_id > 0 && read(pipeEnds[0], &byte, 1) < 0 && errno == EINTR) { }
        close(pipeEnds[0]);
        if (m_id < 0)
            throw std::runtime_error("fork failed");
        return;
    }
    // Ends the child with its parent, so that a test killed from outside leaves no processes behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // A connection that the program has inherited would stay open when this process closes it.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    execv(program.c_str(), argumentPointers.data());
    _exit(127);
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (!m_ended)
        ::kill(m_id, number);
}

void Process::kill()
{
    signal(SIGKILL);
    reap(true);
}

void Process::suspend() const { signal(SIGSTOP); }

void Process::resume() const { signal(SIGCONT); }

int Process::terminate()
{
    signal(SIGTERM);
    return wait();
}

int Process::wait()
{
    const TimePoint end = SteadyClock::now() + stopTimeout;
    while (!reap(false) && SteadyClock::now() < end)
        std::this_thread::sleep_for(pollInterval);
    return m_ended && WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

bool Process::running()
{
    return !reap(false);
}

bool Process::reap(bool block)
{
    if (!m_ended && waitpid(m_id, &m_status, block ? 0 : WNOHANG) == m_id)
        m_ended = true;
    return m_ended;
}

} // namespace egrettrestle::testing
