// Stand-ins and helpers for the cases of the review: the platform's store, workers (minions), clients and the daemon as a
// separate process. All addresses are loopback addresses on ports chosen by the system.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point processStart = Clock::now();

/// Milliseconds since the start of the case.
inline std::int64_t nowMs() { return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - processStart).count(); }

inline std::int64_t unixMs() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

inline void sleepMs(std::int64_t milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, milliseconds))); }

inline void sleepUntilMs(std::int64_t time) { sleepMs(time - nowMs()); }

/// Writes what was sent, answered and run to record.txt. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2'000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << nowMs() << " ms  " << text << '\n';
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// @name HTTP
/// @{

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response {
    int status = 200;
    std::string body = "{}";
};

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

inline std::string decodeUrl(const std::string& text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index] == '+' ? ' ' : text[index];
        }
    }
    return decoded;
}

/// Reads from a socket until `data` holds a whole message; false when the connection has ended or `stop` is set.
inline bool readMessage(int socket, std::string& data, std::string& head, std::string& body, const std::function<bool()>& stop)
{
    while (true) {
        const std::size_t end = data.find("\r\n\r\n");
        if (end != std::string::npos) {
            head = data.substr(0, end + 2);
            const std::size_t field = lowerCase(head).find("\r\ncontent-length:");
            const std::size_t length = field == std::string::npos ? 0 : std::stoul(head.substr(field + 17));
            if (data.size() >= end + 4 + length) {
                body = data.substr(end + 4, length);
                data.erase(0, end + 4 + length);
                return true;
            }
        }
        pollfd entry { socket, POLLIN, 0 };
        const int ready = ::poll(&entry, 1, 20);
        if (stop())
            return false;
        if (ready <= 0)
            continue;
        char buffer[16'384];
        const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        data.append(buffer, static_cast<std::size_t>(count));
    }
}

inline bool sendAll(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

inline int portOf(int socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// A port that is free now and that the system does not choose for outgoing connections.
inline int freePort()
{
    static std::mt19937 random(std::random_device {}());
    constexpr int firstPort = 11'000;
    constexpr int portCount = 20'000;
    for (int attempt = 0; attempt < 100; ++attempt) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int port = firstPort + static_cast<int>(random() % portCount);
        const sockaddr_in address = loopback(port);
        const bool free = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        if (free)
            return port;
    }
    throw std::runtime_error("no free port");
}

inline void setNoDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// HTTP server with one thread a connection. A handler that returns nothing leaves the request unanswered: the connection
/// stays open without a reply until the peer closes it.
class Server {
public:
    using Handler = std::function<std::optional<Response>(const Request&)>;

    explicit Server(Handler handler, int port = 0)
        : m_handler(std::move(handler))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = loopback(port);
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(m_listener, 256) != 0)
            throw std::runtime_error("cannot listen");
        m_port = portOf(m_listener);
        m_acceptor = std::thread([this] { accept(); });
    }

    ~Server() { stop(); }

    /// Closes the port and all connections, as the end of a process does.
    void stop()
    {
        if (m_stopping.exchange(true))
            return;
        m_acceptor.join();
        ::close(m_listener);
        for (std::thread& thread : m_threads)
            thread.join();
    }

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    bool stopping() const { return m_stopping; }

private:
    void accept()
    {
        while (!m_stopping) {
            pollfd entry { m_listener, POLLIN, 0 };
            if (::poll(&entry, 1, 20) <= 0)
                continue;
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            setNoDelay(socket);
            m_threads.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(int socket)
    {
        std::string data;
        std::string head;
        std::string body;
        const auto stop = [this] { return m_stopping.load(); };
        while (readMessage(socket, data, head, body, stop)) {
            const std::optional<Response> response = m_handler(parse(head, body));
            if (!response) {
                char byte = 0;
                while (!m_stopping && ::recv(socket, &byte, 1, MSG_DONTWAIT) != 0)
                    sleepMs(10);
                break;
            }
            const std::string text = "HTTP/1.1 " + std::to_string(response->status) + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
            if (!sendAll(socket, text))
                break;
        }
        ::close(socket);
    }

    static Request parse(const std::string& head, const std::string& body)
    {
        Request request;
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        std::istringstream first(line);
        std::string target;
        first >> request.method >> target;
        const std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        std::istringstream pairs(mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            const std::size_t equals = pair.find('=');
            request.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : decodeUrl(pair.substr(equals + 1));
        }
        while (std::getline(lines, line)) {
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            request.headers[lowerCase(line.substr(0, colon))] = value;
        }
        request.body = body;
        return request;
    }

    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_stopping { false };
    std::thread m_acceptor;
    std::vector<std::thread> m_threads;
};

struct Answer {
    /// 0 without an answer.
    int status = 0;
    std::string body;
};

/// One client connection that carries one request.
class Call {
public:
    Call(int port, const std::string& method, const std::string& path, const std::string& host, const std::string& body, const std::string& extraHeaders = "")
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        setNoDelay(m_socket);
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            return;
        m_open = sendAll(m_socket, method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\n" + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    ~Call() { close(); }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    /// Waits for the answer.
    Answer wait(std::int64_t milliseconds)
    {
        const std::int64_t end = nowMs() + milliseconds;
        std::string head;
        Answer answer;
        if (m_open && readMessage(m_socket, m_data, head, answer.body, [end, this] { return nowMs() >= end || m_cancelled; }))
            answer.status = std::stoi(head.substr(head.find(' ') + 1));
        return answer;
    }

    /// Makes wait() return. Callable from another thread.
    void cancelWait() { m_cancelled = true; }

    /// Resets the connection, so that the daemon sees the reset as well.
    void reset()
    {
        const linger option { 1, 0 };
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
        m_open = false;
    }

private:
    int m_socket = -1;
    bool m_open = false;
    std::atomic<bool> m_cancelled { false };
    std::string m_data;
};

inline Answer call(int port, const std::string& method, const std::string& path, const std::string& host, const std::string& body, std::int64_t timeout)
{
    Call once(port, method, path, host, body);
    return once.wait(timeout);
}

/// @}

inline std::string encodeBase64(const std::string& text)
{
    static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t index = 0; index < text.size(); index += 3) {
        const std::size_t left = std::min<std::size_t>(3, text.size() - index);
        std::uint32_t bits = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            bits = bits << 8 | (byte < left ? static_cast<unsigned char>(text[index + byte]) : 0);
        for (std::size_t letter = 0; letter < 4; ++letter)
            encoded += letter <= left ? letters[bits >> (18 - 6 * letter) & 63] : '=';
    }
    return encoded;
}

inline std::string decodeBase64(const std::string& text)
{
    static const std::string letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string decoded;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        const std::size_t value = letters.find(letter);
        if (value == std::string::npos)
            continue;
        bits = bits << 6 | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            decoded += static_cast<char>(bits >> count & 255);
        }
    }
    return decoded;
}

