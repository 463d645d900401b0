#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/decision/manifest.hpp>

namespace egrettrestle {

/// A manifest, or every fault that keeps the text from being one.
struct ManifestParseResult {
    std::optional<Manifest> manifest;
    std::vector<ValidationError> errors;
};

/// Reads a manifest from JSON and checks it whole, form and meaning. Either the manifest is there, or at least one
/// fault (family 2xx) with its JSON pointer. Linear in the text.
ManifestParseResult parseManifest(std::string_view text);

/// Writes a manifest as JSON, the form that the store keeps. parseManifest gives it back unchanged.
std::string manifestText(const Manifest& manifest);

} // namespace egrettrestle
