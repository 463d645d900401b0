#include "fleet_standins.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace review {

namespace {

    constexpr int threadsPerServer = 64;
    constexpr Milliseconds heartbeat { 1'500 };
    constexpr Milliseconds workInterval { 2 };
    constexpr Milliseconds longestLease { 1'000 };
    constexpr Milliseconds restartDelay { 500 };
    constexpr int farFactor = 3;
    constexpr std::size_t pageSize = 500;
    constexpr std::size_t endedPageSize = 500;
    constexpr const char* base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    Reply jsonReply(int status, const json& body) { return { status, body.dump() }; }

    bool startsWith(const std::string& text, const std::string& prefix) { return text.compare(0, prefix.size(), prefix) == 0; }

    std::string encodeBase64(const std::string& bytes)
    {
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t offset = 0; offset < 3; ++offset)
                group = group << 8 | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0);
            for (std::size_t digit = 0; digit < 4; ++digit)
                text += at + digit > bytes.size() ? '=' : base64Digits[group >> (18 - 6 * digit) & 63];
        }
        return text;
    }

    std::string decodeBase64(const std::string& text)
    {
        const std::string digits(base64Digits);
        std::string bytes;
        std::uint32_t group = 0;
        int bits = 0;
        for (const char character : text) {
            const std::size_t digit = digits.find(character);
            if (digit == std::string::npos)
                break;
            group = group << 6 | static_cast<std::uint32_t>(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes += static_cast<char>(group >> bits & 255);
            }
        }
        return bytes;
    }

    std::uint64_t queryNumber(const Request& request, const char* name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? 0 : std::stoull(found->second);
    }

    std::string queryText(const Request& request, const char* name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    }

    class RequestHandler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit RequestHandler(const Handler& handler)
            : m_handler(handler)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& incoming, Poco::Net::HTTPServerResponse& outgoing) override
        {
            Request request;
            const Poco::URI uri(incoming.getURI());
            request.method = incoming.getMethod();
            request.path = uri.getPath();
            for (const auto& parameter : uri.getQueryParameters())
                request.query[parameter.first] = parameter.second;
            request.instance = incoming.get("X-Egrettrestle-Expected-Instance", "");
            Poco::StreamCopier::copyToString(incoming.stream(), request.body);
            const Reply reply = m_handler(request);
            outgoing.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
            outgoing.setContentType("application/json");
            outgoing.sendBuffer(reply.body.data(), reply.body.size());
        }

    private:
        const Handler& m_handler;
    };

    class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit HandlerFactory(const Handler& handler)
            : m_handler(handler)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override { return new RequestHandler(m_handler); }

    private:
        const Handler& m_handler;
    };

    Poco::ThreadPool& threads()
    {
        static Poco::ThreadPool pool(16, 2'000);
        return pool;
    }

    std::int64_t unixNow()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    long residentMb(pid_t process)
    {
        std::ifstream file("/proc/" + std::to_string(process) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (startsWith(line, "VmRSS:"))
                return std::stol(line.substr(6)) / 1'024;
        }
        return 0;
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw std::runtime_error("cannot read " + path);
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

    /// The value of a key in the first role of the deploy file.
    std::string deployValue(const std::string& deployFile, const std::string& key)
    {
        std::istringstream lines(readFile(deployFile));
        std::string line;
        while (std::getline(lines, line)) {
            if (startsWith(line, key + " = \""))
                return line.substr(key.size() + 4, line.rfind('"') - key.size() - 4);
        }
        throw std::runtime_error("no " + key + " in " + deployFile);
    }

    /// Fills in the placeholders and the sections of a settings template; unknown names have no value.
    std::string fillIn(std::string text, const std::map<std::string, std::string>& values)
    {
        const auto valueOf = [&values](const std::string& name) {
            const auto found = values.find(name);
            return found == values.end() ? std::string() : found->second;
        };
        std::size_t begin = 0;
        while ((begin = text.find("{{#")) != std::string::npos) {
            const std::size_t nameEnd = text.find("}}", begin);
            const std::string name = text.substr(begin + 3, nameEnd - begin - 3);
            const std::string closing = "{{/" + name + "}}";
            const std::size_t end = text.find(closing, nameEnd);
            const std::string inner = text.substr(nameEnd + 2, end - nameEnd - 2);
            text.replace(begin, end + closing.size() - begin, valueOf(name).empty() ? "" : inner);
        }
        while ((begin = text.find("{{")) != std::string::npos) {
            const std::size_t end = text.find("}}", begin);
            text.replace(begin, end + 2 - begin, valueOf(text.substr(begin + 2, end - begin - 2)));
        }
        return text;
    }

}

Record::Record(const std::string& path)
    : m_file(path)
    , m_start(Clock::now())
{
}

Milliseconds Record::at(TimePoint time) const { return std::chrono::duration_cast<Milliseconds>(time - m_start); }

void Record::write(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << at(Clock::now()).count() << " ms: " << line << std::endl;
}

Reply call(const std::string& address, const std::string& method, const std::string& target, const std::string& body, Milliseconds timeout, const std::map<std::string, std::string>& headers)
{
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
        const Poco::Timespan span(timeout.count() * 1'000);
        session.setTimeout(span, span, span);
        Poco::Net::HTTPRequest request(method, target, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto& header : headers)
            request.set(header.first, header.second);
        if (!body.empty()) {
            request.setContentType("application/json");
            request.setContentLength(static_cast<std::streamsize>(body.size()));
        }
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        Reply reply;
        std::istream& stream = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(stream, reply.body);
        reply.status = response.getStatus();
        return reply;
    } catch (const Poco::Exception&) {
        return {};
    }
}

std::uint16_t freePort()
{
    constexpr int lowest = 20'000;
    constexpr int ports = 10'000;
    static std::atomic<int> next { static_cast<int>(getpid()) * 37 % ports };
    while (true) {
        const int port = lowest + next++ % ports;
        try {
            const Poco::Net::ServerSocket socket { Poco::Net::SocketAddress("127.0.0.1", static_cast<std::uint16_t>(port)) };
            return static_cast<std::uint16_t>(port);
        } catch (const Poco::Exception&) {
            continue;
        }
    }
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
    , m_port(freePort())
{
}

Server::~Server() { close(); }

void Server::open()
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", m_port), true);
    socket.listen(threadsPerServer);
    Poco::AutoPtr<Poco::Net::HTTPServerParams> parameters(new Poco::Net::HTTPServerParams);
    parameters->setMaxThreads(threadsPerServer);
    parameters->setMaxQueued(threadsPerServer);
    parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
    parameters->setMaxKeepAliveRequests(0);
    m_server = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(m_handler), threads(), socket, parameters);
    m_server->start();
}