/// The platform's metadata store.
class Store {
public:
    Store()
        : m_server([this](const Request& request) { return handle(request); })
    {
    }

    ~Store()
    {
        m_stopping = true;
        m_changed.notify_all();
        m_server.stop();
    }

    std::string address() const { return m_server.address(); }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        write(key, value);
    }

    void remove(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        erase(key);
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct Change {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool removed = false;
    };

    void write(const std::string& key, const std::string& value)
    {
        Item& item = m_items[key];
        item.value = value;
        item.revision = ++m_revision;
        if (item.created == 0)
            item.created = m_revision;
        m_history.push_back({ key, value, m_revision, item.created, false });
        m_changed.notify_all();
    }

    void erase(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_history.push_back({ key, {}, ++m_revision, 0, true });
        m_changed.notify_all();
    }

    static json itemJson(const std::string& key, const std::string& value, std::uint64_t revision, std::uint64_t created)
    {
        return { { "Key", key }, { "Value", encodeBase64(value) }, { "Revision", revision }, { "CreatedRev", created }, { "Lease", 0 } };
    }

    std::optional<Response> handle(const Request& request)
    {
        const auto query = [&request](const char* name) { return request.query.count(name) > 0 ? request.query.at(name) : std::string(); };
        std::unique_lock<std::mutex> lock(m_mutex);
        if (request.path == "/kv-key") {
            const auto found = m_items.find(query("Key"));
            if (found == m_items.end())
                return Response { 404, json { { "AsOf", m_revision } }.dump() };
            json item = itemJson(found->first, found->second.value, found->second.revision, found->second.created);
            item["AsOf"] = m_revision;
            return Response { 200, item.dump() };
        }
        if (request.path == "/kv-range") {
            json items = json::array();
            const std::string prefix = query("Prefix");
            for (const auto& item : m_items) {
                if (item.first.compare(0, prefix.size(), prefix) == 0 && item.first > query("After"))
                    items.push_back(itemJson(item.first, item.second.value, item.second.revision, item.second.created));
            }
            return Response { 200, json { { "items", items }, { "HasMore", false }, { "AsOf", m_revision } }.dump() };
        }
        if (request.path == "/kv-watch") {
            const std::string prefix = query("Prefix");
            const std::uint64_t after = std::stoull(query("After"));
            const Clock::time_point end = Clock::now() + std::chrono::milliseconds(std::stoll(query("WaitMs")));
            while (true) {
                json events = json::array();
                for (const Change& change : m_history) {
                    if (change.revision <= after || change.key.compare(0, prefix.size(), prefix) != 0)
                        continue;
                    if (change.removed)
                        events.push_back({ { "Key", change.key }, { "Revision", change.revision }, { "Removed", true } });
                    else
                        events.push_back(itemJson(change.key, change.value, change.revision, change.created));
                }
                if (!events.empty() || m_stopping || m_changed.wait_until(lock, end) == std::cv_status::timeout)
                    return Response { 200, json { { "events", events }, { "AsOf", m_revision } }.dump() };
            }
        }
        if (request.path != "/kv-txn")
            return Response { 404, "{}" };
        const json body = json::parse(request.body);
        json present = json::array();
        bool holds = true;
        for (const json& row : body.at("ExpectedRev")) {
            const auto found = m_items.find(row.at("Key").get<std::string>());
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("Revision").get<std::uint64_t>();
            if (found != m_items.end())
                present.push_back(itemJson(found->first, found->second.value, found->second.revision, found->second.created));
        }
        if (!holds)
            return Response { 412, json { { "items", present } }.dump() };
        for (const json& row : body.at("Writes"))
            write(row.at("Key").get<std::string>(), decodeBase64(row.at("Value").get<std::string>()));
        for (const json& key : body.at("Deletes"))
            erase(key.get<std::string>());
        return Response { 200, json { { "Revision", m_revision } }.dump() };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 1;
    std::atomic<bool> m_stopping { false };
    Server m_server;
};

/// One run of a task at a worker.
struct Run {
    std::string task;
    std::uint64_t number = 0;
    std::string worker;
    std::vector<std::string> labels;
    std::int64_t begin = 0;
    /// -1 while it is running.
    std::int64_t end = -1;
    std::string how;
};

/// All runs of all workers. Thread-safe.
class Runs {
public:
    std::size_t begin(Run run)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs.push_back(std::move(run));
        return m_runs.size() - 1;
    }

    void end(std::size_t index, std::int64_t time, const std::string& how)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs[index].end = time;
        m_runs[index].how = how;
    }

    std::vector<Run> all()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs;
    }

    bool anyOf(const std::string& job)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::any_of(m_runs.begin(), m_runs.end(), [&job](const Run& run) { return run.task.compare(0, job.size(), job) == 0; });
    }

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

