#include "minion.hpp"

#include <algorithm>

namespace egrettrestle::review {

namespace {

    using nlohmann::json;

    // Bounds of `oyu-print`.
    constexpr std::int64_t holdMaxMs = 1'000;
    constexpr Milliseconds heartbeat { 1'500 };
    constexpr Milliseconds checkInterval { 4 };

    std::int64_t unixNow() { return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

}

void Starts::add(Start start)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_starts.push_back(std::move(start));
}

std::vector<Start> Starts::all() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_starts;
}

void Starts::addRun(RunSpan run)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs.push_back(std::move(run));
}

std::vector<RunSpan> Starts::runs() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

Minion::Minion(standins::StoreStandin& store, Record& record, const JobBook& jobs, Starts& starts, MinionSettings settings)
    : m_store(store)
    , m_record(record)
    , m_jobs(jobs)
    , m_starts(starts)
    , m_settings(std::move(settings))
    , m_born(unixNow())
    , m_startedAt(SteadyClock::now())
    , m_up(true)
{
    listen("127.0.0.1:0");
    m_address = "127.0.0.1:" + std::to_string(m_server->port());
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        writeEntry();
    }
    m_thread = std::thread([this] { work(); });
}

Minion::~Minion()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        m_up = false;
    }
    m_changed.notify_all();
    m_thread.join();
    if (m_server)
        m_server->stop();
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const Running& running : m_running)
        recordEnd(running, "case-ended");
}

void Minion::listen(const std::string& address)
{
    HttpServerLimits limits;
    limits.stopPollInterval = Milliseconds { 10 };
    m_server = std::make_unique<HttpServer>(address, limits, [this](const HttpRequest& request) { return handle(request); });
    if (!m_server->start().ok())
        throw std::runtime_error("a minion cannot listen on " + address);
}

/// Called with m_mutex held.
void Minion::writeEntry()
{
    const json entry {
        { "Service", "print-hub" },
        { "Address", m_address },
        { "Zone", m_settings.zone },
        { "Version", "v1" },
        { "Slots", 8 },
        { "State", "ready" },
        { "ColdRemainingMs", 0 },
        { "Capacity", { { "Cpu", m_settings.cpu }, { "MemMb", m_settings.memoryMb }, { "Gpu", 0 } } },
        { "Labels", { m_settings.kind, m_settings.rack } },
        { "Sequence", ++m_sequence },
        { "born", m_born },
    };
    m_store.put("servers/" + m_settings.id, entry.dump());
}

void Minion::crash()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_up = false;
        for (const Running& running : m_running)
            recordEnd(running, "lost");
        m_running.clear();
        m_record.write("minion " + m_settings.id + " crashes");
    }
    m_changed.notify_all();
    m_server->stop();
    m_server.reset();
}

void Minion::startAgain(const std::string& kind)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_settings.kind = kind;
    resetState();
    m_up = true;
    m_record.write("minion " + m_settings.id + " starts again, as kind " + kind + ", and writes its entry");
    writeEntry();
    listen(m_address);
}

void Minion::resetState()
{
    for (const Running& running : m_running)
        recordEnd(running, "lost");
    m_running.clear();
    m_ended.clear();
    m_highestEnded.clear();
    m_endNumber = 0;
    m_token = 0;
    m_leaseEnd = 0;
    m_sequence = 0;
    m_born = unixNow();
    m_startedAt = SteadyClock::now();
}

void Minion::cutOff()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cutOff = true;
    m_record.write("minion " + m_settings.id + " is cut off");
    m_changed.notify_all();
}

void Minion::reconnect()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cutOff = false;
    m_record.write("minion " + m_settings.id + " is reached again");
    writeEntry();
    m_changed.notify_all();
}

void Minion::restartBehindCut()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    resetState();
    m_record.write("minion " + m_settings.id + " has crashed behind the cut and starts again under its id");
}

bool Minion::isRunning(const std::string& job) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::any_of(m_running.begin(), m_running.end(), [&job](const Running& running) { return running.task.compare(0, job.size(), job) == 0; });
}

std::int64_t Minion::clock() const { return toMilliseconds(SteadyClock::now() - m_startedAt).count() + 1'000; }

HttpResponse Minion::reply(int status, json fields) const
{
    fields["ClockMs"] = clock();
    fields["born"] = m_born;
    HttpResponse response;
    response.status = status;
    response.body = fields.dump();
    return response;
}

HttpResponse Minion::refuse(const char* reason) const { return reply(409, json::object({ { "Reason", reason } })); }

HttpResponse Minion::handle(const HttpRequest& request)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    HttpResponse response;
    if (!m_up) {
        response.dropConnection = true;
        return response;
    }
    const std::int64_t born = m_born;
    // What is sent during a cut is lost, and so is the connection: it hangs until its peer gives it up.
    const auto hangWhileCutOff = [&] {
        while (m_cutOff && m_up && !m_stopping && request.clientConnected())
            m_changed.wait_for(lock, checkInterval);
    };
    if (m_cutOff) {
        hangWhileCutOff();
        response.dropConnection = true;
        return response;
    }
    endDue();
    const json body = json::parse(request.body, nullptr, false);
    if (headerValue(request.headers, "X-Egrettrestle-Expected-Instance") != m_settings.id)
        response = reply(421);
    else if (body.is_discarded())
        response = reply(400);
    else if (request.path == "/run-start")
        response = start(body);
    else if (request.path == "/run-stop")
        response = stop(body);
    else if (request.path == "/hold")
        response = hold(body, lock);
    else
        response = reply(404);
    // Nothing is answered across a crash or a cut.
    response.dropConnection = !m_up || m_born != born || m_cutOff;
    if (m_cutOff)
        hangWhileCutOff();
    return response;
}

