#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <egrettrestle/wire/detail/input/object_reader.hpp>

namespace egrettrestle::detail {

/// Parses a text as one JSON object and converts it with `read(reader, errors)`. Returns nothing if the text is not
/// JSON or any field is invalid, and adds what is wrong to `errors`, which must be empty.
template <typename Message, typename Read>
std::optional<Message> parseMessage(std::string_view text, ErrorCodeRange codes, std::vector<ValidationError>& errors, Read read)
{
    const std::optional<nlohmann::json> value = parseJson(text, codes, errors);
    if (!value)
        return std::nullopt;
    ObjectReader reader(*value, "", codes, errors);
    Message message = read(reader, errors);
    if (!errors.empty())
        return std::nullopt;
    return message;
}

/// The same for a caller that only needs to know whether the text is valid.
template <typename Message, typename Read>
std::optional<Message> parseMessage(std::string_view text, ErrorCodeRange codes, Read read)
{
    std::vector<ValidationError> errors;
    return parseMessage<Message>(text, codes, errors, std::move(read));
}

} // namespace egrettrestle::detail
