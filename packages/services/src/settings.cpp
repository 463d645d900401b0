#include <egrettrestle/services/settings.hpp>

#include <algorithm>
#include <fstream>

#include <Poco/StringTokenizer.h>

namespace egrettrestle {

namespace {

    constexpr std::size_t bytesPerMegabyte = 1024 * 1024;

    std::string setPlatform(Settings& settings, const std::string& value)
    {
        settings.platform = value == "etcd" ? PlatformKind::Etcd : PlatformKind::Embedded;
        return value == "etcd" || value == "embedded" ? "" : "embedded or etcd";
    }

    std::string setSeeds(Settings& settings, const std::string& value)
    {
        const Poco::StringTokenizer parts(value, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        settings.seeds.assign(parts.begin(), parts.end());
        return std::all_of(settings.seeds.begin(), settings.seeds.end(), isSocketAddress) ? "" : "peer addresses of other VMs, separated by commas";
    }

    const std::vector<SettingRule<Settings>>& rules()
    {
        static const std::vector<SettingRule<Settings>> list {
            { { "vm", "id", nullptr, "name of this VM, unique in its data centre" }, nameSetter(&Settings::id) },
            { { "vm", "dataCentre", nullptr, "name of this VM's data centre, as defined in the manifest" }, nameSetter(&Settings::dataCentre) },
            { { "listen", "caller", "127.0.0.1:7400", "address that callers connect to" }, addressSetter(&Settings::callerAddress, false) },
            { { "listen", "peer", "127.0.0.1:7401", "address that other VMs connect to" }, addressSetter(&Settings::peerAddress, false) },
            { { "listen", "admin", "127.0.0.1:7402", "address of the admin interface and metrics" }, addressSetter(&Settings::adminAddress, false) },
            { { "advertise", "caller", "", "address at which VMs of other data centres reach the caller port; empty: same as the listen address" }, addressSetter(&Settings::advertisedCallerAddress, true) },
            { { "advertise", "peer", "", "address at which other VMs reach the peer port; empty: same as the listen address" }, addressSetter(&Settings::advertisedPeerAddress, true) },
            { { "platform", "kind", "embedded", "`embedded`: in-process store, for a single VM; `etcd`: the platform's store" }, setPlatform },
            { { "platform", "store", "", "address of the store's JSON gateway; required with `etcd`" }, addressSetter(&Settings::storeAddress, true) },
            { { "platform", "storeTimeoutMs", "1000", "timeout for requests to the store, milliseconds" }, numberSetter<Settings>(10, 60'000, [](Settings& settings, int value) { settings.storeTimeout = Milliseconds(value); }) },
            { { "platform", "vmList", "", "address of the server that provides the VM list; required with `etcd`" }, addressSetter(&Settings::vmListAddress, true) },
            { { "platform", "vmListFile", "", "file with the VM list; required with `embedded`" }, textSetter(&Settings::vmListFile) },
            { { "platform", "manifestFile", "", "file with the initial manifest; required with `embedded`, otherwise unused" }, textSetter(&Settings::manifestFile) },
            { { "cluster", "seeds", "", "peer addresses of other VMs, comma-separated; queried for the view and the manifest when joining the cluster" }, setSeeds },
            { { "cluster", "heartbeatMs", "500", "interval between heartbeats, milliseconds" }, numberSetter<Settings>(20, 60'000, [](Settings& settings, int value) { settings.heartbeatInterval = Milliseconds(value); }) },
            { { "cluster", "missedHeartbeats", "4", "number of consecutive missed heartbeats after which a peer is removed" }, numberSetter<Settings>(2, 100, [](Settings& settings, int value) { settings.missedHeartbeats = value; }) },
            { { "executor", "taskThreads", "128", "maximum number of tasks in flight" }, numberSetter<Settings>(1, 4'096, [](Settings& settings, int value) { settings.taskThreads = value; }) },
            { { "executor", "answerMemoryMb", "16", "memory for answers retained for resubmissions, megabytes" }, numberSetter<Settings>(1, 4'096, [](Settings& settings, int value) { settings.answerMemoryBytes = static_cast<std::size_t>(value) * bytesPerMegabyte; }) },
            { { "limits", "maxConnections", "256", "maximum number of open caller connections" }, numberSetter<Settings>(4, 10'000, [](Settings& settings, int value) { settings.maxConnections = value; }) },
            { { "limits", "maxBodyMb", "16", "maximum size of a request body, megabytes" }, numberSetter<Settings>(1, 256, [](Settings& settings, int value) { settings.maxBodyBytes = static_cast<std::size_t>(value) * bytesPerMegabyte; }) },
            { { "limits", "bufferMb", "64", "memory for the bodies of all requests of one port, megabytes; at least one body of the maximum size is accepted" }, numberSetter<Settings>(1, 4'096, [](Settings& settings, int value) { settings.maxBufferedBytes = static_cast<std::size_t>(value) * bytesPerMegabyte; }) },
            { { "tracing", "file", "", "file that spans are written to, in OTLP/JSON lines; empty: tracing disabled" }, textSetter(&Settings::traceFile) },
            { { "log", "directory", "", "directory for log files; empty: log to standard error" }, textSetter(&Settings::logDirectory) },
        };
        return list;
    }

    void require(bool condition, const char* section, const char* key, const std::string& expected, std::vector<ValidationError>& errors)
    {
        if (!condition)
            errors.push_back({ settingsErrors::missingKey, iniLocation(section, key), "nothing", expected });
    }

    void checkDependencies(const Settings& settings, std::vector<ValidationError>& errors)
    {
        if (settings.platform == PlatformKind::Etcd) {
            require(!settings.storeAddress.empty(), "platform", "store", "an address, with kind = etcd", errors);
            require(!settings.vmListAddress.empty(), "platform", "vmList", "an address, with kind = etcd", errors);
        } else {
            require(!settings.vmListFile.empty(), "platform", "vmListFile", "a file, with kind = embedded", errors);
            require(!settings.manifestFile.empty(), "platform", "manifestFile", "a file, with kind = embedded", errors);
        }
    }

}

SettingsParseResult parseSettings(std::istream& stream)
{
    SettingsParseResult result;
    Settings settings = readByRules(stream, rules(), result.errors);
    checkDependencies(settings, result.errors);
    if (!result.errors.empty())
        return result;
    if (settings.advertisedCallerAddress.empty())
        settings.advertisedCallerAddress = settings.callerAddress;
    if (settings.advertisedPeerAddress.empty())
        settings.advertisedPeerAddress = settings.peerAddress;
    result.settings = std::move(settings);
    return result;
}

SettingsParseResult readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (file)
        return parseSettings(file);
    SettingsParseResult result;
    result.errors.push_back({ settingsErrors::unreadable, path, "no readable file", "a settings file" });
    return result;
}

std::string settingsTable()
{
    return iniTable(ruleKeys(rules()));
}

} // namespace egrettrestle