void Server::close()
{
    if (!m_server)
        return;
    m_server->stopAll(true);
    m_server.reset();
}

Store::Store()
    : m_server([this](const Request& request) { return handle(request); })
{
    m_server.open();
}

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.close();
}

/// Called with m_mutex held.
void Store::change(const std::string& key, const std::optional<std::string>& value)
{
    const auto found = m_items.find(key);
    if (!value && found == m_items.end())
        return;
    ++m_revision;
    std::optional<Item> item;
    if (value) {
        item = Item { *value, m_revision, found == m_items.end() ? m_revision : found->second.created };
        m_items[key] = *item;
    } else {
        m_items.erase(key);
    }
    m_history.push_back({ key, m_revision, item });
    m_changed.notify_all();
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    change(key, value);
}

void Store::remove(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    change(key, std::nullopt);
}

std::string Store::value(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_items[key].value;
}

Reply Store::handle(const Request& request)
{
    if (request.path == "/kv-key")
        return readKey(request);
    if (request.path == "/kv-range")
        return readRange(request);
    if (request.path == "/kv-watch")
        return watch(request);
    if (request.path == "/kv-txn")
        return transact(request);
    return jsonReply(404, json::object());
}

Reply Store::readKey(const Request& request)
{
    const std::string key = queryText(request, "Key");
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_items.find(key);
    if (found == m_items.end())
        return jsonReply(404, { { "AsOf", m_revision } });
    return jsonReply(200, { { "Key", key }, { "Value", encodeBase64(found->second.value) }, { "Revision", found->second.revision }, { "CreatedRev", found->second.created }, { "Lease", 0 }, { "AsOf", m_revision } });
}

