#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include <nlohmann/json.hpp>

namespace egrettrestle::detail {

/// Writes JSON text field by field, for messages that are sent so often that a tree of values for each would be costly. The
/// caller closes what it opens. Keys must need no escaping.
class JsonWriter {
public:
    void beginObject() { begin('{'); }
    void beginObject(std::string_view key) { beginAt(key, '{'); }
    void endObject() { end('}'); }
    void beginArray() { begin('['); }
    void beginArray(std::string_view key) { beginAt(key, '['); }
    void endArray() { end(']'); }

    template <typename Value>
    void field(std::string_view key, const Value& value)
    {
        writeKey(key);
        write(value);
    }

    template <typename Value>
    void element(const Value& value)
    {
        separate();
        write(value);
    }

    const std::string& text() const { return m_text; }

private:
    void begin(char bracket);
    void beginAt(std::string_view key, char bracket);
    void end(char bracket);
    /// Writes a comma if a value precedes at the same level.
    void separate();
    void writeKey(std::string_view key);

    /// Invalid UTF-8 is replaced, as by nlohmann::json::error_handler_t::replace.
    void write(const std::string& value);
    void write(double value);
    void write(bool value) { m_text += value ? "true" : "false"; }
    void write(const nlohmann::json& value);

    template <typename Number, typename = std::enable_if_t<std::is_integral<Number>::value>>
    void write(Number value)
    {
        m_text += std::to_string(value);
    }

    std::string m_text;
    bool m_first = true;
};

} // namespace egrettrestle::detail
