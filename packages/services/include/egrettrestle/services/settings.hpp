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

/// How the platform's store and VM list are provided.
enum class PlatformKind {
    /// Store in this process, VM list in a file. For a single VM without peers.
    Embedded,
    /// Store behind an etcd v3 JSON gateway, VM list over HTTP as described in docs/PLATFORM.md.
    Etcd,
};

/// The settings of a daemon. docs/SETTINGS.md lists the sections, keys, units and defaults.
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
    std::size_t maxBufferedBytes = 0;
    std::string traceFile;
    std::string logDirectory;
};

/// The result of parsing settings: the settings, or every error found in the text.
struct SettingsParseResult {
    std::optional<Settings> settings;
    std::vector<ValidationError> errors;
};

/// Parses settings from INI text and validates each value and their combination. The result has either the settings or
/// at least one error with its section and key. Opens none of the files that the settings name.
SettingsParseResult parseSettings(std::istream& text);

/// Parses the settings in a file, as parseSettings() does. A file that cannot be read is reported as an error.
SettingsParseResult readSettings(const std::string& path);

/// The reference of all settings as a Markdown table, as in docs/SETTINGS.md.
std::string settingsTable();

} // namespace egrettrestle
