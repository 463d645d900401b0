#include <egrettrestle/wire/detail/output/json_writer.hpp>

#include <algorithm>

namespace egrettrestle::detail {

namespace {

    /// Whether a character stands for itself in a JSON string.
    bool isPlain(char character)
    {
        const unsigned char byte = static_cast<unsigned char>(character);
        return byte >= 0x20 && byte < 0x7f && character != '"' && character != '\\';
    }

}

void JsonWriter::begin(char bracket)
{
    separate();
    m_text += bracket;
    m_first = true;
}

void JsonWriter::beginAt(std::string_view key, char bracket)
{
    writeKey(key);
    m_text += bracket;
    m_first = true;
}

void JsonWriter::end(char bracket)
{
    m_text += bracket;
    m_first = false;
}

void JsonWriter::separate()
{
    if (!m_first)
        m_text += ',';
    m_first = false;
}

void JsonWriter::writeKey(std::string_view key)
{
    separate();
    m_text += '"';
    m_text += key;
    m_text += "\":";
}

void JsonWriter::write(const std::string& value)
{
    if (!std::all_of(value.begin(), value.end(), isPlain)) {
        write(nlohmann::json(value));
        return;
    }
    m_text += '"';
    m_text += value;
    m_text += '"';
}

void JsonWriter::write(double value) { m_text += nlohmann::json(value).dump(); }

void JsonWriter::write(const nlohmann::json& value) { m_text += value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace); }

} // namespace egrettrestle::detail
