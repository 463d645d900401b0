#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace egrettrestle {

/// One fault of an input: its stable number, the place (section and key, JSON pointer or byte), what was found there
/// and what was expected instead.
struct Fault {
    int number = 0;
    std::string where;
    std::string found;
    std::string expected;
};

/// Writes a fault as one line: `[egrettrestle.205] /kinds/0/name: found "", expected a name`.
std::string toString(const Fault& fault);

/// Writes faults as lines, one a fault.
std::string toString(const std::vector<Fault>& faults);

/// Makes a status that carries the fault's number as a payload. The message is the fault's line.
absl::Status makeStatus(absl::StatusCode code, const Fault& fault);

/// The fault's number that a status carries, or 0 for a status that carries none.
int errorNumber(const absl::Status& status);

} // namespace egrettrestle
