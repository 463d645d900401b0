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

/// The numbers that a family gives to faults of form: `family + 1` to `family + 5`.
struct ErrorCodeRange {
    int base;

    int notJson() const { return base + 1; }
    int missingField() const { return base + 2; }
    int wrongType() const { return base + 3; }
    int unknownField() const { return base + 4; }
    int outOfRange() const { return base + 5; }
};

/// Parses a text as JSON, at most 64 levels deep. A fault says at which byte the text stops being JSON.
std::optional<nlohmann::json> parseJson(std::string_view text, ErrorCodeRange family, std::vector<ValidationError>& faults);

/// Reads the fields of one JSON object. What is missing or of another type becomes a fault with its JSON pointer, and
/// the value reads as empty or zero, so that one pass finds every fault.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& value, std::string pointer, ErrorCodeRange family, std::vector<ValidationError>& faults);

    /// @name access
    /// @{
    std::string text(const char* key);
    std::string textOr(const char* key, const std::string& fallback);
    std::uint64_t number(const char* key);
    std::uint64_t numberOr(const char* key, std::uint64_t fallback);
    double real(const char* key);
    double realOr(const char* key, double fallback);
    bool boolean(const char* key);
    bool booleanOr(const char* key, bool fallback);
    Milliseconds milliseconds(const char* key);
    Milliseconds millisecondsOr(const char* key, Milliseconds fallback);
    /// The elements of an array; none if it is missing or something else.
    const nlohmann::json::array_t& array(const char* key);
    const nlohmann::json::array_t& arrayOrEmpty(const char* key);
    /// A field of any type.
    const nlohmann::json* value(const char* key);
    bool has(const char* key) const;
    std::string pointer(const char* key) const { return m_pointer + '/' + key; }
    std::string pointer(const char* key, std::size_t index) const { return pointer(key) + '/' + std::to_string(index); }
    /// @}

    /// Reports every field that has not been asked for.
    void rejectUnknown();

private:
    const nlohmann::json* find(const char* key, bool required);
    void wrongType(const char* key, const nlohmann::json& found, const char* expected);

    const nlohmann::json& m_value;
    std::string m_pointer;
    ErrorCodeRange m_family;
    std::vector<ValidationError>& m_faults;
    /// Names asked for; they outlive the reader, as they are literals.
    std::vector<const char*> m_known;
};

} // namespace egrettrestle::detail
