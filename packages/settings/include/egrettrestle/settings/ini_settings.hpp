#pragma once

#include <functional>
#include <istream>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/validation_error.hpp>

namespace egrettrestle {

/// The codes of errors in settings.
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
    /// Null for a required key.
    const char* defaultValue;
    const char* description;
};

/// Formats the location of a key as errors give it: `[section] key`.
std::string iniLocation(const std::string& section, const std::string& key);

/// Reads the values of the keys from INI text, in the order of `keys`. Adds an error for text that is not INI and for
/// each line without '=', duplicate key, unknown section or key, and missing required key. A missing required key has
/// no value.
std::vector<std::optional<std::string>> readIni(std::istream& text, const std::vector<IniKey>& keys, std::vector<ValidationError>& errors);

/// Formats the keys as a Markdown table.
std::string iniTable(const std::vector<IniKey>& keys);

/// Whether a text is an IP address and a port.
bool isSocketAddress(const std::string& value);

/// Parses an integer in a range, bounds included; returns nothing for any other text.
std::optional<int> parseInteger(const std::string& value, int minimum, int maximum);

/// A key and the setter of its value. The setter returns what was expected, or an empty string if the value is valid.
template <typename Type>
struct SettingRule {
    IniKey key;
    std::function<std::string(Type&, const std::string&)> set;
};

/// @name setters
/// @{

/// A setter that accepts any text.
template <typename Type>
std::function<std::string(Type&, const std::string&)> textSetter(std::string Type::*member)
{
    return [member](Type& settings, const std::string& value) {
        settings.*member = value;
        return std::string();
    };
}

/// A setter that accepts a name: not empty, and without spaces, slashes, colons and commas.
template <typename Type>
std::function<std::string(Type&, const std::string&)> nameSetter(std::string Type::*member)
{
    return [member](Type& settings, const std::string& value) {
        settings.*member = value;
        const bool valid = !value.empty() && value.find_first_of(" /:,") == std::string::npos;
        return std::string(valid ? "" : "a name without spaces, slashes, colons or commas");
    };
}

/// A setter that accepts an IP address and a port, and an empty text if that is allowed.
template <typename Type>
std::function<std::string(Type&, const std::string&)> addressSetter(std::string Type::*member, bool allowEmpty)
{
    return [member, allowEmpty](Type& settings, const std::string& value) {
        settings.*member = value;
        const bool valid = value.empty() ? allowEmpty : isSocketAddress(value);
        return std::string(valid ? "" : "an IP address and a port, such as 10.0.0.1:7000");
    };
}

/// A setter that accepts an integer in a range, bounds included, and passes it to `store`.
template <typename Type>
std::function<std::string(Type&, const std::string&)> numberSetter(int minimum, int maximum, std::function<void(Type&, int)> store)
{
    return [minimum, maximum, store = std::move(store)](Type& settings, const std::string& value) {
        const std::optional<int> number = parseInteger(value, minimum, maximum);
        if (!number)
            return "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
        store(settings, *number);
        return std::string();
    };
}

/// @}

/// The keys of the rules, in the same order.
template <typename Type>
std::vector<IniKey> ruleKeys(const std::vector<SettingRule<Type>>& rules)
{
    std::vector<IniKey> keys;
    for (const SettingRule<Type>& rule : rules)
        keys.push_back(rule.key);
    return keys;
}

/// Reads settings from INI text according to the rules. Adds every error in the text; fields without a valid value may
/// hold the invalid text or their default.
template <typename Type>
Type readByRules(std::istream& text, const std::vector<SettingRule<Type>>& rules, std::vector<ValidationError>& errors)
{
    Type settings;
    const std::vector<std::optional<std::string>> values = readIni(text, ruleKeys(rules), errors);
    for (std::size_t index = 0; index < values.size(); ++index) {
        if (!values[index])
            continue;
        const std::string expected = rules[index].set(settings, *values[index]);
        if (!expected.empty())
            errors.push_back({ settingsErrors::badValue, iniLocation(rules[index].key.section, rules[index].key.key), '"' + *values[index] + '"', expected });
    }
    return settings;
}

} // namespace egrettrestle
