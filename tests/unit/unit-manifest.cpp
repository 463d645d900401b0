#include <fstream>
#include <iterator>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <egrettrestle/wire/manifest_json.hpp>

using namespace egrettrestle;
using nlohmann::json;

namespace {

json sample(const std::string& name = "oyu-print")
{
    std::ifstream file(std::string(SOURCE_DIR) + "/samples/" + name + ".manifest.json");
    return json::parse(file);
}

struct FaultCase {
    const char* pointer;
    json value;
    int number;
    std::string where;
};

}

TEST_CASE("manifest")
{
    SECTION("the sample manifests are valid and unchanged by a round trip")
    {
        for (const char* name : { "oyu-print", "spookpad-booking" }) {
            const ManifestParseResult first = parseManifest(sample(name).dump());
            INFO(toString(first.errors));
            REQUIRE(first.manifest);
            const ManifestParseResult second = parseManifest(manifestText(*first.manifest));
            REQUIRE(second.manifest);
            CHECK(manifestText(*second.manifest) == manifestText(*first.manifest));
        }
    }

    SECTION("each error is reported with its number and JSON pointer")
    {
        const std::vector<FaultCase> cases {
            { "/changeId", "", manifestErrors::outOfRange, "/changeId" },
            { "/changeId", 7, manifestErrors::wrongType, "/changeId" },
            { "/claimWindowMs", 1, manifestErrors::outOfRange, "/claimWindowMs" },
            { "/claimWindowMs", "soon", manifestErrors::wrongType, "/claimWindowMs" },
            { "/limits/maxTasksPerJob", 1001, manifestErrors::outOfRange, "/limits/maxTasksPerJob" },
            { "/limits/maxTasks", 1, manifestErrors::unknownField, "/limits/maxTasks" },
            { "/surprise", 1, manifestErrors::unknownField, "/surprise" },
            { "/dataCentres", json::array(), manifestErrors::outOfRange, "/dataCentres" },
            { "/dataCentres/1/name", "almaty", manifestErrors::duplicateName, "/dataCentres/1/name" },
            { "/kinds/0/service", "ghost", manifestErrors::unknownName, "/kinds/0/service" },
            { "/kinds/0/urgencyClass", "ghost", manifestErrors::unknownName, "/kinds/0/urgencyClass" },
            { "/kinds/0/idempotent", "yes", manifestErrors::wrongType, "/kinds/0/idempotent" },
            { "/kinds/0/expectedRunTimeMs", 0, manifestErrors::outOfRange, "/kinds/0/expectedRunTimeMs" },
            { "/kinds/1/name", "swatch-proof", manifestErrors::duplicateName, "/kinds/1/name" },
            { "/services/0/connections", 1, manifestErrors::outOfRange, "/services/0/connections" },
            { "/urgencyClasses/1/rank", 0, manifestErrors::duplicateName, "/urgencyClasses/1/rank" },
            { "/urgencyClasses/0/reservedShare", 0.95, manifestErrors::outOfRange, "/urgencyClasses" },
            { "/callers/0/homeDataCentre", "nowhere", manifestErrors::unknownName, "/callers/0/homeDataCentre" },
            { "/callers/0/startsPerSecond", 0, manifestErrors::outOfRange, "/callers/0/startsPerSecond" },
        };
        for (const FaultCase& item : cases) {
            json value = sample();
            value[json::json_pointer(item.pointer)] = item.value;
            const ManifestParseResult result = parseManifest(value.dump());
            INFO(item.pointer << " = " << item.value.dump() << "\n"
                              << toString(result.errors));
            CHECK_FALSE(result.manifest);
            REQUIRE_FALSE(result.errors.empty());
            CHECK(result.errors.front().code == item.number);
            CHECK(result.errors.front().location == item.where);
        }
    }

    SECTION("invalid JSON and a missing field are reported")
    {
        CHECK(parseManifest("{").errors.front().code == manifestErrors::notJson);
        json value = sample();
        value.erase("kinds");
        const ManifestParseResult result = parseManifest(value.dump());
        REQUIRE_FALSE(result.errors.empty());
        CHECK(result.errors.front().code == manifestErrors::missingField);
        CHECK(result.errors.front().location == "/kinds");
    }
}

TEST_CASE("home data centre")
{
    const Manifest manifest = *parseManifest(sample().dump()).manifest;

    SECTION("the data centre named by the submission is used; an unknown name gives none")
    {
        CHECK(homeDataCentre(manifest, "taraz", "press-1", {}) == "taraz");
        CHECK(homeDataCentre(manifest, "nowhere", "press-1", {}).empty());
    }

    SECTION("without a name the submission's hash decides, and every data centre gets some submissions")
    {
        std::map<DataCentreId, int> counts;
        for (int number = 0; number < 300; ++number) {
            const SubmissionKey key = submissionKey("press-1", std::to_string(number));
            const DataCentreId home = homeDataCentre(manifest, "", "press-1", key);
            CHECK(home == homeDataCentre(manifest, "", "press-1", key));
            ++counts[home];
        }
        CHECK(counts.size() == 3);
    }

    SECTION("a caller is matched by prefix, and an unknown caller has no rule")
    {
        CHECK(findCaller(manifest, "press-9")->name == "press-*");
        CHECK(findCaller(manifest, "stranger") == nullptr);
    }
}
