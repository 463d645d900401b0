#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include <egrettrestle/wire/detail/input/object_reader.hpp>

namespace egrettrestle::detail {

/// Parses a text as one JSON object and converts it with `read(reader, errors)`. Returns nothing if the text is not
/// JSON or any field is invalid.
template <typename Message, typename Read>
std::optional<Message> parseMessage(std::string_view text, ErrorCodeRange codes, Read read)
{
    std::vector<ValidationError> errors;
    const std::optional<nlohmann::json> value = parseJson(text, codes, errors);
    if (!value)
        return std::nullopt;
    ObjectReader reader(*value, "", codes, errors);
    Message message = read(reader, errors);
    if (!errors.empty())
        return std::nullopt;
    return message;
}

} // namespace egrettrestle::detail
