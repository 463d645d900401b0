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

    // Lines queued for the writer thread.
    constexpr std::size_t maxQueuedLines = 512;
    // Allows for several lines per request at the request rate of one VM.
    constexpr int maxLinesPerSecond = 400;
    constexpr std::chrono::seconds rateWindow { 1 };
    // Lines are collected for this long, so that one write outputs many.
    constexpr Milliseconds writeInterval { 100 };

    std::int64_t unixMilliseconds()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    nlohmann::ordered_json lineHeader(const std::string& vm, const Event& event)
    {
        return { { "time", unixMilliseconds() }, { "vm", vm }, { "event", event.number }, { "name", event.name } };
    }

    std::string formatLine(const nlohmann::ordered_json& line)
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
    int linesInWindow = 0;
    TimePoint rateWindowStart;
    bool stopping = false;
    std::thread writer;

    bool admit(const Event& event)
    {
        const TimePoint now = SteadyClock::now();
        if (now - rateWindowStart >= rateWindow) {
            rateWindowStart = now;
            linesInWindow = 0;
            reportDropped();
        }
        if (linesInWindow < maxLinesPerSecond && lines.size() < maxQueuedLines) {
            ++linesInWindow;
            return true;
        }
        ++dropped[event.number];
        return false;
    }

    void reportDropped()
    {
        if (dropped.empty())
            return;
        nlohmann::ordered_json line = lineHeader(vm, events::logLinesDropped);
        for (const auto& entry : dropped)
            line["dropped"][std::to_string(entry.first)] = entry.second;
        lines.push_back(formatLine(line));
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
            const bool lastBatch = stopping;
            lock.unlock();
            std::fwrite(text.data(), 1, text.size(), stdout);
            std::fflush(stdout);
            lock.lock();
            if (lastBatch)
                return;
        }
    }
};

EventLog::EventLog(std::string vm)
    : m_state(std::make_unique<State>())
{
    m_state->vm = std::move(vm);
    m_state->rateWindowStart = SteadyClock::now();
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
    nlohmann::ordered_json line = lineHeader(m_state->vm, event);
    for (const LogField& field : fields)
        std::visit([&line, &field](const auto& value) { line[field.key] = value; }, field.value);
    std::string text = formatLine(line);
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    // The writer has to be woken as well for the report on dropped lines, which admit() may add.
    const bool wakeWriter = m_state->lines.empty();
    if (!m_state->admit(event))
        return;
    m_state->lines.push_back(std::move(text));
    if (wakeWriter)
        m_state->wake.notify_one();
}

} // namespace egrettrestle
