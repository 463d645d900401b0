#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/base/validation_error.hpp>

namespace egrettrestle {

/// Settings of a VM that runs tasks on a fleet of upstreams. Sections, keys and units: docs/SETTINGS.md.
struct FleetSettings {
    VmId id;
    DataCentreId dataCentre;
    /// The VM owns a share of its data centre's upstreams proportional to this weight.
    double weight = 1;
    std::string callerAddress;
    std::string readinessAddress;
    std::string peerAddress;
    std::string metricsAddress;
    std::string storeAddress;
    /// The longest lease that upstreams grant.
    Milliseconds maxLeaseDuration { 1'000 };
    /// The longest time that an upstream takes to stop a task.
    Milliseconds maxStopDuration { 50 };
    /// The shortest time after a lost connection, or after a job was given up, until its caller submits it again.
    Milliseconds resubmissionDelay { 1'300 };
    /// Time from the termination signal until the process is killed.
    Milliseconds gracePeriod { 6'000 };
    /// Factor on the run time of a task that runs on another rack than its data.
    double remoteDataFactor = 1;
    /// The machine's memory, megabytes.
    int machineMemoryMb = 120;
    int maxCallerConnections = 800;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxHeaderBytes = 18 * 1024;
    /// The kernel's buffer for unread input of a caller's connection; 0 leaves it to the kernel.
    int socketReceiveBufferBytes = 64 * 1024;
    /// Idle connections are not closed in favour of new ones before this time.
    Milliseconds minIdleTime { 5'000 };

    /// Memory for requests that are being received or handled: an eighth of the machine's.
    std::size_t receiveBudgetBytes() const { return static_cast<std::size_t>(machineMemoryMb) * 1024 * 1024 / 8; }
};

/// The result of reading settings: the settings, or the errors if there are any.
struct FleetSettingsParseResult {
    std::optional<FleetSettings> settings;
    std::vector<ValidationError> errors;
};

/// Reads and validates settings in INI format. Reports every error; unknown sections and keys are errors.
FleetSettingsParseResult parseFleetSettings(std::istream& text);
/// Reads a settings file. A file that cannot be read is an error.
FleetSettingsParseResult readFleetSettings(const std::string& path);

/// All keys with defaults and meanings as a Markdown table.
std::string fleetSettingsTable();

} // namespace egrettrestle
