#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace egrettrestle {

/// One fault of an input: its stable number, the place (section and key, JSON pointer or byte), what was found there
/// and what was expected instead.
struct ValidationError {
    int code = 0;
    std::string location;
    std::string found;
    std::string expected;
};

/// Writes a fault as one line: `[egrettrestle.205] /kinds/0/name: found "", expected a name`.
std::string toString(const ValidationError& fault);

/// Writes faults as lines, one a fault.
std::string toString(const std::vector<ValidationError>& faults);

/// Makes a status that carries the fault's number as a payload. The message is the fault's line.
absl::Status makeStatus(absl::StatusCode code, const ValidationError& fault);

/// The fault's number that a status carries, or 0 for a status that carries none.
int errorCode(const absl::Status& status);

} // namespace egrettrestle
