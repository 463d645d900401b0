#include <egrettrestle/base/validation_error.hpp>

#include <cstdlib>

#include <absl/strings/cord.h>

namespace egrettrestle {

namespace {

    constexpr const char* numberPayload = "egrettrestle/error-number";

}

std::string toString(const ValidationError& fault)
{
    std::string line = "[egrettrestle." + std::to_string(fault.code) + "] " + fault.location;
    if (!fault.found.empty())
        line += ": found " + fault.found;
    if (!fault.expected.empty())
        line += std::string(fault.found.empty() ? ": " : ", ") + "expected " + fault.expected;
    return line;
}

std::string toString(const std::vector<ValidationError>& faults)
{
    std::string lines;
    for (const ValidationError& fault : faults)
        lines += toString(fault) + '\n';
    return lines;
}

absl::Status makeStatus(absl::StatusCode code, const ValidationError& fault)
{
    absl::Status status(code, toString(fault));
    status.SetPayload(numberPayload, absl::Cord(std::to_string(fault.code)));
    return status;
}

int errorCode(const absl::Status& status)
{
    const absl::optional<absl::Cord> payload = status.GetPayload(numberPayload);
    return payload ? std::atoi(std::string(*payload).c_str()) : 0;
}

} // namespace egrettrestle
