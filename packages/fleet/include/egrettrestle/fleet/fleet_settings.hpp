#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/base/validation_error.hpp>

namespace egrettrestle {

/// Settings of a VM that runs tasks on a fleet of upstreams. docs/SETTINGS.md lists sections, keys and units.
struct FleetSettings {
    VmId id;
    DataCentreId dataCentre;
    /// Share of the upstreams that this VM owns, in relation to the others' in its data centre.
    double weight = 1;
    std::string callerAddress;
    std::string readinessAddress;
    std::string peerAddress;
    std::string metricsAddress;
    std::string storeAddress;
    /// The longest lease that upstreams grant.
    Milliseconds maxLeaseDuration { 1'000 };
    /// How long a stop may take at an upstream.
    Milliseconds maxStopDuration { 50 };
    /// How long the process may go on after a signal to end.
    Milliseconds gracePeriod { 6'000 };
    /// Running a task away from its data takes this many times as long.
    double remoteDataFactor = 1;
};

struct FleetSettingsParseResult {
    std::optional<FleetSettings> settings;
    std::vector<ValidationError> errors;
};

/// Reads the settings from INI text and checks them whole; unknown sections and keys are faults.
FleetSettingsParseResult parseFleetSettings(std::istream& text);
FleetSettingsParseResult readFleetSettings(const std::string& path);

/// The reference of these settings as a Markdown table.
std::string fleetSettingsTable();

} // namespace egrettrestle
