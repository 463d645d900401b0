#include <limits>

#include <catch2/catch.hpp>

#include <egrettrestle/wire/detail/output/json_writer.hpp>

using namespace egrettrestle;
using nlohmann::json;

TEST_CASE("JsonWriter separates values at every level")
{
    detail::JsonWriter writer;
    writer.beginObject();
    writer.field("a", 1);
    writer.beginArray("list");
    writer.element(std::uint32_t { 2 });
    writer.beginArray();
    writer.endArray();
    writer.beginObject();
    writer.field("b", true);
    writer.endObject();
    writer.endArray();
    writer.beginObject("empty");
    writer.endObject();
    writer.field("c", json { 1, "x" });
    writer.endObject();
    CHECK(writer.text() == R"({"a":1,"list":[2,[],{"b":true}],"empty":{},"c":[1,"x"]})");
}

// Guards against a batch that its receiver rejects as a whole because of one text or number.
TEST_CASE("JsonWriter writes texts and numbers as nlohmann::json does")
{
    const std::string texts[] = { "", "plain", "a\"b\\c", "line\nend", std::string("nul\0", 4), "\x7f", "gr\xc3\xbc\xc3\x9f", "cut\xc3", "\xff" };
    for (const std::string& text : texts) {
        detail::JsonWriter writer;
        writer.element(text);
        CHECK(writer.text() == json(text).dump(-1, ' ', false, json::error_handler_t::replace));
    }
    for (const double number : { 0.0, 1.0, 1.25, 0.1, -3.5e300, std::numeric_limits<double>::min() }) {
        detail::JsonWriter writer;
        writer.element(number);
        CHECK(writer.text() == json(number).dump());
    }
    detail::JsonWriter writer;
    writer.element(std::numeric_limits<std::uint64_t>::max());
    CHECK(writer.text() == "18446744073709551615");
}
