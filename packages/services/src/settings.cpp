#include <egrettrestle/services/settings.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

#include <Poco/AutoPtr.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Util/IniFileConfiguration.h>

namespace egrettrestle {

namespace {

    constexpr std::size_t bytesPerMegabyte = 1024 * 1024;

    /// Stores a value in the settings; the result says what was expected, empty if the value serves.
    using Setter = std::function<std::string(Settings&, const std::string&)>;

    /// One key of a section.
    struct KeyRule {
        const char* section;
        const char* key;
        /// Null for a key that must be given.
        const char* fallback;
        const char* meaning;
        Setter set;
    };

    Setter textSetter(std::string Settings::*member)
    {
        return [member](Settings& settings, const std::string& value) {
            settings.*member = value;
            return std::string();
        };
    }

    Setter nameSetter(std::string Settings::*member)
    {
        return [member](Settings& settings, const std::string& value) {
            settings.*member = value;
            const bool serves = !value.empty() && value.find_first_of(" /:,") == std::string::npos;
            return std::string(serves ? "" : "a name without blanks, slashes, colons or commas");
        };
    }

    bool isAddress(const std::string& value)
    {
        try {
            const Poco::Net::SocketAddress address(value);
            return value.find(':') != std::string::npos;
        } catch (const Poco::Exception&) {
            return false;
        }
    }

    Setter addressSetter(std::string Settings::*member, bool mayBeEmpty)
    {
        return [member, mayBeEmpty](Settings& settings, const std::string& value) {
            settings.*member = value;
            const bool serves = value.empty() ? mayBeEmpty : isAddress(value);
            return std::string(serves ? "" : "an IP number and a port, as in 10.0.0.1:7000");
        };
    }

    std::optional<int> wholeNumber(const std::string& value, int least, int most)
    {
        int number = 0;
        if (!Poco::NumberParser::tryParse(value, number) || number < least || number > most)
            return std::nullopt;
        return number;
    }

    /// A setter for a whole number in a range, handed to `store`.
    Setter numberSetter(int least, int most, std::function<void(Settings&, int)> store)
    {
        return [least, most, store = std::move(store)](Settings& settings, const std::string& value) {
            const std::optional<int> number = wholeNumber(value, least, most);
            if (!number)
                return "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
            store(settings, *number);
            return std::string();
        };
    }

    std::string setPlatform(Settings& settings, const std::string& value)
    {
        settings.platform = value == "etcd" ? PlatformKind::Etcd : PlatformKind::Embedded;
        return value == "etcd" || value == "embedded" ? "" : "embedded or etcd";
    }

