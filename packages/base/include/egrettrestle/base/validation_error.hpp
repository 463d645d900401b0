#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace egrettrestle {

/// One error in an input: its stable code, its location (section and key, line, JSON pointer or byte offset), what was
/// found there and what was expected.
struct ValidationError {
    int code = 0;
    std::string location;
    std::string found;
    std::string expected;
};

/// Formats an error as one line: `[egrettrestle.205] /kinds/0/name: found "", expected a name`.
std::string toString(const ValidationError& error);

/// Formats errors as lines, one per error.
std::string toString(const std::vector<ValidationError>& errors);

/// Makes a status whose message is the formatted error, with the error code attached as a payload.
absl::Status makeStatus(absl::StatusCode code, const ValidationError& error);

/// Returns the error code attached to a status, or 0 if there is none.
int errorCode(const absl::Status& status);

} // namespace egrettrestle
