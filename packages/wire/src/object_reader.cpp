#include <egrettrestle/wire/detail/input/object_reader.hpp>

#include <algorithm>
#include <limits>

namespace egrettrestle::detail {

namespace {

    constexpr int maxDepth = 64;
    constexpr std::size_t maxExcerptLength = 60;

    struct TooDeep {
    };

    std::string excerpt(const nlohmann::json& value)
    {
        return excerptOf(value.is_structured() ? value.type_name() : value.dump());
    }

    const nlohmann::json::array_t& emptyArray()
    {
        static const nlohmann::json::array_t empty;
        return empty;
    }

}

std::string excerptOf(const std::string& text)
{
    if (text.size() <= maxExcerptLength)
        return text;
    std::size_t length = maxExcerptLength;
    while (length > 0 && (static_cast<unsigned char>(text[length]) & 0xc0) == 0x80)
        --length;
    return text.substr(0, length) + "...";
}

namespace {

    /// Whether the character at a position in a string is preceded by an odd number of backslashes.
    bool isEscaped(std::string_view text, std::size_t at)
    {
        std::size_t backslashes = 0;
        while (backslashes < at && text[at - backslashes - 1] == '\\')
            ++backslashes;
        return backslashes % 2 == 1;
    }

    /// Whether brackets are nested at most maxDepth levels deep; the text need not be valid.
    bool isShallow(std::string_view text)
    {
        int depth = 0;
        for (std::size_t at = 0; at < text.size(); ++at) {
            const char character = text[at];
            if (character == '{' || character == '[') {
                if (++depth > maxDepth)
                    return false;
            } else if (character == '}' || character == ']') {
                --depth;
            } else if (character == '"') {
                do {
                    at = text.find('"', at + 1);
                } while (at != std::string_view::npos && isEscaped(text, at));
                if (at == std::string_view::npos)
                    return true;
            }
        }
        return true;
    }

