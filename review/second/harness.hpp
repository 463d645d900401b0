#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <egrettrestle/http/client.hpp>

#include "process.hpp"
#include "standins/store_standin.hpp"

namespace egrettrestle::review {

/// Exit codes of a case.
enum ExitCode {
    RuleHeld = 0,
    RuleBroken = 1,
    CouldNotRun = 2,
};

/// The record of a case: what was sent, answered and run, one line each, with the milliseconds since the begin. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& line);
    /// Milliseconds since the begin of the case.
    std::int64_t now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_begin;
};

/// The parts of a step that stand-ins of minions check.
struct StepNeed {
    /// As the client declared it.
    std::uint64_t cpu = 0;
    std::string requiredLabel;
};

/// What clients have submitted, by job and step. Thread-safe.
class JobBook {
public:
    void add(const std::string& job, unsigned step, StepNeed need);
    std::optional<StepNeed> find(const std::string& taskName) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, unsigned>, StepNeed> m_steps;
};

/// A job id of 16 hexadecimal digits.
std::string jobId(std::uint64_t number);

/// A small deployment with the bounds of `oyu-print`: daemons started with the command of the deploy file and with the
/// settings template of the project, and the store. All addresses are loopback addresses.
class Deployment {
public:
    enum class Port {
        Front,
        Ready,
        Peer,
        Metrics,
    };

    /// Daemon `i` is in the zone `zones[i]`, the last one in all that are missing.
    Deployment(Record& record, int daemons, std::vector<std::string> zones = { "almaty-a" });
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    standins::StoreStandin& store() { return m_store; }
    Record& record() { return m_record; }

    /// Writes a configuration with one queue, on the service `print-hub`, as the operator does.
    void publishConfiguration(std::uint64_t version, bool enforcesCapacity = true, std::int64_t targetLatencyMs = 1'000);

    /// Writes a configuration without a queue.
    void publishEmptyConfiguration(std::uint64_t version);

    void start(int daemon);
    testing::Process& process(int daemon) { return *m_processes.at(daemon); }
    bool isReady(int daemon) { return probe(daemon) == 200; }
    /// The status of a readiness probe; 0 without a reply within half a second.
    int probe(int daemon);
    /// Waits until all daemons that run are ready; false if they are not within 15 s.
    bool waitReady();
    const std::string& address(int daemon, Port port);
    /// Memory of a daemon that is resident, in megabytes; 0 if it has ended.
    std::int64_t residentMb(int daemon) const;
    /// The largest such value so far.
    std::int64_t peakResidentMb(int daemon) const;

    /// Processor time that a daemon has used, in milliseconds.
    std::int64_t processorMs(int daemon) const;

    /// Submits a job and waits for the answer; the status, or 0 if the connection broke or no answer came in time.
    int submit(int daemon, const std::string& job, const nlohmann::json& steps, const std::string& spec, std::int64_t deadlineMs);
    /// Sends DELETE for a job on a new connection.
    int cancel(int daemon, const std::string& job);

private:
    std::string settings(int daemon);

    Record& m_record;
    std::string m_directory;
    standins::StoreStandin m_store;
    std::map<int, std::unique_ptr<testing::Process>> m_processes;
    std::map<std::pair<int, Port>, std::string> m_addresses;
    int m_daemons = 0;
    std::vector<std::string> m_zones;
};

/// Whether the case runs with its disruption.
bool withTrouble();

/// Runs a case: opens the record named on the command line, and ends the process with exit code 2 after 115 s or after an
/// exception.
int runCase(int argc, char** argv, const std::function<ExitCode(Record&)>& body);

} // namespace egrettrestle::review
