#include <catch2/catch.hpp>

#include <egrettrestle/wire/detail/input/object_reader.hpp>

using namespace egrettrestle;

// Guards against a parser that runs out of stack, and against a limit that counts brackets inside of strings.
TEST_CASE("parseJson limits the depth of values, not the brackets in texts")
{
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    const auto errorsOf = [](const std::string& text) {
        std::vector<ValidationError> errors;
        const bool read = detail::parseJson(text, detail::ErrorCodeRange { 100 }, errors).has_value();
        CHECK(read == errors.empty());
        return errors;
    };
    CHECK(errorsOf(nested(64)).empty());
    CHECK(errorsOf("[" + nested(10) + "," + nested(60) + "]").empty());
    CHECK(errorsOf("\"" + std::string(100, '[') + "\"").empty());
    CHECK(errorsOf(R"(["\"[[[[)" + std::string(100, '[') + R"(\\", 1])").empty());
    CHECK(errorsOf(nested(66)).size() == 1);
    CHECK(errorsOf(nested(100'000)).size() == 1);
    CHECK(errorsOf(R"(["\\",)" + nested(100) + "]").size() == 1);
    CHECK(errorsOf(std::string(100'000, '[')).size() == 1);
    CHECK(errorsOf("[\"open").size() == 1);
    CHECK(errorsOf("[1,]").size() == 1);
}