Reply Store::readRange(const Request& request)
{
    const std::string prefix = queryText(request, "Prefix");
    const std::string after = queryText(request, "After");
    const std::lock_guard<std::mutex> lock(m_mutex);
    json items = json::array();
    bool hasMore = false;
    for (const auto& item : m_items) {
        if (!startsWith(item.first, prefix) || item.first <= after)
            continue;
        if (items.size() == pageSize) {
            hasMore = true;
            break;
        }
        items.push_back({ { "Key", item.first }, { "Value", encodeBase64(item.second.value) }, { "Revision", item.second.revision }, { "CreatedRev", item.second.created }, { "Lease", 0 } });
    }
    return jsonReply(200, { { "items", items }, { "HasMore", hasMore }, { "AsOf", m_revision } });
}

Reply Store::watch(const Request& request)
{
    const std::string prefix = queryText(request, "Prefix");
    const std::uint64_t after = queryNumber(request, "After");
    const TimePoint end = Clock::now() + Milliseconds { queryNumber(request, "WaitMs") };
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        json events = json::array();
        const auto isSeen = [](const Change& change, std::uint64_t revision) { return change.revision <= revision; };
        for (auto change = std::lower_bound(m_history.begin(), m_history.end(), after, isSeen); change != m_history.end(); ++change) {
            if (!startsWith(change->key, prefix))
                continue;
            if (change->item)
                events.push_back({ { "Key", change->key }, { "Value", encodeBase64(change->item->value) }, { "Revision", change->revision }, { "CreatedRev", change->item->created }, { "Lease", 0 } });
            else
                events.push_back({ { "Key", change->key }, { "Revision", change->revision }, { "Removed", true } });
        }
        if (!events.empty() || m_stopping || Clock::now() >= end)
            return jsonReply(200, { { "events", events }, { "AsOf", m_revision } });
        m_changed.wait_until(lock, end);
    }
}

Reply Store::transact(const Request& request)
{
    const json body = json::parse(request.body);
    const std::lock_guard<std::mutex> lock(m_mutex);
    json present = json::array();
    bool holds = true;
    for (const json& condition : body.at("ExpectedRev")) {
        const std::string key = condition.at("Key").get<std::string>();
        const auto found = m_items.find(key);
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == condition.at("Revision").get<std::uint64_t>();
        if (found != m_items.end())
            present.push_back({ { "Key", key }, { "Value", encodeBase64(found->second.value) }, { "Revision", revision }, { "CreatedRev", found->second.created }, { "Lease", 0 } });
    }
    if (!holds)
        return jsonReply(412, { { "items", present } });
    for (const json& item : body.value("Writes", json::array())) {
        const std::string key = item.at("Key").get<std::string>();
        if (startsWith(key, "op/") || startsWith(key, "servers/"))
            return jsonReply(403, json::object());
    }
    for (const json& item : body.value("Writes", json::array()))
        change(item.at("Key").get<std::string>(), decodeBase64(item.at("Value").get<std::string>()));
    for (const json& key : body.value("Deletes", json::array()))
        change(key.get<std::string>(), std::nullopt);
    return jsonReply(200, { { "Revision", m_revision } });
}

void Plans::set(const std::string& job, std::uint32_t step, const TaskPlan& plan)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_plans[{ job, step }] = plan;
}

