#include <egrettrestle/base/event_log.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

namespace {

    // Lines that may wait for the writer.
    constexpr std::size_t longestQueue = 512;
    // Lines a second: several for each request at the load of one VM.
    constexpr int mostLinesPerSecond = 400;
    constexpr std::chrono::seconds window { 1 };
    // Lines are gathered this long, so that one write serves many.
    constexpr Milliseconds writeInterval { 100 };

    std::int64_t unixMilliseconds()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    nlohmann::ordered_json head(const std::string& vm, const Event& event)
    {
        return { { "time", unixMilliseconds() }, { "vm", vm }, { "event", event.number }, { "name", event.name } };
    }

    std::string lineOf(const nlohmann::ordered_json& line)
    {
        return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + '\n';
    }

}

struct EventLog::State {
    std::string vm;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::string> lines;
    std::map<int, std::uint64_t> dropped;
    int inWindow = 0;
    TimePoint windowStart;
    bool stopping = false;
    std::thread writer;

    bool admit(const Event& event)
    {
        const TimePoint now = SteadyClock::now();
        if (now - windowStart >= window) {
            windowStart = now;
            inWindow = 0;
            reportDropped();
        }
        if (inWindow < mostLinesPerSecond && lines.size() < longestQueue) {
            ++inWindow;
            return true;
        }
        ++dropped[event.number];
        return false;
    }

    void reportDropped()
    {
        if (dropped.empty())
            return;
        nlohmann::ordered_json line = head(vm, events::logLinesDropped);
        for (const auto& entry : dropped)
            line["dropped"][std::to_string(entry.first)] = entry.second;
        lines.push_back(lineOf(line));
        dropped.clear();
    }

    void run()
    {
        std::unique_lock<std::mutex> lock(mutex);
        while (true) {
            wake.wait(lock, [this] { return stopping || !lines.empty(); });
            if (!stopping)
                wake.wait_for(lock, writeInterval, [this] { return stopping; });
            std::string text;
            for (const std::string& line : lines)
                text += line;
            lines.clear();
            const bool last = stopping;
            lock.unlock();
            std::fwrite(text.data(), 1, text.size(), stdout);
            std::fflush(stdout);
            lock.lock();
            if (last)
                return;
        }
    }
};

EventLog::EventLog(std::string vm)
    : m_state(std::make_unique<State>())
{
    m_state->vm = std::move(vm);
    m_state->windowStart = SteadyClock::now();
    m_state->writer = std::thread([this] { m_state->run(); });
}

EventLog::~EventLog()
{
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->stopping = true;
        m_state->reportDropped();
    }
    m_state->wake.notify_all();
    m_state->writer.join();
}

void EventLog::write(const Event& event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line = head(m_state->vm, event);
    for (const LogField& field : fields)
        std::visit([&line, &field](const auto& value) { line[field.key] = value; }, field.value);
    std::string text = lineOf(line);
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    if (!m_state->admit(event))
        return;
    const bool first = m_state->lines.empty();
    m_state->lines.push_back(std::move(text));
    if (first)
        m_state->wake.notify_one();
}

} // namespace egrettrestle