struct WorkerOptions {
    std::string id;
    std::string zone = "z1";
    std::string service = "print-hub";
    std::vector<std::string> labels { "a", "r1-1" };
    std::int64_t cpu = 64'000;
    std::int64_t memMb = 262'144;
    std::int64_t holdMaxMs = 1'000;
    std::int64_t stopMs = 5;
};

/// A minion that receives its orders by calls. It keeps the rules of the pages: fencing tokens, run numbers, leases on its
/// own clock, numbered ends.
class Worker {
public:
    /// What becomes of an order.
    struct Fate {
        /// The order is answered.
        bool answered = true;
        /// It is carried out this long after its arrival.
        std::int64_t delayMs = 0;
        /// The answer is held back this long after the order was carried out.
        std::int64_t answerDelayMs = 0;
    };
    /// How long a task works, in milliseconds.
    using Duration = std::function<std::int64_t(const std::string& task, std::uint64_t run)>;
    using FateOf = std::function<Fate(const std::string& path, const json& body)>;

    Worker(WorkerOptions options, Store& store, Runs& runs, Record& record, Duration duration, int port = 0)
        : m_options(std::move(options))
        , m_store(store)
        , m_runs(runs)
        , m_record(record)
        , m_duration(std::move(duration))
        , m_born(unixMs())
        , m_server([this](const Request& request) { return handle(request); }, port)
    {
        m_ticker = std::thread([this] { tick(); });
    }

