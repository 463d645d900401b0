#include <egrettrestle/settings/ini_settings.hpp>

#include <algorithm>
#include <set>
#include <sstream>

#include <Poco/AutoPtr.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/Util/IniFileConfiguration.h>

namespace egrettrestle {

namespace {

    /// Reports errors that POCO's INI parser ignores: lines without '=', and duplicate keys.
    void checkLines(const std::string& text, std::vector<ValidationError>& errors)
    {
        std::istringstream lines(text);
        std::string line;
        std::string section;
        std::set<std::string> seen;
        for (int number = 1; std::getline(lines, line); ++number) {
            const std::string content = Poco::trim(line);
            if (content.empty() || content[0] == ';' || content[0] == '#')
                continue;
            const std::string where = "line " + std::to_string(number);
            if (content[0] == '[') {
                section = Poco::trim(content.substr(1, content.find(']') - 1));
                if (content.back() != ']')
                    errors.push_back({ settingsErrors::notKeyAndValue, where, content, "a section name in brackets" });
                continue;
            }
            const std::size_t equals = content.find('=');
            if (equals == std::string::npos) {
                errors.push_back({ settingsErrors::notKeyAndValue, where, content, "key = value" });
                continue;
            }
            const std::string key = Poco::trim(content.substr(0, equals));
            if (!seen.insert(Poco::toLower(section + '.' + key)).second)
                errors.push_back({ settingsErrors::repeatedKey, iniLocation(section, key), "a second value in " + where, "one value" });
        }
    }

    void checkUnknown(const Poco::Util::AbstractConfiguration& configuration, const std::vector<IniKey>& known, std::vector<ValidationError>& errors)
    {
        Poco::Util::AbstractConfiguration::Keys sections;
        configuration.keys(sections);
        for (const std::string& section : sections) {
            const auto inSection = [&section](const IniKey& key) { return Poco::icompare(section, std::string(key.section)) == 0; };
            if (std::none_of(known.begin(), known.end(), inSection)) {
                errors.push_back({ settingsErrors::unknownSection, '[' + section + ']', "an unknown section", "a section of docs/SETTINGS.md" });
                continue;
            }
            Poco::Util::AbstractConfiguration::Keys keys;
            configuration.keys(section, keys);
            for (const std::string& key : keys) {
                const auto matchesKey = [&](const IniKey& candidate) { return inSection(candidate) && Poco::icompare(key, std::string(candidate.key)) == 0; };
                if (std::none_of(known.begin(), known.end(), matchesKey))
                    errors.push_back({ settingsErrors::unknownKey, iniLocation(section, key), "an unknown key", "a key of docs/SETTINGS.md" });
            }
        }
    }

}

std::string iniLocation(const std::string& section, const std::string& key) { return '[' + section + "] " + key; }

std::vector<std::optional<std::string>> readIni(std::istream& stream, const std::vector<IniKey>& keys, std::vector<ValidationError>& errors)
{
    std::vector<std::optional<std::string>> values;
    std::stringstream text;
    text << stream.rdbuf();
    checkLines(text.str(), errors);
    try {
        const Poco::AutoPtr<Poco::Util::IniFileConfiguration> configuration = new Poco::Util::IniFileConfiguration(text);
        checkUnknown(*configuration, keys, errors);
        for (const IniKey& key : keys) {
            const std::string name = std::string(key.section) + '.' + key.key;
            if (!configuration->has(name) && !key.defaultValue) {
                errors.push_back({ settingsErrors::missingKey, iniLocation(key.section, key.key), "nothing", key.description });
                values.emplace_back();
                continue;
            }
            values.emplace_back(configuration->getRawString(name, key.defaultValue ? key.defaultValue : ""));
        }
    } catch (const Poco::Exception& error) {
        errors.push_back({ settingsErrors::unreadable, "settings", error.displayText(), "INI text" });
    }
    return values;
}

std::string iniTable(const std::vector<IniKey>& keys)
{
    std::string table = "| section | key | default | meaning |\n| --- | --- | --- | --- |\n";
    for (const IniKey& key : keys) {
        const std::string fallback = !key.defaultValue ? "must be given" : *key.defaultValue ? '`' + std::string(key.defaultValue) + '`'
                                                                                             : "empty";
        table += std::string("| ") + key.section + " | " + key.key + " | " + fallback + " | " + key.description + " |\n";
    }
    return table;
}

bool isSocketAddress(const std::string& value)
{
    try {
        const Poco::Net::SocketAddress address(value);
        return value.find(':') != std::string::npos;
    } catch (const Poco::Exception&) {
        return false;
    }
}

std::optional<int> parseInteger(const std::string& value, int minimum, int maximum)
{
    int number = 0;
    if (!Poco::NumberParser::tryParse(value, number) || number < minimum || number > maximum)
        return std::nullopt;
    return number;
}

} // namespace egrettrestle
