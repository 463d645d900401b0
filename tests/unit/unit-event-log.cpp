#include <cstdio>
#include <thread>

#include <unistd.h>

#include <catch2/catch.hpp>

#include <egrettrestle/base/event_log.hpp>

using namespace egrettrestle;

namespace {

/// Redirects standard output to a temporary file as long as it exists.
class CapturedOutput {
public:
    CapturedOutput()
        : m_file(std::tmpfile())
    {
        std::fflush(stdout);
        m_output = dup(STDOUT_FILENO);
        dup2(fileno(m_file), STDOUT_FILENO);
    }

    ~CapturedOutput()
    {
        std::fflush(stdout);
        dup2(m_output, STDOUT_FILENO);
        close(m_output);
        std::fclose(m_file);
    }

    std::string text() const
    {
        constexpr std::size_t maxSize = 1'000'000;
        std::string text(maxSize, '\0');
        const ssize_t size = pread(fileno(m_file), text.data(), text.size(), 0);
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

private:
    std::FILE* m_file;
    int m_output = -1;
};

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