    ~Worker() { crash(); }

    /// Ends the process: connections are closed and everything that runs is gone.
    void crash()
    {
        if (m_stopped.exchange(true))
            return;
        m_changed.notify_all();
        m_ticker.join();
        m_server.stop();
        for (std::thread& thread : m_late)
            thread.join();
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const Active& active : m_active)
            m_runs.end(active.index, nowMs(), "lost");
        m_active.clear();
    }

    void setFate(FateOf fate)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_fate = std::move(fate);
    }

    /// Writes the worker's entry, as with each heartbeat.
    void writeEntry(const std::string& state = "ready")
    {
        const json entry {
            { "Service", m_options.service },
            { "Address", m_server.address() },
            { "Zone", m_options.zone },
            { "Version", "v1" },
            { "Slots", 8 },
            { "State", state },
            { "ColdRemainingMs", 0 },
            { "Capacity", { { "Cpu", m_options.cpu }, { "MemMb", m_options.memMb }, { "Gpu", 0 } } },
            { "Labels", m_options.labels },
            { "Sequence", ++m_sequence },
            { "born", m_born },
        };
        m_store.put("servers/" + m_options.id, entry.dump());
    }

    int port() const { return m_server.port(); }
    const WorkerOptions& options() const { return m_options; }

private:
    struct Active {
        std::string task;
        std::uint64_t run = 0;
        std::size_t index = 0;
        std::int64_t doneAt = 0;
        std::int64_t stopAt = -1;
        std::int64_t cpu = 27'000;
    };

    std::int64_t clock() const { return nowMs() - m_clockBase; }

    std::optional<Response> handle(const Request& request)
    {
        const auto instance = request.headers.find("x-egrettrestle-expected-instance");
        if (instance != request.headers.end() && instance->second != m_options.id)
            return Response { 421, "{}" };
        const json body = json::parse(request.body);
        Fate fate;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_fate)
                fate = m_fate(request.path, body);
        }
        if (fate.delayMs > 0) {
            m_record.line("worker %s: %s %s run %s gets no answer now; carried out %lld ms later", m_options.id.c_str(), request.path.c_str(), body.value("Task", "").c_str(), std::to_string(body.value("Run", 0)).c_str(), static_cast<long long>(fate.delayMs));
            const std::lock_guard<std::mutex> lock(m_mutex);
            const std::int64_t due = nowMs() + fate.delayMs;
            m_late.emplace_back([this, path = request.path, body, due] {
                while (!m_stopped && nowMs() < due)
                    sleepMs(5);
                if (!m_stopped)
                    carryOut(path, body);
            });
            return std::nullopt;
        }
        const Response response = carryOut(request.path, body);
        if (!fate.answered) {
            m_record.line("worker %s: the answer to %s %s run %s is lost", m_options.id.c_str(), request.path.c_str(), body.value("Task", "").c_str(), std::to_string(body.value("Run", 0)).c_str());
            return std::nullopt;
        }
        sleepMs(fate.answerDelayMs);
        return response;
    }

    Response carryOut(const std::string& path, const json& body)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        update();
        const std::uint64_t token = body.value("FencingToken", std::uint64_t { 0 });
        if (token < m_token)
            return reply(409, { { "Reason", "fence" } });
        m_token = token;
        if (path == "/run-start")
            return start(body);
        if (path == "/run-stop")
            return stop(body);
        if (path != "/hold")
            return reply(404, json::object());
        if (body.contains("DeadlineMs"))
            extend(body.at("DeadlineMs").get<std::int64_t>());
        const std::uint64_t acked = body.value("AckedUpto", std::uint64_t { 0 });
        m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(), [acked](const json& row) { return row[0].get<std::uint64_t>() <= acked; }), m_ended.end());
        const std::int64_t end = nowMs() + body.value("WaitMs", 0);
        while (m_ended.empty() && nowMs() < end && !m_stopped)
            m_changed.wait_for(lock, std::chrono::milliseconds(2));
        update();
        json running = json::array();
        for (const Active& active : m_active)
            running.push_back({ active.task, active.run, "", 50, 27'000 });
        json ended = json::array();
        for (const json& row : m_ended)
            ended.push_back(row);
        return reply(200, { { "Running", running }, { "Ended", ended } });
    }

    Response start(const json& body)
    {
        const std::string task = body.at("Task").get<std::string>();
        const std::uint64_t run = body.at("Run").get<std::uint64_t>();
        const std::int64_t deadline = body.at("DeadlineMs").get<std::int64_t>();
        for (const Active& active : m_active) {
            if (active.task == task && active.run == run) {
                extend(deadline);
                return reply(200, json::object());
            }
        }
        const auto highest = m_highest.find(task);
        if (highest != m_highest.end() && run <= highest->second) {
            extend(deadline);
            return reply(409, { { "Reason", "old" } });
        }
        if (deadline <= clock())
            return reply(409, { { "Reason", "late" } });
        std::int64_t used = 0;
        for (const Active& active : m_active)
            used += active.cpu;
        extend(deadline);
        if (used + 27'000 > m_options.cpu)
            return reply(409, { { "Reason", "room" } });
        Active active;
        active.task = task;
        active.run = run;
        active.index = m_runs.begin({ task, run, m_options.id, m_options.labels, nowMs(), -1, "" });
        active.doneAt = nowMs() + m_duration(task, run);
        m_active.push_back(active);
        m_record.line("worker %s (%s): run %llu of %s begins", m_options.id.c_str(), m_options.labels.front().c_str(), static_cast<unsigned long long>(run), task.c_str());
        return reply(200, json::object());
    }

    Response stop(const json& body)
    {
        const std::string task = body.at("Task").get<std::string>();
        const std::uint64_t run = body.at("Run").get<std::uint64_t>();
        std::uint64_t& highest = m_highest[task];
        highest = std::max(highest, run);
        for (Active& active : m_active) {
            if (active.task == task && active.run == run && active.stopAt < 0)
                active.stopAt = nowMs() + m_options.stopMs;
        }
        return reply(200, json::object());
    }

    void extend(std::int64_t deadline) { m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, clock() + m_options.holdMaxMs)); }

    Response reply(int status, json body)
    {
        body["ClockMs"] = clock();
        body["born"] = m_born;
        return { status, body.dump() };
    }

    /// Ends what is due. Called with m_mutex held.
    void update()
    {
        const std::int64_t now = nowMs();
        for (std::size_t index = 0; index < m_active.size();) {
            const Active active = m_active[index];
            const char* how = nullptr;
            if (active.stopAt >= 0 && active.stopAt <= now)
                how = "stopped";
            else if (active.doneAt <= now)
                how = "done";
            else if (clock() >= m_leaseEnd)
                how = "lapsed";
            if (!how) {
                ++index;
                continue;
            }
            m_active.erase(m_active.begin() + static_cast<std::ptrdiff_t>(index));
            std::uint64_t& highest = m_highest[active.task];
            highest = std::max(highest, active.run);
            m_ended.push_back({ ++m_lastEnd, active.task, active.run, how, "" });
            m_runs.end(active.index, now, how);
            m_record.line("worker %s (%s): run %llu of %s ends: %s", m_options.id.c_str(), m_options.labels.front().c_str(), static_cast<unsigned long long>(active.run), active.task.c_str(), how);
            m_changed.notify_all();
        }
    }

    void tick()
    {
        while (!m_stopped) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                update();
            }
            sleepMs(2);
        }
    }

    WorkerOptions m_options;
    Store& m_store;
    Runs& m_runs;
    Record& m_record;
    Duration m_duration;
    std::int64_t m_born;
    std::int64_t m_clockBase = nowMs() - 1'000;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    FateOf m_fate;
    std::vector<Active> m_active;
    std::vector<json> m_ended;
    std::map<std::string, std::uint64_t> m_highest;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_late;
    std::thread m_ticker;
    Server m_server;
};

