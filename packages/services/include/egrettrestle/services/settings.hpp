#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/base/validation_error.hpp>
#include <egrettrestle/settings/ini_settings.hpp>

namespace egrettrestle {

/// Where the platform's store and VM list are.
enum class PlatformKind {
    /// In this process: for one VM that stands alone.
    Embedded,
    /// The etcd v3 JSON gateway and the VM list of docs/PLATFORM.md.
    Etcd,
};

/// The settings of one daemon. docs/SETTINGS.md lists sections, keys, units and defaults.
struct Settings {
    VmId id;
    DataCentreId dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    std::string adminAddress;
    std::string advertisedCallerAddress;
    std::string advertisedPeerAddress;
    PlatformKind platform = PlatformKind::Embedded;
    std::string storeAddress;
    std::string vmListAddress;
    std::string vmListFile;
    std::string manifestFile;
    Milliseconds storeTimeout { 0 };
    std::vector<std::string> seeds;
    Milliseconds heartbeatInterval { 0 };
    int missedHeartbeats = 0;
    int taskThreads = 0;
    std::size_t answerMemoryBytes = 0;
    int maxConnections = 0;
    std::size_t maxBodyBytes = 0;
    std::string traceFile;
    std::string logDirectory;
};

/// Settings, or every fault that keeps a text from being them.
struct SettingsParseResult {
    std::optional<Settings> settings;
    std::vector<ValidationError> errors;
};

/// Reads settings from INI text and checks them whole. Either the settings are there, or at least one fault that names
/// its section and key. Opens nothing.
SettingsParseResult parseSettings(std::istream& text);

/// Reads settings from a file.
SettingsParseResult readSettings(const std::string& path);

/// The reference of all settings as the Markdown table of docs/SETTINGS.md.
std::string settingsTable();

} // namespace egrettrestle