std::optional<TaskPlan> Plans::find(const std::string& task) const
{
    std::istringstream parts(task);
    std::string job;
    std::string occurrence;
    std::string step;
    std::getline(parts, job, '.');
    std::getline(parts, occurrence, '.');
    std::getline(parts, step, '.');
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_plans.find({ job, step.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(step)) });
    return found == m_plans.end() ? std::nullopt : std::optional<TaskPlan>(found->second);
}

std::size_t Runs::begin(const Run& run)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs.push_back(run);
    return m_runs.size() - 1;
}

void Runs::end(std::size_t index, const std::string& how, TimePoint at)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs[index].end = at;
    m_runs[index].how = how;
}

std::vector<Run> Runs::all() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

Minion::Minion(Store& store, const Plans& plans, Runs& runs, Record& record, MinionSettings settings)
    : m_store(store)
    , m_plans(plans)
    , m_runs(runs)
    , m_record(record)
    , m_settings(std::move(settings))
    , m_startedAt(Clock::now())
    , m_born(unixNow())
    , m_server([this](const Request& request) { return handle(request); })
{
    m_server.open();
    m_thread = std::thread([this] { work(); });
}

Minion::~Minion()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        while (!m_active.empty())
            endRun(0, "test-over", Clock::now());
    }
    m_changed.notify_all();
    m_thread.join();
    m_server.close();
}

std::int64_t Minion::clock() const { return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count() + 1'000; }

std::size_t Minion::running()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_active.size();
}

void Minion::crash()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_down = true;
        endDueRuns();
        while (!m_active.empty())
            endRun(0, "crashed", Clock::now());
        m_record.write("minion " + m_settings.id + " crashes");
    }
    m_changed.notify_all();
    m_server.close();
}

void Minion::restart(const std::vector<std::string>& labels)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_settings.labels = labels;
        m_ended.clear();
        m_highestEnded.clear();
        m_lastEnd = 0;
        m_token = 0;
        m_leaseEnd = 0;
        m_sequence = 0;
        m_startedAt = Clock::now();
        m_born = unixNow();
        m_nextBeat = {};
        m_down = false;
        m_record.write("minion " + m_settings.id + " is back under its id and address, labels " + json(labels).dump());
        // It registers itself before it answers its first call.
        writeEntry();
    }
    m_server.open();
}

/// Called with m_mutex held.
void Minion::writeEntry()
{
    const json entry {
        { "Service", m_settings.service },
        { "Address", m_server.address() },
        { "Zone", m_settings.zone },
        { "Version", "v1" },
        { "Slots", 8 },
        { "State", "ready" },
        { "ColdRemainingMs", 0 },
        { "Capacity", { { "Cpu", m_settings.capacity.cpu }, { "MemMb", m_settings.capacity.memMb }, { "Gpu", m_settings.capacity.gpu } } },
        { "Labels", m_settings.labels },
        { "Sequence", ++m_sequence },
        { "ClockMs", clock() },
        { "born", m_born },
    };
    m_store.put("servers/" + m_settings.id, entry.dump());
    m_nextBeat = Clock::now() + heartbeat;
}

void Minion::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        if (!m_down) {
            endDueRuns();
            carryOutDelayedStart(lock);
            if (Clock::now() >= m_nextBeat)
                writeEntry();
        }
        m_changed.wait_for(lock, workInterval);
    }
}

Reply Minion::conflict(const char* reason) const { return jsonReply(409, { { "ClockMs", clock() }, { "Reason", reason } }); }

