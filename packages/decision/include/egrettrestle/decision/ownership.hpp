#pragma once

#include <optional>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// The VM that owns an upstream, selected by weighted rendezvous hashing among the members in the upstream's data
/// centre, or among all members if none is there. Empty for a view without members.
std::optional<VmId> ownerOf(const View& view, const UpstreamInfo& upstream);

} // namespace egrettrestle