struct Interval {
    Run first;
    Run second;
    std::int64_t overlapMs = 0;
};

/// Pairs of runs of one task that were running at the same time.
inline std::vector<Interval> overlaps(const std::vector<Run>& runs, std::int64_t until)
{
    std::map<std::string, std::vector<const Run*>> byTask;
    for (const Run& run : runs)
        byTask[run.task].push_back(&run);
    const auto endOf = [until](const Run& run) { return run.end < 0 ? until : run.end; };
    std::vector<Interval> found;
    for (const auto& task : byTask) {
        for (std::size_t left = 0; left < task.second.size(); ++left) {
            for (std::size_t right = left + 1; right < task.second.size(); ++right) {
                const Run& first = *task.second[left];
                const Run& second = *task.second[right];
                const std::int64_t overlap = std::min(endOf(first), endOf(second)) - std::max(first.begin, second.begin);
                if (overlap > 0)
                    found.push_back({ first, second, overlap });
            }
        }
    }
    return found;
}

/// Records each pair of runs of one task that were running at the same time; returns their number.
inline std::size_t recordOverlaps(Record& record, Runs& runs)
{
    const std::vector<Interval> found = overlaps(runs.all(), nowMs());
    for (const Interval& pair : found)
        record.line("TWICE: %s: run %llu at %s from %lld to %lld (%s), run %llu at %s from %lld to %lld (%s): %lld ms at the same time", pair.first.task.c_str(), static_cast<unsigned long long>(pair.first.number), pair.first.worker.c_str(), static_cast<long long>(pair.first.begin), static_cast<long long>(pair.first.end), pair.first.how.c_str(), static_cast<unsigned long long>(pair.second.number), pair.second.worker.c_str(), static_cast<long long>(pair.second.begin), static_cast<long long>(pair.second.end), pair.second.how.c_str(), static_cast<long long>(pair.overlapMs));
    return found.size();
}

