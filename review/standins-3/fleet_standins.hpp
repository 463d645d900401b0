#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/HTTPServer.h>
#include <nlohmann/json.hpp>
#include <sys/types.h>

/// Stand-ins for the users' platform, as PROTOCOL.md describes it, and the daemons of the project as child processes.
namespace review {

using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using nlohmann::json;

/// Writes what was sent, answered and run, a line each, with milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);
    void write(const std::string& line);
    /// A time in milliseconds since the start.
    Milliseconds at(TimePoint time) const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_start;
};

struct Reply {
    int status = 0;
    std::string body;
    bool ok() const { return status != 0; }
};

/// One HTTP request on a connection of its own. Status 0: no connection, or it ended without a reply.
Reply call(const std::string& address, const std::string& method, const std::string& target, const std::string& body, Milliseconds timeout, const std::map<std::string, std::string>& headers = {});

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string instance;
    std::string body;
};

using Handler = std::function<Reply(const Request&)>;

/// HTTP server on a loopback address that can be closed, with all its connections, and opened again at its port.
class Server {
public:
    explicit Server(Handler handler);
    ~Server();
    void open();
    void close();
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    Handler m_handler;
    std::uint16_t m_port = 0;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

/// A free port below the ephemeral ones.
std::uint16_t freePort();

/// The platform's metadata store.
class Store {
public:
    Store();
    ~Store();
    std::string address() const { return m_server.address(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::string value(const std::string& key);

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Change {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<Item> item;
    };

    Reply handle(const Request& request);
    Reply readKey(const Request& request);
    Reply readRange(const Request& request);
    Reply watch(const Request& request);
    Reply transact(const Request& request);
    void change(const std::string& key, const std::optional<std::string>& value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 1;
    bool m_stopping = false;
    Server m_server;
};

struct Resources {
    std::int64_t cpu = 0;
    std::int64_t memMb = 0;
    std::int64_t gpu = 0;
};

/// What a task of a submitted job needs and how long it runs; the minions know it as the platform's workers do.
struct TaskPlan {
    Resources need;
    Milliseconds duration { 0 };
    /// On any other rack the task takes FarX times as long; empty if it does not matter.
    std::string dataRack;
};

/// The plans of the submitted jobs, by job id and step.
class Plans {
public:
    void set(const std::string& job, std::uint32_t step, const TaskPlan& plan);
    std::optional<TaskPlan> find(const std::string& task) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::uint32_t>, TaskPlan> m_plans;
};

/// A run that a minion has begun.
struct Run {
    std::string task;
    std::uint64_t number = 0;
    std::string minion;
    std::vector<std::string> labels;
    TimePoint begin;
    std::optional<TimePoint> end;
    std::string how;
};

/// All runs of all minions.
class Runs {
public:
    std::size_t begin(const Run& run);
    void end(std::size_t index, const std::string& how, TimePoint at);
    std::vector<Run> all() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

struct MinionSettings {
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    Resources capacity;
};

/// A minion that guards its capacity. It registers itself at every start and every HeartbeatMs.
class Minion {
public:
    Minion(Store& store, const Plans& plans, Runs& runs, Record& record, MinionSettings settings);
    ~Minion();
    const std::string& id() const { return m_settings.id; }
    /// Ends the process: its connections are reset and its port refuses new ones.
    void crash();
    /// Leaves the next start of a task of this job unanswered, and carries it out after the delay, also in a new process.
    void delayNextStart(const std::string& job, Milliseconds delay);
    /// When the delayed start arrived, if it has.
    std::optional<TimePoint> delayedStartAt();
    /// The number of starts and stops that have arrived.
    std::size_t orders();
    /// Starts a new process under the same id and address, of the given kind.
    void restart(const std::vector<std::string>& labels);
    std::size_t running();

private:
    struct Active {
        std::string task;
        std::uint64_t run = 0;
        Resources need;
        TimePoint doneAt;
        std::size_t index = 0;
    };
    struct Ended {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    /// A start that gets no answer and is carried out late.
    struct DelayedStart {
        std::string job;
        Milliseconds delay { 0 };
        std::optional<TimePoint> arrivedAt;
        bool carriedOut = false;
        Request request;
    };

    Reply handle(const Request& request);
    Reply process(const Request& request, std::unique_lock<std::mutex>& lock);
    bool isDelayed(const Request& request);
    void carryOutDelayedStart(std::unique_lock<std::mutex>& lock);
    Reply start(const json& body);
    Reply stop(const json& body);
    Reply hold(const json& body, std::unique_lock<std::mutex>& lock);
    Reply conflict(const char* reason) const;
    bool passesFence(const json& body);
    void extendLease(std::int64_t deadline);
    void endRun(std::size_t position, const std::string& how, TimePoint at);
    void endDueRuns();
    std::int64_t clock() const;
    void writeEntry();
    void work();

    Store& m_store;
    const Plans& m_plans;
    Runs& m_runs;
    Record& m_record;
    MinionSettings m_settings;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    TimePoint m_startedAt;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextBeat;
    std::vector<Active> m_active;
    std::vector<Ended> m_ended;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    bool m_down = false;
    bool m_stopping = false;
    std::optional<DelayedStart> m_delayedStart;
    std::size_t m_orders = 0;
    Server m_server;
    std::thread m_thread;
};

/// Values of the platform's settings file that a daemon gets.
struct VmSettings {
    std::string node;
    std::string zone;
    double cpuShare = 0.25;
    int memoryMb = 260;
};

/// A daemon, started with the command of the deploy file. The platform starts it again after it has ended, and ends it if it
/// takes more memory than its machine has.
class Vm {
public:
    Vm(const std::string& command, const std::string& settingsTemplate, const std::string& directory, const std::string& storeAddress, Record& record, VmSettings settings);
    ~Vm();
    const std::string& node() const { return m_settings.node; }
    const std::string& front() const { return m_front; }
    bool waitReady(Milliseconds timeout) const;
    bool isReady() const;
    /// Whether a readiness probe gets any answer within a second.
    bool answersProbe() const;
    void signal(int number);
    /// The times at which the process has ended by itself, or was ended for its memory.
    std::vector<std::string> ends() const;
    long peakMemoryMb() const { return m_peakMemoryMb; }

private:
    void start();
    void supervise();

    std::vector<std::string> m_command;
    std::string m_directory;
    std::string m_settingsPath;
    Record& m_record;
    VmSettings m_settings;
    std::string m_front;
    std::string m_ready;
    mutable std::mutex m_mutex;
    pid_t m_process = -1;
    std::vector<std::string> m_ends;
    std::atomic<long> m_peakMemoryMb { 0 };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

/// A step of a job, as a client sends it.
struct StepSpec {
    int count = 1;
    Resources need;
    Milliseconds duration { 0 };
    std::vector<int> after;
    std::string requiredLabel;
    std::string affinity = {};
};

struct JobSpec {
    std::string id;
    std::string spec;
    std::vector<StepSpec> steps;
    Milliseconds deadline { 1'500 };
};

/// Submits jobs and remembers their plans.
class Clients {
public:
    Clients(Plans& plans, Record& record, std::string prefix);
    /// Sends a job to one daemon and waits for the reply.
    Reply submit(const Vm& vm, const JobSpec& job);
    Reply cancel(const Vm& vm, const std::string& job);
    static std::string jobId(int number);

private:
    Plans& m_plans;
    Record& m_record;
    std::string m_prefix;
};

/// A small deployment: store, minions and daemons.
struct DeploymentSettings {
    std::vector<VmSettings> vms;
    std::vector<MinionSettings> minions;
    int timeoutMs = 1'500;
};

struct Options {
    std::string root;
    std::string recordPath;
    bool trouble = true;
};

class Deployment {
public:
    Deployment(const Options& options, const DeploymentSettings& settings);
    ~Deployment();
    /// False if a daemon does not become ready.
    bool waitReady();
    Record& record() { return m_record; }
    Runs& runs() { return m_runs; }
    Clients& clients() { return m_clients; }
    Vm& vm(std::size_t number) { return *m_vms.at(number); }
    std::size_t vms() const { return m_vms.size(); }
    Minion& minion(std::size_t number) { return *m_minions.at(number); }

private:
    std::string m_directory;
    Record m_record;
    Plans m_plans;
    Runs m_runs;
    Store m_store;
    Clients m_clients;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<std::unique_ptr<Vm>> m_vms;
};

}
