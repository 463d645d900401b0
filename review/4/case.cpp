// Minions leave orders to stop a task unanswered and carry them out two seconds later. Jobs that take longer than their
// client waits are given up with 504, and their clients send them again ResendMs later. Without trouble every order is
// answered and carried out at once.
#include "../common/harness.hpp"

using namespace review;

namespace {

constexpr std::size_t daemonCount = 3;
constexpr int workerCount = 48;
// The largest work of a task and the deadline by the site's sheet.
constexpr std::int64_t workMs = 3'600;
constexpr std::int64_t estimateMs = 900;
constexpr std::int64_t deadlineMs = 1'500;
constexpr std::int64_t resendMs = 1'300;
constexpr int tasksPerJob = 2;
constexpr int jobs = 5;
// The disruption lasts this long for each job, with a pause before the next; a late order is carried out this much later.
constexpr std::int64_t troubleMs = 5'500;
constexpr std::int64_t pauseMs = 6'000;
constexpr std::int64_t lateMs = 2'000;
// Largest share of the orders to minions that may be left unanswered.
constexpr double largestShare = 0.055;

}

int main(int, char** arguments)
{
    const std::string folder = arguments[1];
    Record record(folder + "/record.txt");
    const TemporaryDirectory directory;
    Store store;
    store.put("op/config", configuration());
    Runs runs;
    std::atomic<bool> trouble { false };
    std::atomic<int> orders { 0 };
    std::atomic<int> lateOrders { 0 };
    std::vector<std::unique_ptr<Worker>> workers;
    for (int number = 0; number < workerCount; ++number) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(number);
        workers.push_back(std::make_unique<Worker>(options, store, runs, record, [](const std::string&, std::uint64_t) { return workMs; }));
        workers.back()->setFate([&](const std::string& path, const json&) {
            Worker::Fate fate;
            if (!trouble)
                return fate;
            ++orders;
            if (path == "/run-stop") {
                ++lateOrders;
                fate.delayMs = lateMs;
            }
            return fate;
        });
        workers.back()->writeEntry();
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (std::size_t number = 0; number < daemonCount; ++number)
        daemons.push_back(std::make_unique<Daemon>(directory.path(), "front-" + std::to_string(number), "z1", store.address()));
    if (!waitReady(daemons))
        return 2;
    sleepMs(3'000);

    const json step { { "Count", tasksPerJob }, { "Cpu", 27'000 }, { "MemMb", 64 }, { "EstimateMs", estimateMs } };
    const std::string body = json { { "Spec", "work" }, { "BestEffort", true }, { "Steps", { step } } }.dump();
    int givenUp = 0;
    for (int job = 0; job < jobs; ++job) {
        const std::int64_t begin = nowMs();
        trouble = !withoutTrouble();
        if (trouble)
            record.line("minions leave orders to stop unanswered for %lld ms", static_cast<long long>(troubleMs));
        const std::string path = "/render/" + jobId(static_cast<std::uint64_t>(job));
        for (std::size_t attempt = 0; attempt < 2; ++attempt) {
            const std::size_t daemon = (static_cast<std::size_t>(job) + attempt) % daemonCount;
            record.line("client: POST %s to front-%zu, attempt %zu", path.c_str(), daemon, attempt + 1);
            Call call(daemons[daemon]->front(), "POST", path, clientHost, body, deadlineHeader(deadlineMs));
            const Answer answer = call.wait(deadlineMs);
            record.line("client: answer to %s: %d %s", path.c_str(), answer.status, answer.body.c_str());
            if (answer.status != 0 && answer.status != 502 && answer.status != 504)
                break;
            ++givenUp;
            if (attempt == 0)
                sleepMs(resendMs);
        }
        sleepUntilMs(begin + troubleMs);
        trouble = false;
        sleepMs(pauseMs);
    }
    const double share = orders == 0 ? 0 : static_cast<double>(lateOrders) / orders;
    record.line("orders to minions during the disruptions: %d, of which left unanswered: %d (%.2f)", orders.load(), lateOrders.load(), share);
    const std::size_t twice = recordOverlaps(record, runs);
    record.line("pairs of runs of one task at a time: %zu", twice);
    if (givenUp < jobs || share > largestShare)
        return 2;
    return twice > 0 ? 1 : 0;
}
