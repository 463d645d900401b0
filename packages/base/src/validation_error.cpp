#include <egrettrestle/base/validation_error.hpp>

#include <cstdlib>

#include <absl/strings/cord.h>

namespace egrettrestle {

namespace {

    constexpr const char* errorCodePayload = "egrettrestle/error-number";

}

std::string toString(const ValidationError& error)
{
    std::string line = "[egrettrestle." + std::to_string(error.code) + "] " + error.location;
    if (!error.found.empty())
        line += ": found " + error.found;
    if (!error.expected.empty())
        line += std::string(error.found.empty() ? ": " : ", ") + "expected " + error.expected;
    return line;
}

std::string toString(const std::vector<ValidationError>& errors)
{
    std::string lines;
    for (const ValidationError& error : errors)
        lines += toString(error) + '\n';
    return lines;
}

absl::Status makeStatus(absl::StatusCode code, const ValidationError& error)
{
    absl::Status status(code, toString(error));
    status.SetPayload(errorCodePayload, absl::Cord(std::to_string(error.code)));
    return status;
}

int errorCode(const absl::Status& status)
{
    const absl::optional<absl::Cord> payload = status.GetPayload(errorCodePayload);
    return payload ? std::atoi(std::string(*payload).c_str()) : 0;
}

} // namespace egrettrestle