/// A daemon, started with the command of the deploy file and the settings that the deploy file's template yields.
class Daemon {
public:
    /// `cpuShare` is the machine's share of a processor, by which the minions are distributed.
    Daemon(std::string directory, std::string node, std::string zone, std::string storeAddress, const std::string& cpuShare = "0.25")
        : m_directory(std::move(directory))
        , m_node(std::move(node))
        , m_front(freePort())
        , m_ready(freePort())
        , m_settings(m_directory + "/" + m_node + ".ini")
    {
        std::ofstream(m_settings) << "[vm]\nid = " << m_node << "\ndataCentre = " << zone << "\nweight = " << cpuShare << "\n\n[listen]\ncaller = 127.0.0.1:" << m_front << "\nready = 127.0.0.1:" << m_ready << "\npeer = 127.0.0.1:" << freePort() << "\nmetrics = 127.0.0.1:" << freePort() << "\n\n[store]\naddress = " << storeAddress << "\n\n[bounds]\nlongestLeaseMs = 1000\nstopMs = 50\ngraceS = 6\nfarFactor = 3\n";
        start();
    }

    ~Daemon()
    {
        signal(SIGCONT);
        kill();
    }

    void start()
    {
        m_process = ::fork();
        if (m_process < 0)
            throw std::runtime_error("cannot start a process");
        if (m_process == 0) {
            const int log = ::open((m_directory + "/" + m_node + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            // The daemon ends with the test, however the test ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("EGRETTRESTLE_BOOT", m_settings.c_str(), 1);
            ::execl("target/bin/egrettrestled", "target/bin/egrettrestled", "--fleet", static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    void signal(int number)
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }

    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = -1;
    }

    /// Whether the process has ended by itself.
    bool hasExited() { return m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process; }

    bool isReady() const { return call(m_ready, "GET", "/readiness", "ready", "", 500).status == 200; }
    int front() const { return m_front; }
    const std::string& node() const { return m_node; }

private:
    std::string m_directory;
    std::string m_node;
    int m_front;
    int m_ready;
    std::string m_settings;
    pid_t m_process = -1;
};

inline bool waitReady(const std::vector<std::unique_ptr<Daemon>>& daemons, std::int64_t milliseconds = 15'000)
{
    const std::int64_t end = nowMs() + milliseconds;
    while (nowMs() < end) {
        if (std::all_of(daemons.begin(), daemons.end(), [](const auto& daemon) { return daemon->isReady(); }))
            return true;
        sleepMs(50);
    }
    return false;
}

/// A folder for settings and logs of the daemons, removed at the end unless KEEP_LOGS is set.
class TemporaryDirectory {
public:
    TemporaryDirectory()
    {
        char name[] = "/tmp/egrettrestle-review-XXXXXX";
        if (!::mkdtemp(name))
            throw std::runtime_error("cannot create a temporary directory");
        m_path = name;
    }

    ~TemporaryDirectory()
    {
        std::error_code ignored;
        // Failing to remove the folder is harmless.
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(m_path, ignored);
    }

    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

inline const std::string clientHost = "shop.example";

/// A configuration with the three queues of a small deployment.
inline std::string configuration(std::uint64_t version = 1, int maxAttempts = 4)
{
    const auto route = [maxAttempts](const char* name, int priority) {
        return json { { "Name", name }, { "Host", clientHost }, { "Prefix", std::string("/") + name + "/" }, { "Service", "print-hub" }, { "Priority", priority }, { "MaxAttempts", maxAttempts }, { "Stretch", 1.6 }, { "TargetLatencyMs", 60 }, { "TimeoutMs", 3'000 } };
    };
    return json {
        { "Version", version },
        { "Routes", { route("swatch", 0), route("quote", 1), route("render", 2) } },
        { "Services", { { { "Name", "print-hub" }, { "EnforcesCapacity", true } } } },
        { "Limits", { { "MaxBodyBytes", 262'144 }, { "IdleTimeoutMs", 15'000 } } },
    }
        .dump();
}

inline std::string jobId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x5c0e'0000'0000'0000ULL + number));
    return text;
}

inline std::string deadlineHeader(std::int64_t milliseconds) { return "X-Egrettrestle-Deadline-Ms: " + std::to_string(milliseconds) + "\r\n"; }

/// Whether the disruption is left out.
inline bool withoutTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value && std::string(value) == "0";
}

} // namespace review
