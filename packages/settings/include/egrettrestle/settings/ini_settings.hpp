#pragma once

#include <functional>
#include <istream>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/validation_error.hpp>

namespace egrettrestle {

/// The numbers of settings faults.
namespace settingsErrors {

    inline constexpr int unreadable = 101;
    inline constexpr int notKeyAndValue = 102;
    inline constexpr int repeatedKey = 103;
    inline constexpr int unknownSection = 104;
    inline constexpr int unknownKey = 105;
    inline constexpr int missingKey = 106;
    inline constexpr int badValue = 107;

}

/// One key of a settings file.
struct IniKey {
    const char* section;
    const char* key;
    /// Null for a key that must be given.
    const char* defaultValue;
    const char* description;
};

/// Where a key stands, as faults name it: `[section] key`.
std::string iniLocation(const std::string& section, const std::string& key);

/// Reads the values of the keys, in their order, from INI text. Lines without '=', keys given twice, unknown sections and
/// keys, and missing keys become faults; a missing key reads as nothing.
std::vector<std::optional<std::string>> readIni(std::istream& text, const std::vector<IniKey>& keys, std::vector<ValidationError>& faults);

/// The keys as a Markdown table.
std::string iniTable(const std::vector<IniKey>& keys);

/// Whether a text is an IP number and a port.
bool isSocketAddress(const std::string& value);

/// A whole number in a range; nothing for any other text.
std::optional<int> parseInteger(const std::string& value, int least, int most);

/// A key together with what stores its value. The setter says what was expected, empty if the value serves.
template <typename Type>
struct SettingRule {
    IniKey key;
    std::function<std::string(Type&, const std::string&)> set;
};

/// @name setters
/// @{

template <typename Type>
std::function<std::string(Type&, const std::string&)> textSetter(std::string Type::*member)
{
    return [member](Type& settings, const std::string& value) {
        settings.*member = value;
        return std::string();
    };
}

template <typename Type>
std::function<std::string(Type&, const std::string&)> nameSetter(std::string Type::*member)
{
    return [member](Type& settings, const std::string& value) {
        settings.*member = value;
        const bool serves = !value.empty() && value.find_first_of(" /:,") == std::string::npos;
        return std::string(serves ? "" : "a name without blanks, slashes, colons or commas");
    };
}

template <typename Type>
std::function<std::string(Type&, const std::string&)> addressSetter(std::string Type::*member, bool mayBeEmpty)
{
    return [member, mayBeEmpty](Type& settings, const std::string& value) {
        settings.*member = value;
        const bool serves = value.empty() ? mayBeEmpty : isSocketAddress(value);
        return std::string(serves ? "" : "an IP number and a port, as in 10.0.0.1:7000");
    };
}

/// A setter for a whole number in a range, handed to `store`.
template <typename Type>
std::function<std::string(Type&, const std::string&)> numberSetter(int least, int most, std::function<void(Type&, int)> store)
{
    return [least, most, store = std::move(store)](Type& settings, const std::string& value) {
        const std::optional<int> number = parseInteger(value, least, most);
        if (!number)
            return "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
        store(settings, *number);
        return std::string();
    };
}

/// @}

template <typename Type>
std::vector<IniKey> ruleKeys(const std::vector<SettingRule<Type>>& rules)
{
    std::vector<IniKey> keys;
    for (const SettingRule<Type>& rule : rules)
        keys.push_back(rule.key);
    return keys;
}

/// Reads settings by their rules; every fault is reported.
template <typename Type>
Type readByRules(std::istream& text, const std::vector<SettingRule<Type>>& rules, std::vector<ValidationError>& faults)
{
    Type settings;
    const std::vector<std::optional<std::string>> values = readIni(text, ruleKeys(rules), faults);
    for (std::size_t index = 0; index < values.size(); ++index) {
        if (!values[index])
            continue;
        const std::string expected = rules[index].set(settings, *values[index]);
        if (!expected.empty())
            faults.push_back({ settingsErrors::badValue, iniLocation(rules[index].key.section, rules[index].key.key), '"' + *values[index] + '"', expected });
    }
    return settings;
}

} // namespace egrettrestle
