#pragma once

#include <atomic>

#include <absl/status/status.h>

#include <egrettrestle/fleet/fleet_settings.hpp>
#include <egrettrestle/fleet/platform_adapters.hpp>

namespace egrettrestle {

/// Runs one VM of a fleet until `stop` is set, then finishes its jobs and stops. An error if a service cannot start. If the
/// services do not stop within the grace period, the process exits from here with EXIT_SUCCESS.
absl::Status runFleetDaemon(const FleetSettings& settings, PlatformAdapters& platform, const std::atomic<bool>& stop);

} // namespace egrettrestle
