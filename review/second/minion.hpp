#pragma once

#include <condition_variable>
#include <map>
#include <thread>

#include <egrettrestle/http/server.hpp>

#include "harness.hpp"

namespace egrettrestle::review {

/// What a minion says of itself.
struct MinionSettings {
    std::string id;
    std::string zone = "almaty-a";
    std::string kind = "a";
    std::string rack = "r1-1";
    std::int64_t cpu = 64'000;
    std::int64_t memoryMb = 262'144;
    /// How long a run goes on after its stop was accepted; at most `StopMs`.
    Milliseconds stopTime { 40 };
    /// Whether it rejects what does not fit. Must agree with `EnforcesCapacity` of its service.
    bool guards = true;
};

/// One start of a task, as a minion saw it.
struct Start {
    std::string task;
    std::uint64_t run = 0;
    std::string minion;
    std::string kind;
    std::int64_t atMs = 0;
    /// Sum of the declared `Cpu` of all that runs there, this start included.
    double cpuInUse = 0;
    std::int64_t cpuCapacity = 0;
    std::string requiredLabel;
};

/// One run of a task, from its begin to its end.
struct RunSpan {
    std::string task;
    std::uint64_t run = 0;
    std::string minion;
    std::int64_t beginMs = 0;
    std::int64_t endMs = 0;
    std::string how;
};

/// The starts of all minions of a case. Thread-safe.
class Starts {
public:
    void add(Start start);
    std::vector<Start> all() const;
    void addRun(RunSpan run);
    /// The runs that have ended.
    std::vector<RunSpan> runs() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Start> m_starts;
    std::vector<RunSpan> m_runs;
};

/// Stand-in for a minion: runs tasks under a lease, checks fencing tokens, instances and, where it guards it, its capacity. A
/// task runs for the milliseconds that its spec begins with.
class Minion {
public:
    Minion(standins::StoreStandin& store, Record& record, const JobBook& jobs, Starts& starts, MinionSettings settings);
    ~Minion();
    Minion(const Minion&) = delete;
    Minion& operator=(const Minion&) = delete;

    /// Crashes: all that runs is lost, connections break and new ones are refused.
    void crash();
    /// Starts again under the same id and address, as a machine of `kind`. Knows nothing of before.
    void startAgain(const std::string& kind);
    /// Cuts the minion off: nothing that is sent to it arrives, and nothing it sends does. Connections hang.
    void cutOff();
    /// Ends the cut.
    void reconnect();
    /// Crashes and starts again under the same id and address, as behind a cut. Knows nothing of before.
    void restartBehindCut();
    /// Whether a task of a job is at work.
    bool isRunning(const std::string& job) const;

private:
    struct Running {
        std::string task;
        std::uint64_t run;
        TimePoint doneAt;
        double cpu;
        std::int64_t beginMs;
        std::optional<TimePoint> stoppedAt;
    };

    struct Ended {
        std::uint64_t number;
        std::string task;
        std::uint64_t run;
        std::string how;
    };

    void listen(const std::string& address);
    void writeEntry();
    HttpResponse handle(const HttpRequest& request);
    HttpResponse start(const nlohmann::json& body);
    HttpResponse stop(const nlohmann::json& body);
    HttpResponse hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock);
    HttpResponse reply(int status, nlohmann::json fields = nlohmann::json::object()) const;
    HttpResponse refuse(const char* reason) const;
    bool accepts(const nlohmann::json& body);
    void extendLease(const nlohmann::json& body);
    void end(std::size_t index, const std::string& how);
    void endDue();
    void recordEnd(const Running& running, const std::string& how);
    /// Forgets everything, as a process that has just started.
    void resetState();
    void work();
    std::int64_t clock() const;

    standins::StoreStandin& m_store;
    Record& m_record;
    const JobBook& m_jobs;
    Starts& m_starts;
    MinionSettings m_settings;
    std::string m_address;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Running> m_running;
    std::vector<Ended> m_ended;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::uint64_t m_endNumber = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    std::uint64_t m_sequence = 0;
    std::int64_t m_born = 0;
    TimePoint m_startedAt;
    bool m_up = false;
    bool m_cutOff = false;
    bool m_stopping = false;
    std::thread m_thread;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace egrettrestle::review