Reply Minion::handle(const Request& request)
{
    // Longer than a daemon waits for an answer.
    constexpr Milliseconds unansweredFor { 1'000 };
    std::unique_lock<std::mutex> lock(m_mutex);
    m_orders += request.path == "/hold" ? 0 : 1;
    if (isDelayed(request)) {
        lock.unlock();
        std::this_thread::sleep_for(unansweredFor);
        throw Poco::Net::NetException("the call gets no answer");
    }
    return process(request, lock);
}

/// Called with m_mutex held.
Reply Minion::process(const Request& request, std::unique_lock<std::mutex>& lock)
{
    if (request.instance != m_settings.id)
        return jsonReply(421, json::object());
    endDueRuns();
    const json body = json::parse(request.body);
    if (!passesFence(body))
        return conflict("fence");
    if (request.path == "/run-start")
        return start(body);
    if (request.path == "/run-stop")
        return stop(body);
    if (request.path == "/hold")
        return hold(body, lock);
    return jsonReply(404, json::object());
}

void Minion::delayNextStart(const std::string& job, Milliseconds delay)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_delayedStart = DelayedStart { job, delay, {}, false, {} };
}

std::optional<TimePoint> Minion::delayedStartAt()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_delayedStart ? m_delayedStart->arrivedAt : std::nullopt;
}

std::size_t Minion::orders()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_orders;
}

/// Called with m_mutex held.
bool Minion::isDelayed(const Request& request)
{
    if (!m_delayedStart || m_delayedStart->arrivedAt || request.path != "/run-start")
        return false;
    const json body = json::parse(request.body);
    if (!startsWith(body.at("Task").get<std::string>(), m_delayedStart->job))
        return false;
    m_delayedStart->arrivedAt = Clock::now();
    m_delayedStart->request = request;
    m_record.write("minion " + m_settings.id + " leaves the start of task " + body.at("Task").get<std::string>() + " run " + std::to_string(body.at("Run").get<std::uint64_t>()) + " unanswered");
    return true;
}

/// Called with m_mutex held.
void Minion::carryOutDelayedStart(std::unique_lock<std::mutex>& lock)
{
    if (!m_delayedStart || !m_delayedStart->arrivedAt || m_delayedStart->carriedOut || Clock::now() < *m_delayedStart->arrivedAt + m_delayedStart->delay)
        return;
    m_delayedStart->carriedOut = true;
    const Reply reply = process(m_delayedStart->request, lock);
    m_record.write("minion " + m_settings.id + " carries out the late start: " + std::to_string(reply.status) + " " + reply.body);
}

bool Minion::passesFence(const json& body)
{
    const std::uint64_t token = body.value("FencingToken", std::uint64_t { 0 });
    if (token < m_token)
        return false;
    m_token = token;
    return true;
}

void Minion::extendLease(std::int64_t deadline) { m_leaseEnd = std::max<std::int64_t>(m_leaseEnd, std::min<std::int64_t>(deadline, clock() + longestLease.count())); }

Reply Minion::start(const json& body)
{
    const std::string task = body.at("Task").get<std::string>();
    const std::uint64_t number = body.at("Run").get<std::uint64_t>();
    const std::int64_t deadline = body.at("DeadlineMs").get<std::int64_t>();
    if (m_highestEnded.count(task) > 0 && number <= m_highestEnded[task]) {
        extendLease(deadline);
        return conflict("old");
    }
    if (deadline <= clock())
        return conflict("late");
    const std::optional<TaskPlan> plan = m_plans.find(task);
    if (!plan)
        return jsonReply(400, { { "ClockMs", clock() } });
    extendLease(deadline);
    Resources used;
    for (const Active& active : m_active) {
        if (active.task == task && active.run == number)
            return jsonReply(200, { { "ClockMs", clock() } });
        used.cpu += active.need.cpu;
        used.memMb += active.need.memMb;
        used.gpu += active.need.gpu;
    }
    const Resources& need = plan->need;
    if (used.cpu + need.cpu > m_settings.capacity.cpu || used.memMb + need.memMb > m_settings.capacity.memMb || used.gpu + need.gpu > m_settings.capacity.gpu)
        return conflict("room");
    const std::size_t index = m_runs.begin({ task, number, m_settings.id, m_settings.labels, Clock::now(), {}, {} });
    const bool isNear = plan->dataRack.empty() || std::find(m_settings.labels.begin(), m_settings.labels.end(), plan->dataRack) != m_settings.labels.end();
    m_active.push_back({ task, number, need, Clock::now() + plan->duration * (isNear ? 1 : farFactor), index });
    return jsonReply(200, { { "ClockMs", clock() } });
}

