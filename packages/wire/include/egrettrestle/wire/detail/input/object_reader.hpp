#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/validation_error.hpp>

namespace egrettrestle::detail {

/// The error codes for the syntax and the fields of one type of input: `base + 1` to `base + 5`.
struct ErrorCodeRange {
    int base;

    int notJson() const { return base + 1; }
    int missingField() const { return base + 2; }
    int wrongType() const { return base + 3; }
    int unknownField() const { return base + 4; }
    int outOfRange() const { return base + 5; }
};

/// The longest time that milliseconds() reads.
inline constexpr std::uint64_t maxMilliseconds = 1'000'000'000'000;

/// The beginning of a text, for messages; a character of several bytes is not cut.
std::string excerptOf(const std::string& text);

/// Parses a text as JSON with at most 64 levels of nesting. On failure, adds an error, with the byte offset of a syntax
/// error, and returns nothing.
std::optional<nlohmann::json> parseJson(std::string_view text, ErrorCodeRange codes, std::vector<ValidationError>& errors);

/// Reads the fields of one JSON object. A missing field or a value of the wrong type adds an error with its JSON
/// pointer and reads as empty or zero, so that one pass reports all errors.
class ObjectReader {
public:
    /// Adds an error if `value` is not an object. `pointer` is its JSON pointer; `value` and the errors must outlive
    /// the reader.
    ObjectReader(const nlohmann::json& value, std::string pointer, ErrorCodeRange codes, std::vector<ValidationError>& errors);

    /// @name access
    /// Functions with `Or` read an optional field and return the default value if it is missing; the others require the
    /// field. number() and milliseconds() read non-negative integers.
    /// @{
    std::string text(const char* key);
    std::string textOr(const char* key, const std::string& defaultValue);
    std::uint64_t number(const char* key);
    std::uint64_t numberOr(const char* key, std::uint64_t defaultValue);
    /// Adds an error for a number above `maximum`, which reads as 0.
    std::uint64_t numberOr(const char* key, std::uint64_t defaultValue, std::uint64_t maximum);
    /// A non-negative integer that fits into 64 bits with a sign. Adds an error for a larger one, which reads as 0.
    std::int64_t integer(const char* key);
    double real(const char* key);
    double realOr(const char* key, double defaultValue);
    bool boolean(const char* key);
    bool booleanOr(const char* key, bool defaultValue);
    Milliseconds milliseconds(const char* key);
    Milliseconds millisecondsOr(const char* key, Milliseconds defaultValue);
    /// The elements of an array; none if the field is missing or not an array.
    const nlohmann::json::array_t& array(const char* key);
    const nlohmann::json::array_t& arrayOrEmpty(const char* key);
    /// A required field of any type; null if it is missing.
    const nlohmann::json* value(const char* key);
    bool has(const char* key) const;
    std::string pointer(const char* key) const { return m_pointer + '/' + key; }
    std::string pointer(const char* key, std::size_t index) const { return pointer(key) + '/' + std::to_string(index); }
    /// @}

    /// Adds an error for each field of the object that has not been read.
    void rejectUnknown();

private:
    const nlohmann::json* find(const char* key, bool required);
    void wrongType(const char* key, const nlohmann::json& found, const char* expected);

    const nlohmann::json& m_value;
    std::string m_pointer;
    ErrorCodeRange m_codes;
    std::vector<ValidationError>& m_errors;
    /// Keys read so far. They outlive the reader, as they are string literals.
    std::vector<const char*> m_keysRead;
};

} // namespace egrettrestle::detail