bool Minion::accepts(const json& body)
{
    const std::uint64_t token = body.value("FencingToken", std::uint64_t { 0 });
    if (token < m_token)
        return false;
    m_token = token;
    return true;
}

void Minion::extendLease(const json& body)
{
    if (body.contains("DeadlineMs"))
        m_leaseEnd = std::max(m_leaseEnd, std::min(body.at("DeadlineMs").get<std::int64_t>(), clock() + holdMaxMs));
}

HttpResponse Minion::start(const json& body)
{
    const std::string task = body.at("Task").get<std::string>();
    const std::uint64_t run = body.at("Run").get<std::uint64_t>();
    if (!accepts(body))
        return refuse("fence");
    const auto highest = m_highestEnded.find(task);
    if (highest != m_highestEnded.end() && run <= highest->second) {
        extendLease(body);
        return refuse("old");
    }
    if (body.at("DeadlineMs").get<std::int64_t>() <= clock())
        return refuse("late");
    if (std::any_of(m_running.begin(), m_running.end(), [&](const Running& running) { return running.task == task && running.run == run; }))
        return reply(200);
    extendLease(body);
    const std::optional<StepNeed> need = m_jobs.find(task);
    const double cpu = need ? static_cast<double>(need->cpu) : 0;
    double inUse = cpu;
    for (const Running& running : m_running)
        inUse += running.cpu;
    if (m_settings.guards && inUse > static_cast<double>(m_settings.cpu))
        return refuse("room");
    m_running.push_back({ task, run, SteadyClock::now() + Milliseconds { std::stoi(body.at("Spec").get<std::string>()) }, cpu, m_record.now(), std::nullopt });
    m_record.write("minion " + m_settings.id + " starts " + task + " run " + std::to_string(run));
    m_starts.add({ task, run, m_settings.id, m_settings.kind, m_record.now(), inUse, m_settings.cpu, need ? need->requiredLabel : std::string() });
    return reply(200);
}

HttpResponse Minion::stop(const json& body)
{
    if (!accepts(body))
        return refuse("fence");
    const std::string task = body.at("Task").get<std::string>();
    const std::uint64_t run = body.at("Run").get<std::uint64_t>();
    for (Running& running : m_running) {
        if (running.task == task && running.run == run && !running.stoppedAt)
            running.stoppedAt = SteadyClock::now() + m_settings.stopTime;
    }
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    return reply(200);
}

HttpResponse Minion::hold(const json& body, std::unique_lock<std::mutex>& lock)
{
    if (!accepts(body))
        return refuse("fence");
    extendLease(body);
    const std::uint64_t acknowledged = body.value("AckedUpto", std::uint64_t { 0 });
    m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(), [acknowledged](const Ended& ended) { return ended.number <= acknowledged; }), m_ended.end());
    m_changed.wait_for(lock, Milliseconds { body.value("WaitMs", 0) }, [this] { return !m_up || m_cutOff || !m_ended.empty(); });
    endDue();
    json running = json::array();
    for (const Running& entry : m_running)
        running.push_back({ entry.task, entry.run, "", 100, static_cast<std::int64_t>(entry.cpu) });
    constexpr std::size_t page = 500;
    json ended = json::array();
    for (const Ended& entry : m_ended) {
        if (ended.size() < page)
            ended.push_back({ entry.number, entry.task, entry.run, entry.how, "" });
    }
    return reply(200, json::object({ { "Running", running }, { "Ended", ended } }));
}

void Minion::end(std::size_t index, const std::string& how)
{
    const Running running = m_running[index];
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    recordEnd(running, how);
    m_ended.push_back({ ++m_endNumber, running.task, running.run, how });
    m_highestEnded[running.task] = std::max(m_highestEnded[running.task], running.run);
    m_changed.notify_all();
}

void Minion::recordEnd(const Running& running, const std::string& how)
{
    m_starts.addRun({ running.task, running.run, m_settings.id, running.beginMs, m_record.now(), how });
    m_record.write("minion " + m_settings.id + " ends " + running.task + " run " + std::to_string(running.run) + " " + how);
}

/// Ends the runs whose time is over, and all of them once the lease has expired.
void Minion::endDue()
{
    const TimePoint now = SteadyClock::now();
    const bool lapsed = m_leaseEnd <= clock();
    for (std::size_t index = m_running.size(); index > 0; --index) {
        const Running& running = m_running[index - 1];
        if (running.doneAt <= now)
            end(index - 1, "done");
        else if (running.stoppedAt && *running.stoppedAt <= now)
            end(index - 1, "stopped");
        else if (lapsed)
            end(index - 1, "lapsed");
    }
}

void Minion::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    TimePoint lastEntry = SteadyClock::now();
    while (!m_stopping) {
        if (m_up)
            endDue();
        if (m_up && !m_cutOff && SteadyClock::now() - lastEntry >= heartbeat) {
            lastEntry = SteadyClock::now();
            writeEntry();
        }
        m_changed.wait_for(lock, checkInterval, [this] { return m_stopping; });
    }
}

} // namespace egrettrestle::review
