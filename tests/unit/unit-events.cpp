#include <fstream>
#include <iterator>

#include <catch2/catch.hpp>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/settings.hpp>

using namespace egrettrestle;

namespace {

std::string fileText(const std::string& name)
{
    std::ifstream file(std::string(SOURCE_DIR) + '/' + name);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

}

// Guards against an event number that is used twice, and against a reference that differs from the code.
TEST_CASE("event catalogue")
{
    SECTION("event numbers are strictly increasing, and so unique")
    {
        const std::vector<Event>& catalogue = eventCatalogue();
        for (std::size_t index = 1; index < catalogue.size(); ++index)
            CHECK(catalogue[index - 1].number < catalogue[index].number);
    }

    SECTION("docs/EVENTS.md contains the generated table")
    {
        CHECK(fileText("docs/EVENTS.md").find(eventCatalogueTable()) != std::string::npos);
    }
}

TEST_CASE("settings reference")
{
    SECTION("docs/SETTINGS.md contains the generated table")
    {
        CHECK(fileText("docs/SETTINGS.md").find(settingsTable()) != std::string::npos);
    }
}