Reply Minion::stop(const json& body)
{
    const std::string task = body.at("Task").get<std::string>();
    const std::uint64_t number = body.at("Run").get<std::uint64_t>();
    for (std::size_t position = 0; position < m_active.size(); ++position) {
        if (m_active[position].task == task && m_active[position].run == number) {
            endRun(position, "stopped", Clock::now());
            break;
        }
    }
    m_highestEnded[task] = std::max(m_highestEnded[task], number);
    return jsonReply(200, { { "ClockMs", clock() } });
}

Reply Minion::hold(const json& body, std::unique_lock<std::mutex>& lock)
{
    if (body.contains("DeadlineMs"))
        extendLease(body.at("DeadlineMs").get<std::int64_t>());
    const std::uint64_t acknowledged = body.at("AckedUpto").get<std::uint64_t>();
    m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(), [acknowledged](const Ended& ended) { return ended.number <= acknowledged; }), m_ended.end());
    m_changed.notify_all();
    const std::int64_t born = m_born;
    const TimePoint end = Clock::now() + Milliseconds { body.value("WaitMs", 0) };
    while (m_ended.empty() && !m_down && !m_stopping && m_born == born && Clock::now() < end)
        m_changed.wait_until(lock, end);
    json running = json::array();
    for (const Active& active : m_active)
        running.push_back({ active.task, active.run, "", 50, active.need.cpu });
    json ended = json::array();
    for (std::size_t position = 0; position < std::min(m_ended.size(), endedPageSize); ++position)
        ended.push_back({ m_ended[position].number, m_ended[position].task, m_ended[position].run, m_ended[position].how, "" });
    return jsonReply(200, { { "ClockMs", clock() }, { "born", m_born }, { "Running", running }, { "Ended", ended } });
}

/// Called with m_mutex held.
void Minion::endRun(std::size_t position, const std::string& how, TimePoint at)
{
    const Active active = m_active[position];
    m_runs.end(active.index, how, at);
    m_ended.push_back({ ++m_lastEnd, active.task, active.run, how });
    m_highestEnded[active.task] = std::max(m_highestEnded[active.task], active.run);
    m_active.erase(m_active.begin() + static_cast<std::ptrdiff_t>(position));
    m_changed.notify_all();
}

/// Ends the runs that are done, and all of them when the lease has expired. Called with m_mutex held.
void Minion::endDueRuns()
{
    const TimePoint now = Clock::now();
    const TimePoint leaseEnd = now + Milliseconds { m_leaseEnd - clock() };
    for (std::size_t position = m_active.size(); position > 0; --position) {
        const TimePoint doneAt = m_active[position - 1].doneAt;
        if (doneAt <= std::min(now, leaseEnd))
            endRun(position - 1, "done", doneAt);
        else if (leaseEnd <= now)
            endRun(position - 1, "lapsed", leaseEnd);
    }
}

