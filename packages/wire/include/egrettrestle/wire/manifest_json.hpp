#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/decision/manifest.hpp>

namespace egrettrestle {

/// The result of parsing a manifest: the manifest, or all errors in the text.
struct ManifestParseResult {
    std::optional<Manifest> manifest;
    std::vector<ValidationError> errors;
};

/// Parses a manifest from JSON and validates it completely, syntax and semantics. Returns either the manifest or at
/// least one error (codes 2xx) with its JSON pointer. Linear in the length of the text.
ManifestParseResult parseManifest(std::string_view text);

/// Formats a manifest as JSON, the form in which it is stored. parseManifest() restores it unchanged.
std::string manifestText(const Manifest& manifest);

} // namespace egrettrestle
