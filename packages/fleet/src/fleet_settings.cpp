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
