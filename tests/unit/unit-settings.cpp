#include <sstream>

#include <catch2/catch.hpp>

#include <egrettrestle/services/settings.hpp>

using namespace egrettrestle;

namespace {

const std::string validSettings = "[vm]\nid = vm1\ndataCentre = almaty\n[platform]\nkind = embedded\nmanifestFile = m.json\nvmListFile = v.json\n";

SettingsParseResult parse(const std::string& text)
{
    std::istringstream stream(text);
    return parseSettings(stream);
}

bool hasError(const SettingsParseResult& result, int number, const std::string& where)
{
    for (const ValidationError& error : result.errors) {
        if (error.code == number && error.location == where)
            return true;
    }
    return false;
}

struct ErrorCase {
    std::string text;
    int number;
    std::string where;
};

}

// Guards against a daemon that starts with settings that were mistyped, are missing or have no effect.
TEST_CASE("settings")
{
    SECTION("missing optional settings get their defaults")
    {
        const SettingsParseResult result = parse(validSettings);
        REQUIRE(result.settings);
        CHECK(result.settings->id == "vm1");
        CHECK(result.settings->heartbeatInterval == Milliseconds(500));
        CHECK(result.settings->advertisedPeerAddress == result.settings->peerAddress);
    }

    SECTION("each error is reported with its code and location")
    {
        const std::vector<ErrorCase> cases {
            { validSettings + "[nonsense]\na = 1\n", settingsErrors::unknownSection, "[nonsense]" },
            { validSettings + "[cluster]\nheartbeat = 1\n", settingsErrors::unknownKey, "[cluster] heartbeat" },
            { validSettings + "[cluster]\nheartbeatMs = 1\nheartbeatMs = 2\n", settingsErrors::repeatedKey, "[cluster] heartbeatMs" },
            { validSettings + "[cluster]\nheartbeatMs\n", settingsErrors::notKeyAndValue, "line 9" },
            { validSettings + "[cluster]\nheartbeatMs = soon\n", settingsErrors::badValue, "[cluster] heartbeatMs" },
            { validSettings + "[listen]\ncaller = localhost\n", settingsErrors::badValue, "[listen] caller" },
            { validSettings + "[cluster]\nseeds = here, there\n", settingsErrors::badValue, "[cluster] seeds" },
            { "[vm]\nid = vm1\n", settingsErrors::missingKey, "[vm] dataCentre" },
            { "[vm]\nid = vm1\ndataCentre = a\n[platform]\nkind = etcd\n", settingsErrors::missingKey, "[platform] store" },
            { "[vm]\nid = a/b\ndataCentre = a\n", settingsErrors::badValue, "[vm] id" },
        };
        for (const ErrorCase& item : cases) {
            INFO(item.text);
            const SettingsParseResult result = parse(item.text);
            CHECK_FALSE(result.settings);
            CHECK(hasError(result, item.number, item.where));
        }
    }

    SECTION("all errors are reported in one pass")
    {
        const SettingsParseResult result = parse("[vm]\nid =\n[cluster]\nheartbeatMs = x\nfoo = 1\n");
        CHECK(result.errors.size() >= 4);
    }

    SECTION("a missing file is reported as an error")
    {
        CHECK(hasError(readSettings("/does/not/exist.ini"), settingsErrors::unreadable, "/does/not/exist.ini"));
    }
}
