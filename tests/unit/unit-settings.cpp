#include <sstream>

#include <catch2/catch.hpp>

#include <egrettrestle/services/settings.hpp>

using namespace egrettrestle;

namespace {

const std::string soundSettings = "[vm]\nid = vm1\ndataCentre = almaty\n[platform]\nkind = embedded\nmanifestFile = m.json\nvmListFile = v.json\n";

SettingsParseResult parse(const std::string& text)
{
    std::istringstream stream(text);
    return parseSettings(stream);
}

bool hasFault(const SettingsParseResult& result, int number, const std::string& where)
{
    for (const ValidationError& fault : result.errors) {
        if (fault.code == number && fault.location == where)
            return true;
    }
    return false;
}

struct FaultCase {
    std::string text;
    int number;
    std::string where;
};

}

TEST_CASE("settings")
{
    SECTION("sound settings get defaults for what they leave out")
    {
        const SettingsParseResult result = parse(soundSettings);
        REQUIRE(result.settings);
        CHECK(result.settings->id == "vm1");
        CHECK(result.settings->heartbeatInterval == Milliseconds(500));
        CHECK(result.settings->advertisedPeerAddress == result.settings->peerAddress);
    }

    SECTION("each fault is named with its section and key")
    {
        const std::vector<FaultCase> cases {
            { soundSettings + "[nonsense]\na = 1\n", settingsErrors::unknownSection, "[nonsense]" },
            { soundSettings + "[cluster]\nheartbeat = 1\n", settingsErrors::unknownKey, "[cluster] heartbeat" },
            { soundSettings + "[cluster]\nheartbeatMs = 1\nheartbeatMs = 2\n", settingsErrors::repeatedKey, "[cluster] heartbeatMs" },
            { soundSettings + "[cluster]\nheartbeatMs\n", settingsErrors::notKeyAndValue, "line 9" },
            { soundSettings + "[cluster]\nheartbeatMs = soon\n", settingsErrors::badValue, "[cluster] heartbeatMs" },
            { soundSettings + "[listen]\ncaller = localhost\n", settingsErrors::badValue, "[listen] caller" },
            { soundSettings + "[cluster]\nseeds = here, there\n", settingsErrors::badValue, "[cluster] seeds" },
            { "[vm]\nid = vm1\n", settingsErrors::missingKey, "[vm] dataCentre" },
            { "[vm]\nid = vm1\ndataCentre = a\n[platform]\nkind = etcd\n", settingsErrors::missingKey, "[platform] store" },
            { "[vm]\nid = a/b\ndataCentre = a\n", settingsErrors::badValue, "[vm] id" },
        };
        for (const FaultCase& item : cases) {
            INFO(item.text);
            const SettingsParseResult result = parse(item.text);
            CHECK_FALSE(result.settings);
            CHECK(hasFault(result, item.number, item.where));
        }
    }

    SECTION("all faults are listed at once")
    {
        const SettingsParseResult result = parse("[vm]\nid =\n[cluster]\nheartbeatMs = x\nfoo = 1\n");
        CHECK(result.errors.size() >= 4);
    }

    SECTION("a file that is not there is a fault")
    {
        CHECK(hasFault(readSettings("/does/not/exist.ini"), settingsErrors::unreadable, "/does/not/exist.ini"));
    }
}
