#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include <egrettrestle/wire/detail/input/object_reader.hpp>

namespace egrettrestle::detail {

/// Parses a text as one JSON object and reads it with a function, which gets the reader and the list of faults. Nothing
/// if the text or any field is at fault.
template <typename Message, typename Read>
std::optional<Message> parseMessage(std::string_view text, ErrorCodeRange family, Read read)
{
    std::vector<ValidationError> faults;
    const std::optional<nlohmann::json> value = parseJson(text, family, faults);
    if (!value)
        return std::nullopt;
    ObjectReader reader(*value, "", family, faults);
    Message message = read(reader, faults);
    if (!faults.empty())
        return std::nullopt;
    return message;
}

} // namespace egrettrestle::detail
