#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/fault.hpp>
#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// Settings of a VM that runs tasks on a fleet of upstreams. docs/SETTINGS.md lists sections, keys and units.
struct FleetSettings {
    VmId id;
    DataCentreId dataCentre;
    /// Share of the upstreams that this VM owns, in relation to the others' in its data centre.
    double weight = 1;
    std::string callerAddress;
    std::string readyAddress;
    std::string peerAddress;
    std::string metricsAddress;
    std::string storeAddress;
    /// The longest lease that upstreams grant.
    Milliseconds longestLease { 1'000 };
    /// How long a stop may take at an upstream.
    Milliseconds stopTime { 50 };
    /// How long the process may go on after a signal to end.
    Milliseconds stopGrace { 6'000 };
    /// Running a task away from its data takes this many times as long.
    double farFactor = 1;
};

struct FleetSettingsParse {
    std::optional<FleetSettings> settings;
    std::vector<Fault> faults;
};

/// Reads the settings from INI text and checks them whole; unknown sections and keys are faults.
FleetSettingsParse parseFleetSettings(std::istream& text);
FleetSettingsParse readFleetSettings(const std::string& path);

/// The reference of these settings as a Markdown table.
std::string fleetSettingsTable();

} // namespace egrettrestle