    std::string setSeeds(Settings& settings, const std::string& value)
    {
        const Poco::StringTokenizer parts(value, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        settings.seeds.assign(parts.begin(), parts.end());
        return std::all_of(settings.seeds.begin(), settings.seeds.end(), isAddress) ? "" : "peer addresses of other VMs, separated by commas";
    }

    const std::vector<KeyRule>& rules()
    {
        static const std::vector<KeyRule> list {
            { "vm", "id", nullptr, "name of this VM, unlike any other's in its data centre", nameSetter(&Settings::id) },
            { "vm", "dataCentre", nullptr, "data centre of this VM, a name of the manifest", nameSetter(&Settings::dataCentre) },
            { "listen", "caller", "127.0.0.1:7400", "address for callers", addressSetter(&Settings::callerAddress, false) },
            { "listen", "peer", "127.0.0.1:7401", "address for other VMs", addressSetter(&Settings::peerAddress, false) },
            { "listen", "admin", "127.0.0.1:7402", "address for operators and metrics", addressSetter(&Settings::adminAddress, false) },
            { "advertise", "caller", "", "address at which VMs of other data centres reach the caller port; empty: as listened", addressSetter(&Settings::advertisedCallerAddress, true) },
            { "advertise", "peer", "", "address at which other VMs reach the peer port; empty: as listened", addressSetter(&Settings::advertisedPeerAddress, true) },
            { "platform", "kind", "embedded", "`embedded` for one VM alone, `etcd` for the platform's store", setPlatform },
            { "platform", "store", "", "address of the store's JSON gateway; needed with `etcd`", addressSetter(&Settings::storeAddress, true) },
            { "platform", "storeTimeoutMs", "1000", "longest wait for a reply of the store, milliseconds", numberSetter(10, 60'000, [](Settings& settings, int value) { settings.storeTimeout = Milliseconds(value); }) },
            { "platform", "vmList", "", "address of the VM list; needed with `etcd`", addressSetter(&Settings::vmListAddress, true) },
            { "platform", "vmListFile", "", "file with the VM list; needed with `embedded`", textSetter(&Settings::vmListFile) },
            { "platform", "manifestFile", "", "manifest to begin with; only with `embedded`", textSetter(&Settings::manifestFile) },
            { "cluster", "seeds", "", "peer addresses of other VMs, asked when the store is down", setSeeds },
            { "cluster", "heartbeatMs", "500", "time between heartbeats, milliseconds", numberSetter(20, 60'000, [](Settings& settings, int value) { settings.heartbeatInterval = Milliseconds(value); }) },
            { "cluster", "missedHeartbeats", "4", "heartbeats missed in a row until a peer is removed", numberSetter(2, 100, [](Settings& settings, int value) { settings.missedHeartbeats = value; }) },
            { "executor", "taskThreads", "128", "tasks in flight at a time, at most", numberSetter(1, 4'096, [](Settings& settings, int value) { settings.taskThreads = value; }) },
            { "executor", "answerMemoryMb", "16", "memory for answers kept for resubmissions, megabytes", numberSetter(1, 4'096, [](Settings& settings, int value) { settings.answerMemoryBytes = static_cast<std::size_t>(value) * bytesPerMegabyte; }) },
            { "limits", "maxConnections", "256", "connections of callers at a time, at most", numberSetter(4, 10'000, [](Settings& settings, int value) { settings.maxConnections = value; }) },
            { "limits", "maxBodyMb", "16", "largest request body, megabytes", numberSetter(1, 256, [](Settings& settings, int value) { settings.maxBodyBytes = static_cast<std::size_t>(value) * bytesPerMegabyte; }) },
            { "tracing", "file", "", "file for spans, OTLP/JSON lines; empty: no tracing", textSetter(&Settings::traceFile) },
            { "log", "directory", "", "directory for log files; empty: standard error", textSetter(&Settings::logDirectory) },
        };
        return list;
    }

    std::string place(const std::string& section, const std::string& key) { return '[' + section + "] " + key; }

    /// Finds what POCO's reader passes over: lines without '=', and keys given twice.
    void checkLines(const std::string& text, std::vector<Fault>& faults)
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
                    faults.push_back({ settingsFaults::notKeyAndValue, where, content, "a section name in brackets" });
                continue;
            }
            const std::size_t equals = content.find('=');
            if (equals == std::string::npos) {
                faults.push_back({ settingsFaults::notKeyAndValue, where, content, "key = value" });
                continue;
            }
            const std::string key = Poco::trim(content.substr(0, equals));
            if (!seen.insert(Poco::toLower(section + '.' + key)).second)
                faults.push_back({ settingsFaults::repeatedKey, place(section, key), "a second value in " + where, "one value" });
        }
    }

    bool isSection(const std::string& section)
    {
        return std::any_of(rules().begin(), rules().end(), [&section](const KeyRule& rule) { return Poco::icompare(section, std::string(rule.section)) == 0; });
    }

    bool isKey(const std::string& section, const std::string& key)
    {
        return std::any_of(rules().begin(), rules().end(), [&](const KeyRule& rule) {
            return Poco::icompare(section, std::string(rule.section)) == 0 && Poco::icompare(key, std::string(rule.key)) == 0;
        });
    }

    void checkUnknown(const Poco::Util::AbstractConfiguration& configuration, std::vector<Fault>& faults)
    {
        Poco::Util::AbstractConfiguration::Keys sections;
        configuration.keys(sections);
        for (const std::string& section : sections) {
            if (!isSection(section)) {
                faults.push_back({ settingsFaults::unknownSection, '[' + section + ']', "an unknown section", "a section of docs/SETTINGS.md" });
                continue;
            }
            Poco::Util::AbstractConfiguration::Keys keys;
            configuration.keys(section, keys);
            for (const std::string& key : keys) {
                if (!isKey(section, key))
                    faults.push_back({ settingsFaults::unknownKey, place(section, key), "an unknown key", "a key of docs/SETTINGS.md" });
            }
        }
    }

    void require(bool holds, const char* section, const char* key, const std::string& expected, std::vector<Fault>& faults)
    {
        if (!holds)
            faults.push_back({ settingsFaults::missingKey, place(section, key), "nothing", expected });
    }

    void checkTogether(const Settings& settings, std::vector<Fault>& faults)
    {
        if (settings.platform == PlatformKind::Etcd) {
            require(!settings.storeAddress.empty(), "platform", "store", "an address, with kind = etcd", faults);
            require(!settings.vmListAddress.empty(), "platform", "vmList", "an address, with kind = etcd", faults);
        } else {
            require(!settings.vmListFile.empty(), "platform", "vmListFile", "a file, with kind = embedded", faults);
            require(!settings.manifestFile.empty(), "platform", "manifestFile", "a file, with kind = embedded", faults);
        }
    }

}

SettingsParse parseSettings(std::istream& stream)
{
    SettingsParse result;
    std::stringstream text;
    text << stream.rdbuf();
    checkLines(text.str(), result.faults);
    Settings settings;
    try {
        const Poco::AutoPtr<Poco::Util::IniFileConfiguration> configuration = new Poco::Util::IniFileConfiguration(text);
        checkUnknown(*configuration, result.faults);
        for (const KeyRule& rule : rules()) {
            const std::string name = std::string(rule.section) + '.' + rule.key;
            if (!configuration->has(name) && !rule.fallback) {
                result.faults.push_back({ settingsFaults::missingKey, place(rule.section, rule.key), "nothing", rule.meaning });
                continue;
            }
            const std::string value = configuration->getRawString(name, rule.fallback ? rule.fallback : "");
            const std::string expected = rule.set(settings, value);
            if (!expected.empty())
                result.faults.push_back({ settingsFaults::badValue, place(rule.section, rule.key), '"' + value + '"', expected });
        }
    } catch (const Poco::Exception& error) {
        result.faults.push_back({ settingsFaults::unreadable, "settings", error.displayText(), "INI text" });
    }
    checkTogether(settings, result.faults);
    if (!result.faults.empty())
        return result;
    if (settings.advertisedCallerAddress.empty())
        settings.advertisedCallerAddress = settings.callerAddress;
    if (settings.advertisedPeerAddress.empty())
        settings.advertisedPeerAddress = settings.peerAddress;
    result.settings = std::move(settings);
    return result;
}

SettingsParse readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (file)
        return parseSettings(file);
    SettingsParse result;
    result.faults.push_back({ settingsFaults::unreadable, path, "no readable file", "a settings file" });
    return result;
}

std::string settingsTable()
{
    std::string table = "| section | key | default | meaning |\n| --- | --- | --- | --- |\n";
    for (const KeyRule& rule : rules()) {
        const std::string fallback = !rule.fallback ? "must be given" : *rule.fallback ? '`' + std::string(rule.fallback) + '`'
                                                                                       : "empty";
        table += std::string("| ") + rule.section + " | " + rule.key + " | " + fallback + " | " + rule.meaning + " |\n";
    }
    return table;
}

} // namespace egrettrestle
