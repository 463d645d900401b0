#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <egrettrestle/base/event.hpp>

namespace egrettrestle {

/// One field of a log line.
struct LogField {
    const char* key;
    std::variant<std::string, std::int64_t, double> value;
};

/// Writes one JSON object a line to standard output: time, event number and name, then the fields. Writers never wait:
/// lines beyond the bounds are dropped, counted by event, and the counts are written once a second. Safe for use by
/// several threads.
class EventLog {
public:
    explicit EventLog(std::string vm);
    ~EventLog();

    void write(const Event& event, std::initializer_list<LogField> fields);

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace egrettrestle
