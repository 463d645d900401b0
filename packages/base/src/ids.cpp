#include <egrettrestle/base/ids.hpp>

#include <charconv>

#include <xxhash.h>

namespace egrettrestle {

namespace {

    constexpr int hexDigitsPerHalf = 16;

    bool parseHalf(std::string_view text, std::uint64_t& value)
    {
        constexpr int hexadecimal = 16;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
        return result.ec == std::errc() && result.ptr == text.data() + text.size();
    }

    void appendHalf(std::string& text, std::uint64_t value)
    {
        constexpr const char* digits = "0123456789abcdef";
        for (int shift = 60; shift >= 0; shift -= 4)
            text.push_back(digits[(value >> shift) & 0xF]);
    }

}

SubmissionKey submissionKey(std::string_view caller, std::string_view submission)
{
    // The length prefix ensures that ("ab", "c") and ("a", "bc") are hashed as different texts.
    std::string text = std::to_string(caller.size()) + ':';
    text.append(caller);
    text.append(submission);
    const XXH128_hash_t digest = XXH3_128bits(text.data(), text.size());
    return { digest.high64, digest.low64 };
}

std::uint64_t bodyDigest(std::string_view body)
{
    return XXH3_64bits(body.data(), body.size());
}

std::string toHex(const SubmissionKey& key)
{
    std::string text;
    text.reserve(2 * hexDigitsPerHalf);
    appendHalf(text, key.high);
    appendHalf(text, key.low);
    return text;
}

bool fromHex(std::string_view text, SubmissionKey& key)
{
    if (text.size() != 2 * hexDigitsPerHalf)
        return false;
    SubmissionKey parsed;
    if (!parseHalf(text.substr(0, hexDigitsPerHalf), parsed.high) || !parseHalf(text.substr(hexDigitsPerHalf), parsed.low))
        return false;
    key = parsed;
    return true;
}

std::uint64_t rendezvousWeight(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace egrettrestle