    nlohmann::json parseNested(std::string_view text)
    {
        // The parser calls a callback for every value, which takes as long as the parsing.
        if (isShallow(text))
            return nlohmann::json::parse(text);
        return nlohmann::json::parse(text, [](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
            if (depth > maxDepth)
                throw TooDeep {};
            return true;
        });
    }

}

std::optional<nlohmann::json> parseJson(std::string_view text, ErrorCodeRange codes, std::vector<ValidationError>& errors)
{
    try {
        return parseNested(text);
    } catch (const nlohmann::json::parse_error& error) {
        errors.push_back({ codes.notJson(), "byte " + std::to_string(error.byte), "invalid JSON", "a JSON object" });
    } catch (const nlohmann::json::exception&) {
        errors.push_back({ codes.notJson(), "/", "a number out of range", "numbers that fit into 64 bits" });
    } catch (const TooDeep&) {
        errors.push_back({ codes.notJson(), "/", "values nested more than " + std::to_string(maxDepth) + " levels deep", "fewer levels" });
    }
    return std::nullopt;
}

ObjectReader::ObjectReader(const nlohmann::json& value, std::string pointer, ErrorCodeRange codes, std::vector<ValidationError>& errors)
    : m_value(value)
    , m_pointer(std::move(pointer))
    , m_codes(codes)
    , m_errors(errors)
{
    if (!m_value.is_object())
        m_errors.push_back({ m_codes.wrongType(), m_pointer.empty() ? "/" : m_pointer, excerpt(m_value), "an object" });
}

const nlohmann::json* ObjectReader::find(const char* key, bool required)
{
    m_keysRead.push_back(key);
    if (!m_value.is_object())
        return nullptr;
    const auto found = m_value.find(key);
    if (found != m_value.end())
        return &*found;
    if (required)
        m_errors.push_back({ m_codes.missingField(), pointer(key), "", "this required field" });
    return nullptr;
}

void ObjectReader::wrongType(const char* key, const nlohmann::json& found, const char* expected)
{
    m_errors.push_back({ m_codes.wrongType(), pointer(key), excerpt(found), expected });
}

std::string ObjectReader::text(const char* key)
{
    const nlohmann::json* found = find(key, true);
    if (!found)
        return {};
    if (found->is_string())
        return found->get<std::string>();
    wrongType(key, *found, "a string");
    return {};
}

std::string ObjectReader::textOr(const char* key, const std::string& defaultValue)
{
    return has(key) ? text(key) : (find(key, false), defaultValue);
}

std::uint64_t ObjectReader::number(const char* key)
{
    const nlohmann::json* found = find(key, true);
    if (!found)
        return 0;
    if (found->is_number_unsigned())
        return found->get<std::uint64_t>();
    wrongType(key, *found, "a non-negative integer");
    return 0;
}

std::uint64_t ObjectReader::numberOr(const char* key, std::uint64_t defaultValue)
{
    return has(key) ? number(key) : (find(key, false), defaultValue);
}

std::uint64_t ObjectReader::numberOr(const char* key, std::uint64_t defaultValue, std::uint64_t maximum)
{
    const std::uint64_t value = numberOr(key, defaultValue);
    if (value <= maximum)
        return value;
    m_errors.push_back({ m_codes.outOfRange(), pointer(key), std::to_string(value), "at most " + std::to_string(maximum) });
    return 0;
}

std::int64_t ObjectReader::integer(const char* key)
{
    constexpr std::uint64_t maximum = std::numeric_limits<std::int64_t>::max();
    const std::uint64_t value = number(key);
    if (value <= maximum)
        return static_cast<std::int64_t>(value);
    m_errors.push_back({ m_codes.outOfRange(), pointer(key), std::to_string(value), "at most " + std::to_string(maximum) });
    return 0;
}

double ObjectReader::real(const char* key)
{
    const nlohmann::json* found = find(key, true);
    if (!found)
        return 0;
    if (found->is_number())
        return found->get<double>();
    wrongType(key, *found, "a number");
    return 0;
}

double ObjectReader::realOr(const char* key, double defaultValue)
{
    return has(key) ? real(key) : (find(key, false), defaultValue);
}

bool ObjectReader::boolean(const char* key)
{
    const nlohmann::json* found = find(key, true);
    if (!found)
        return false;
    if (found->is_boolean())
        return found->get<bool>();
    wrongType(key, *found, "true or false");
    return false;
}

bool ObjectReader::booleanOr(const char* key, bool defaultValue)
{
    return has(key) ? boolean(key) : (find(key, false), defaultValue);
}

Milliseconds ObjectReader::milliseconds(const char* key)
{
    const std::uint64_t value = number(key);
    if (value <= maxMilliseconds)
        return Milliseconds(static_cast<Milliseconds::rep>(value));
    m_errors.push_back({ m_codes.outOfRange(), pointer(key), std::to_string(value), "milliseconds, at most " + std::to_string(maxMilliseconds) });
    return Milliseconds(0);
}

Milliseconds ObjectReader::millisecondsOr(const char* key, Milliseconds defaultValue)
{
    return has(key) ? milliseconds(key) : (find(key, false), defaultValue);
}

const nlohmann::json::array_t& ObjectReader::array(const char* key)
{
    const nlohmann::json* found = find(key, true);
    if (!found)
        return emptyArray();
    if (found->is_array())
        return found->get_ref<const nlohmann::json::array_t&>();
    wrongType(key, *found, "an array");
    return emptyArray();
}

const nlohmann::json::array_t& ObjectReader::arrayOrEmpty(const char* key)
{
    return has(key) ? array(key) : (find(key, false), emptyArray());
}

const nlohmann::json* ObjectReader::value(const char* key)
{
    return find(key, true);
}

bool ObjectReader::has(const char* key) const
{
    return m_value.is_object() && m_value.contains(key);
}

void ObjectReader::rejectUnknown()
{
    if (!m_value.is_object())
        return;
    for (const auto& item : m_value.items()) {
        if (std::find(m_keysRead.begin(), m_keysRead.end(), item.key()) == m_keysRead.end())
            m_errors.push_back({ m_codes.unknownField(), m_pointer + '/' + item.key(), "an unknown field", "only the fields of the schema" });
    }
}

} // namespace egrettrestle::detail