Vm::Vm(const std::string& command, const std::string& settingsTemplate, const std::string& directory, const std::string& storeAddress, Record& record, VmSettings settings)
    : m_directory(directory)
    , m_settingsPath(directory + "/" + settings.node + ".settings")
    , m_record(record)
    , m_settings(std::move(settings))
    , m_front("127.0.0.1:" + std::to_string(freePort()))
    , m_ready("127.0.0.1:" + std::to_string(freePort()))
{
    std::istringstream words(command);
    std::string word;
    while (words >> word)
        m_command.push_back(word);
    std::ostringstream share;
    share << m_settings.cpuShare;
    std::ofstream(m_settingsPath) << fillIn(settingsTemplate, {
                                                                  { "Node", m_settings.node },
                                                                  { "Zone", m_settings.zone },
                                                                  { "Limits.CpuShare", share.str() },
                                                                  { "Limits.MemoryMb", std::to_string(m_settings.memoryMb) },
                                                                  { "Listen.Front", m_front },
                                                                  { "Listen.Ready", m_ready },
                                                                  { "Ip", "127.0.0.1" },
                                                                  { "InternalPorts.0", std::to_string(freePort()) },
                                                                  { "InternalPorts.1", std::to_string(freePort()) },
                                                                  { "platform.Address", storeAddress },
                                                                  { "Bounds.HoldMaxMs", std::to_string(longestLease.count()) },
                                                                  { "Bounds.StopMs", "50" },
                                                                  { "Bounds.ResendMs", "1300" },
                                                                  { "Bounds.GraceS", "6" },
                                                                  { "Bounds.FarX", std::to_string(farFactor) },
                                                              });
    start();
    m_thread = std::thread([this] { supervise(); });
}

Vm::~Vm()
{
    m_stopping = true;
    m_thread.join();
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
}

void Vm::start()
{
    std::vector<char*> arguments;
    for (std::string& word : m_command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string log = m_directory + "/" + m_settings.node + ".log";
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_process = fork();
    if (m_process < 0)
        throw std::runtime_error("fork failed");
    if (m_process > 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("EGRETTRESTLE_BOOT", m_settingsPath.c_str(), 1);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    closefrom(STDERR_FILENO + 1);
    execv(arguments[0], arguments.data());
    _exit(127);
}

void Vm::supervise()
{
    while (!m_stopping) {
        std::this_thread::sleep_for(Milliseconds { 10 });
        pid_t process = -1;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            process = m_process;
        }
        const long resident = residentMb(process);
        m_peakMemoryMb = std::max<long>(m_peakMemoryMb, resident);
        std::string cause;
        int status = 0;
        if (resident > m_settings.memoryMb) {
            cause = "has " + std::to_string(resident) + " MB, more than the " + std::to_string(m_settings.memoryMb) + " MB of its machine, and is killed";
            ::kill(process, SIGKILL);
            waitpid(process, &status, 0);
        } else if (waitpid(process, &status, WNOHANG) == process) {
            cause = WIFSIGNALED(status) ? "ends by signal " + std::to_string(WTERMSIG(status)) : "exits with " + std::to_string(WEXITSTATUS(status));
        } else {
            continue;
        }
        m_record.write("process of " + m_settings.node + " " + cause);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_ends.push_back(cause);
            m_process = -1;
        }
        std::this_thread::sleep_for(restartDelay);
        if (!m_stopping)
            start();
    }
}

