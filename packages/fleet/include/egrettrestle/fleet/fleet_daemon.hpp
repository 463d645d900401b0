#pragma once

#include <functional>

#include <absl/status/status.h>

#include <egrettrestle/base/stop_request.hpp>
#include <egrettrestle/fleet/fleet_settings.hpp>
#include <egrettrestle/fleet/platform_adapters.hpp>
#include <egrettrestle/http/event_loop.hpp>

namespace egrettrestle {

/// Creates the adapters to the platform, which use the event loop.
using PlatformAdapterFactory = std::function<PlatformAdapters(const FleetSettings&, EventLoop&)>;

/// Runs one VM of a fleet until `stop` is requested, then finishes its jobs and stops. An error if a service cannot start;
/// then the VM has left the view, and if the services do not stop within 0.8 s, the process exits from here with
/// EXIT_FAILURE. If they do not stop within the grace period after the request, it exits with EXIT_SUCCESS.
absl::Status runFleetDaemon(const FleetSettings& settings, const PlatformAdapterFactory& makeAdapters, const StopRequest& stop);

} // namespace egrettrestle
