#pragma once

#include <absl/status/status.h>

#include <egrettrestle/base/stop_request.hpp>
#include <egrettrestle/services/settings.hpp>

namespace egrettrestle {

/// Runs a daemon until `stop` is requested, then shuts it down gracefully: refuses new jobs, finishes those in flight,
/// releases the claims whose jobs were not started and hands the other claims over. Blocks until then. Returns an error
/// if a service could not be started.
absl::Status runDaemon(const Settings& settings, const StopRequest& stop);

} // namespace egrettrestle