bool Vm::isReady() const { return call(m_ready, "GET", "/readiness", "", Milliseconds { 1'000 }).status == 200; }

bool Vm::answersProbe() const { return call(m_ready, "GET", "/readiness", "", Milliseconds { 1'000 }).ok(); }

bool Vm::waitReady(Milliseconds timeout) const
{
    const TimePoint end = Clock::now() + timeout;
    while (!isReady()) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(Milliseconds { 50 });
    }
    return true;
}

void Vm::signal(int number)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_process > 0)
        ::kill(m_process, number);
}

std::vector<std::string> Vm::ends() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_ends;
}

Clients::Clients(Plans& plans, Record& record, std::string prefix)
    : m_plans(plans)
    , m_record(record)
    , m_prefix(std::move(prefix))
{
}

std::string Clients::jobId(int number)
{
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

Reply Clients::submit(const Vm& vm, const JobSpec& job)
{
    json steps = json::array();
    for (const StepSpec& step : job.steps) {
        m_plans.set(job.id, static_cast<std::uint32_t>(steps.size()), { step.need, step.duration, step.affinity });
        json element { { "Count", step.count }, { "Cpu", step.need.cpu }, { "MemMb", step.need.memMb }, { "EstimateMs", step.duration.count() } };
        if (!step.after.empty())
            element["After"] = step.after;
        if (!step.requiredLabel.empty())
            element["RequiredLabel"] = step.requiredLabel;
        if (!step.affinity.empty())
            element["Affinity"] = step.affinity;
        steps.push_back(std::move(element));
    }
    const std::string body = json { { "Spec", job.spec }, { "BestEffort", true }, { "Steps", steps } }.dump();
    m_record.write("client sends POST of job " + job.id + " to " + vm.node() + ", " + std::to_string(job.steps.size()) + " steps, " + std::to_string(body.size()) + " bytes");
    const Reply reply = call(vm.front(), "POST", m_prefix + job.id, body, job.deadline, { { "Host", "shop.example" }, { "X-Egrettrestle-Deadline-Ms", std::to_string(job.deadline.count()) } });
    m_record.write("client gets " + (reply.ok() ? std::to_string(reply.status) + " " + reply.body : std::string("no answer")) + " to POST of job " + job.id + " from " + vm.node());
    return reply;
}

Reply Clients::cancel(const Vm& vm, const std::string& job)
{
    m_record.write("client sends DELETE of job " + job + " to " + vm.node());
    const Reply reply = call(vm.front(), "DELETE", m_prefix + job, "", Milliseconds { 1'500 }, { { "Host", "shop.example" } });
    m_record.write("client gets " + (reply.ok() ? std::to_string(reply.status) : std::string("no answer")) + " to DELETE of job " + job + " from " + vm.node());
    return reply;
}

namespace {

    std::string temporaryDirectory()
    {
        char name[] = "/tmp/egrettrestle-review-XXXXXX";
        if (!mkdtemp(name))
            throw std::runtime_error("cannot create a temporary directory");
        return name;
    }

}

Deployment::Deployment(const Options& options, const DeploymentSettings& settings)
    : m_directory(temporaryDirectory())
    , m_record(options.recordPath)
    , m_clients(m_plans, m_record, "/lohu930/")
{
    const json route { { "Name", "proofs" }, { "Host", "shop.example" }, { "Prefix", "/lohu930/" }, { "TimeoutMs", settings.timeoutMs }, { "TargetLatencyMs", 60 }, { "Priority", 0 }, { "Service", "print-hub" }, { "MaxAttempts", 4 }, { "Stretch", 1.6 } };
    const json configuration { { "Version", 3 }, { "Routes", { route } }, { "Services", { { { "Name", "print-hub" }, { "EnforcesCapacity", true } } } }, { "Limits", { { "MaxBodyBytes", 262'144 }, { "IdleTimeoutMs", 15'000 } } } };
    m_store.put("op/config", configuration.dump());
    for (const MinionSettings& minion : settings.minions)
        m_minions.push_back(std::make_unique<Minion>(m_store, m_plans, m_runs, m_record, minion));
    const std::string deployFile = options.root + "/deploy/system.toml";
    const std::string command = options.root + "/" + deployValue(deployFile, "run");
    const std::string settingsTemplate = readFile(options.root + "/" + deployValue(deployFile, "template"));
    for (const VmSettings& vm : settings.vms)
        m_vms.push_back(std::make_unique<Vm>(command, settingsTemplate, m_directory, m_store.address(), m_record, vm));
}

Deployment::~Deployment()
{
    m_vms.clear();
    m_minions.clear();
    if (std::getenv("KEEP_LOGS"))
        return;
    std::error_code ignored;
    // A directory that is left behind is harmless.
    std::filesystem::remove_all(m_directory, ignored);
}

bool Deployment::waitReady()
{
    constexpr Milliseconds timeout { 15'000 };
    return std::all_of(m_vms.begin(), m_vms.end(), [timeout](const auto& vm) { return vm->waitReady(timeout); });
}

}
