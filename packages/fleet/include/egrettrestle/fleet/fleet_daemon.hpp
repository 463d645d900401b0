#pragma once

#include <atomic>

#include <absl/status/status.h>

#include <egrettrestle/fleet/fleet_settings.hpp>
#include <egrettrestle/fleet/platform_adapters.hpp>

namespace egrettrestle {

/// Runs a VM of a fleet until `stop` is set, then finishes the jobs that it has.
absl::Status runFleetDaemon(const FleetSettings& settings, PlatformAdapters& site, const std::atomic<bool>& stop);

} // namespace egrettrestle
