#include <sstream>

#include <catch2/catch.hpp>

#include <egrettrestle/services/settings.hpp>

using namespace egrettrestle;

namespace {

const std::string soundSettings = "[vm]\nid = vm1\ndataCentre = almaty\n[platform]\nkind = embedded\nmanifestFile = m.json\nvmListFile = v.json\n";

SettingsParse parse(const std::string& text)
{
    std::istringstream stream(text);
    return parseSettings(stream);
}

bool hasFault(const SettingsParse& result, int number, const std::string& where)
{
    for (const Fault& fault : result.faults) {
        if (fault.number == number && fault.where == where)
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
        const SettingsParse result = parse(soundSettings);
        REQUIRE(result.settings);
        CHECK(result.settings->id == "vm1");
        CHECK(result.settings->heartbeatInterval == Milliseconds(500));
        CHECK(result.settings->advertisedPeerAddress == result.settings->peerAddress);
    }

    SECTION("each fault is named with its section and key")
    {
        const std::vector<FaultCase> cases {
            { soundSettings + "[nonsense]\na = 1\n", settingsFaults::unknownSection, "[nonsense]" },
            { soundSettings + "[cluster]\nheartbeat = 1\n", settingsFaults::unknownKey, "[cluster] heartbeat" },
            { soundSettings + "[cluster]\nheartbeatMs = 1\nheartbeatMs = 2\n", settingsFaults::repeatedKey, "[cluster] heartbeatMs" },
            { soundSettings + "[cluster]\nheartbeatMs\n", settingsFaults::notKeyAndValue, "line 9" },
            { soundSettings + "[cluster]\nheartbeatMs = soon\n", settingsFaults::badValue, "[cluster] heartbeatMs" },
            { soundSettings + "[listen]\ncaller = localhost\n", settingsFaults::badValue, "[listen] caller" },
            { soundSettings + "[cluster]\nseeds = here, there\n", settingsFaults::badValue, "[cluster] seeds" },
            { "[vm]\nid = vm1\n", settingsFaults::missingKey, "[vm] dataCentre" },
            { "[vm]\nid = vm1\ndataCentre = a\n[platform]\nkind = etcd\n", settingsFaults::missingKey, "[platform] store" },
            { "[vm]\nid = a/b\ndataCentre = a\n", settingsFaults::badValue, "[vm] id" },
        };
        for (const FaultCase& item : cases) {
            INFO(item.text);
            const SettingsParse result = parse(item.text);
            CHECK_FALSE(result.settings);
            CHECK(hasFault(result, item.number, item.where));
        }
    }

    SECTION("all faults are listed at once")
    {
        const SettingsParse result = parse("[vm]\nid =\n[cluster]\nheartbeatMs = x\nfoo = 1\n");
        CHECK(result.faults.size() >= 4);
    }

    SECTION("a file that is not there is a fault")
    {
        CHECK(hasFault(readSettings("/does/not/exist.ini"), settingsFaults::unreadable, "/does/not/exist.ini"));
    }
}
