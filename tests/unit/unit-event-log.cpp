#include <thread>

#include <catch2/catch.hpp>

#include <egrettrestle/base/event_log.hpp>

#include "captured_output.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

std::string outputAfterBurst(int lines)
{
    const CapturedOutput output;
    EventLog log("vm1");
    for (int line = 0; line < lines; ++line)
        log.write(events::upstreamListed, { { "line", std::int64_t { line } } });
    // The rate limit counts lines by the second, and the writer collects lines for 100 ms.
    std::this_thread::sleep_for(std::chrono::milliseconds { 1'100 });
    log.write(events::viewAdopted, { { "epoch", std::int64_t { 7 } } });
    std::this_thread::sleep_for(std::chrono::milliseconds { 400 });
    return output.text();
}

}

// Guards against a log that stays silent after its first overflow, as the logs of a large fleet did from their start on.
TEST_CASE("the event log goes on after lines were dropped, and reports them")
{
    const std::string text = outputAfterBurst(500);
    CHECK(text.find("\"name\":\"log-lines-dropped\",\"dropped\":{\"6111\":100}") != std::string::npos);
    CHECK(text.find("\"name\":\"view-adopted\"") != std::string::npos);
}
