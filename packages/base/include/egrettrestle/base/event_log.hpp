#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <egrettrestle/base/event.hpp>

namespace egrettrestle {

/// One key-value field of a log line.
struct LogField {
    const char* key;
    std::variant<std::string, std::int64_t, double> value;
};

/// Structured event log: writes one JSON object per line to standard output, with the time, the VM, the event's number
/// and name, and the given fields. Writing never blocks on output: lines that exceed the queue size or the rate limit
/// are dropped and counted by event, and the counts are logged once per second. Thread-safe.
class EventLog {
public:
    /// Starts the writer thread. Every line contains `vm`.
    explicit EventLog(std::string vm);
    /// Writes the queued lines and stops the writer thread.
    ~EventLog();

    /// Queues one line, or drops it if the queue is full or the rate limit is exceeded.
    void write(const Event& event, std::initializer_list<LogField> fields);

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace egrettrestle
