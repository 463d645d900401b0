#pragma once

#include <atomic>

#include <absl/status/status.h>

#include <egrettrestle/services/settings.hpp>

namespace egrettrestle {

/// Runs one daemon until `stop` is set, then stops it gracefully: no new jobs, jobs in flight finish, unused claims are
/// given back, the others handed over. An error if it could not start.
absl::Status runDaemon(const Settings& settings, const std::atomic<bool>& stop);

} // namespace egrettrestle
