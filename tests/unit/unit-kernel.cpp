#include <stdexcept>

#include <catch2/catch.hpp>

#include <egrettrestle/kernel/kernel.hpp>

using namespace egrettrestle;

namespace {

using Calls = std::vector<std::string>;

/// Records the calls that it gets, and fails in one of them.
class RecordingService : public KernelService {
public:
    RecordingService(std::string name, Calls& calls, std::string failingCall = {}, bool throwing = false)
        : m_name(std::move(name))
        , m_calls(calls)
        , m_failingCall(std::move(failingCall))
        , m_throwing(throwing)
    {
    }

    std::string name() const override { return m_name; }
    absl::Status prepare() override { return record("prepare"); }
    absl::Status start() override { return record("start"); }
    void prepareStop() override { m_calls.push_back("prepareStop " + m_name); }
    void stop() override { m_calls.push_back("stop " + m_name); }

private:
    absl::Status record(const std::string& call)
    {
        m_calls.push_back(call + ' ' + m_name);
        if (call != m_failingCall)
            return absl::OkStatus();
        if (m_throwing)
            throw std::runtime_error("no more threads");
        return absl::UnavailableError("address in use");
    }

    std::string m_name;
    Calls& m_calls;
    std::string m_failingCall;
    bool m_throwing;
};

}

TEST_CASE("Kernel prepares every service before it starts one")
{
    Calls calls;
    Kernel kernel;
    kernel.add(std::make_unique<RecordingService>("a", calls));
    kernel.add(std::make_unique<RecordingService>("b", calls));
    REQUIRE(kernel.start().ok());
    CHECK(calls == Calls { "prepare a", "prepare b", "start a", "start b" });
    calls.clear();
    kernel.stop();
    CHECK(calls == Calls { "prepareStop b", "prepareStop a", "stop b", "stop a" });
}

// A VM told others of itself before it knew that it could start.
TEST_CASE("Kernel starts nothing if a service cannot be prepared, and stops what has been prepared")
{
    const std::string failing = GENERATE("a", "b", "c");
    const bool throwing = GENERATE(false, true);
    Calls calls;
    Kernel kernel;
    Calls prepared;
    for (const std::string name : { "a", "b", "c" }) {
        kernel.add(std::make_unique<RecordingService>(name, calls, name == failing ? "prepare" : "", throwing));
        if (name <= failing)
            prepared.push_back("prepare " + name);
    }
    const absl::Status status = kernel.start();
    CHECK_FALSE(status.ok());
    CHECK(std::string(status.message()).find(throwing ? "no more threads" : "address in use") != std::string::npos);
    CHECK(calls == prepared);
    calls.clear();
    kernel.stop();
    CHECK(calls.size() == 2 * prepared.size());
    CHECK(calls.back() == "stop a");
}

TEST_CASE("Kernel stops every service if one cannot be started")
{
    const std::string failing = GENERATE("a", "b", "c");
    const bool throwing = GENERATE(false, true);
    Calls calls;
    Kernel kernel;
    for (const std::string name : { "a", "b", "c" })
        kernel.add(std::make_unique<RecordingService>(name, calls, name == failing ? "start" : "", throwing));
    CHECK_FALSE(kernel.start().ok());
    CHECK(calls.back() == "start " + failing);
    calls.clear();
    kernel.stop();
    CHECK(calls == Calls { "prepareStop c", "prepareStop b", "prepareStop a", "stop c", "stop b", "stop a" });
}
