#include <egrettrestle/fleet/fleet_settings.hpp>

#include <fstream>

#include <Poco/NumberParser.h>

#include <egrettrestle/settings/ini_settings.hpp>

namespace egrettrestle {

namespace {

    constexpr double maxGraceSeconds = 600;
    constexpr double maxRemoteDataFactor = 100;
    constexpr double minWeight = 0.001;
    constexpr double maxWeight = 1'000;
    constexpr std::size_t bytesPerKilobyte = 1024;

    std::optional<double> parseReal(const std::string& value, double least, double most)
    {
        double number = 0;
        if (!Poco::NumberParser::tryParseFloat(value, number) || number < least || number > most)
            return std::nullopt;
        return number;
    }

    std::string setStopGrace(FleetSettings& settings, const std::string& value)
    {
        const std::optional<double> seconds = parseReal(value, 0, maxGraceSeconds);
        if (!seconds)
            return "seconds, from 0 to 600";
        settings.gracePeriod = Milliseconds { static_cast<std::int64_t>(*seconds * 1'000) };
        return {};
    }

    std::string setWeight(FleetSettings& settings, const std::string& value)
    {
        const std::optional<double> weight = parseReal(value, minWeight, maxWeight);
        if (!weight)
            return "a number from 0.001 to 1000";
        settings.weight = *weight;
        return {};
    }

    std::string setFarFactor(FleetSettings& settings, const std::string& value)
    {
        const std::optional<double> factor = parseReal(value, 1, maxRemoteDataFactor);
        if (!factor)
            return "a factor from 1 to 100";
        settings.remoteDataFactor = *factor;
        return {};
    }

    const std::vector<SettingRule<FleetSettings>>& rules()
    {
        static const std::vector<SettingRule<FleetSettings>> list {
            { { "vm", "id", nullptr, "name of this VM, unique in the fleet" }, nameSetter(&FleetSettings::id) },
            { { "vm", "dataCentre", nullptr, "data centre of this VM" }, nameSetter(&FleetSettings::dataCentre) },
            { { "vm", "weight", "1", "weight of this VM in the distribution of its data centre's upstreams" }, setWeight },
            { { "listen", "caller", nullptr, "address that callers connect to" }, addressSetter(&FleetSettings::callerAddress, false) },
            { { "listen", "ready", nullptr, "address for the load balancer's readiness probe" }, addressSetter(&FleetSettings::readinessAddress, false) },
            { { "listen", "peer", nullptr, "address that other VMs connect to" }, addressSetter(&FleetSettings::peerAddress, false) },
            { { "listen", "metrics", "", "address for metrics; empty: metrics disabled" }, addressSetter(&FleetSettings::metricsAddress, true) },
            { { "store", "address", nullptr, "address of the platform's store" }, addressSetter(&FleetSettings::storeAddress, false) },
            { { "bounds", "longestLeaseMs", "1000", "maximum lease duration that upstreams grant, milliseconds" }, numberSetter<FleetSettings>(100, 60'000, [](FleetSettings& settings, int value) { settings.maxLeaseDuration = Milliseconds { value }; }) },
            { { "bounds", "stopMs", "50", "maximum time that an upstream takes to stop a task, milliseconds" }, numberSetter<FleetSettings>(0, 10'000, [](FleetSettings& settings, int value) { settings.maxStopDuration = Milliseconds { value }; }) },
            { { "bounds", "resubmitMs", "1300", "shortest time after a lost connection or a job that was given up until its caller submits the job again, milliseconds" }, numberSetter<FleetSettings>(0, 60'000, [](FleetSettings& settings, int value) { settings.resubmissionDelay = Milliseconds { value }; }) },
            { { "bounds", "graceS", "6", "time from the termination signal until the process is killed, seconds" }, setStopGrace },
            { { "bounds", "farFactor", "1", "factor by which a task's run time increases outside the rack that holds its data" }, setFarFactor },
            { { "limits", "memoryMb", "120", "memory of the machine, megabytes; an eighth of it is for requests that are being received or handled" }, numberSetter<FleetSettings>(16, 1'000'000, [](FleetSettings& settings, int value) { settings.machineMemoryMb = value; }) },
            { { "limits", "maxConnections", "800", "maximum number of open caller connections" }, numberSetter<FleetSettings>(4, 100'000, [](FleetSettings& settings, int value) { settings.maxCallerConnections = value; }) },
            { { "limits", "maxBodyKb", "1024", "maximum size of a caller's request body, kilobytes" }, numberSetter<FleetSettings>(1, 65'536, [](FleetSettings& settings, int value) { settings.maxBodyBytes = static_cast<std::size_t>(value) * bytesPerKilobyte; }) },
            { { "limits", "maxHeaderKb", "18", "maximum size of a request line and header together, of a trailer and of a chunk extension, kilobytes" }, numberSetter<FleetSettings>(1, 1'024, [](FleetSettings& settings, int value) { settings.maxHeaderBytes = static_cast<std::size_t>(value) * bytesPerKilobyte; }) },
            { { "limits", "socketBufferKb", "64", "size of the kernel's buffer for unread input of a caller's connection, kilobytes; 0: as the kernel chooses" }, numberSetter<FleetSettings>(0, 65'536, [](FleetSettings& settings, int value) { settings.socketReceiveBufferBytes = value * static_cast<int>(bytesPerKilobyte); }) },
            { { "limits", "minIdleMs", "5000", "time for which a caller's connection stays open while idle even if the limit of connections is reached, milliseconds" }, numberSetter<FleetSettings>(0, 600'000, [](FleetSettings& settings, int value) { settings.minIdleTime = Milliseconds { value }; }) },
        };
        return list;
    }

}

FleetSettingsParseResult parseFleetSettings(std::istream& text)
{
    FleetSettingsParseResult result;
    FleetSettings settings = readByRules(text, rules(), result.errors);
    if (result.errors.empty())
        result.settings = std::move(settings);
    return result;
}

FleetSettingsParseResult readFleetSettings(const std::string& path)
{
    std::ifstream file(path);
    if (file)
        return parseFleetSettings(file);
    FleetSettingsParseResult result;
    result.errors.push_back({ settingsErrors::unreadable, path, "no readable file", "a settings file" });
    return result;
}

std::string fleetSettingsTable()
{
    return iniTable(ruleKeys(rules()));
}

} // namespace egrettrestle
