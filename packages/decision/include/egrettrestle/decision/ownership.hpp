#pragma once

#include <optional>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// The VM that orders an upstream: by rendezvous hashing among the members of the upstream's data centre, or among all
/// members where none is there. Nothing for a view without members.
std::optional<VmId> ownerOf(const View& view, const UpstreamInfo& upstream);

} // namespace egrettrestle
