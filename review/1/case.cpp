// The smallest machine of the system freezes for four seconds and wakes again, twelve times. A client without an answer closes its
// connection at its deadline and sends the job again ResendMs later. Without trouble no machine freezes.
#include "../common/harness.hpp"

using namespace review;

namespace {

constexpr int daemonCount = 3;
constexpr int workerCount = 48;
constexpr std::int64_t deadlineMs = 1'500;
constexpr std::int64_t resendMs = 1'300;
constexpr std::int64_t freezeMs = 4'000;
constexpr std::int64_t restMs = 4'000;
constexpr int freezes = 12;
constexpr std::size_t specBytes = 1'000;

/// One kind of request, with the figures of the site's sheet. Ids of its jobs begin with 5c0e and its digit.
struct Kind {
    const char* queue;
    char digit;
    double perS;
    int tasks;
    std::int64_t workMs;
};

constexpr Kind kinds[] = { { "swatch", '2', 34.4, 8, 60 }, { "render", '0', 6.25, 4, 900 }, { "quote", '1', 100, 2, 200 } };

const Kind& kindOf(char digit)
{
    return *std::find_if(std::begin(kinds), std::end(kinds), [digit](const Kind& kind) { return kind.digit == digit; });
}

/// The platform's entry: daemons that miss two probes get no new connections until they answer one again.
class Entry {
public:
    explicit Entry(const std::vector<std::unique_ptr<Daemon>>& daemons)
        : m_daemons(daemons)
        , m_misses(daemons.size(), 0)
    {
        for (std::size_t number = 0; number < daemons.size(); ++number)
            m_probes.emplace_back([this, number] { probe(number); });
    }

    ~Entry()
    {
        m_stopping = true;
        for (std::thread& thread : m_probes)
            thread.join();
    }

    /// The daemon that a new connection is forwarded to.
    std::size_t choose(std::size_t hash, std::optional<std::size_t> except)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<std::size_t> usable;
        for (std::size_t number = 0; number < m_daemons.size(); ++number) {
            if (m_misses[number] < 2 && number != except)
                usable.push_back(number);
        }
        return usable.empty() ? hash % m_daemons.size() : usable[hash % usable.size()];
    }

private:
    void probe(std::size_t number)
    {
        while (!m_stopping) {
            const std::int64_t next = nowMs() + 1'000;
            const bool ready = m_daemons[number]->isReady();
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_misses[number] = ready ? 0 : m_misses[number] + 1;
            }
            while (!m_stopping && nowMs() < next)
                sleepMs(20);
        }
    }

    const std::vector<std::unique_ptr<Daemon>>& m_daemons;
    std::mutex m_mutex;
    std::vector<int> m_misses;
    std::atomic<bool> m_stopping { false };
    std::vector<std::thread> m_probes;
};

}

int main(int argc, char** arguments)
{
    const std::string folder = arguments[1];
    const unsigned seed = argc > 2 ? static_cast<unsigned>(std::stoul(arguments[2])) : 1;
    Record record(folder + "/record.txt");
    const TemporaryDirectory directory;
    Store store;
    store.put("op/config", configuration());
    Runs runs;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int number = 0; number < workerCount; ++number) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(number);
        workers.push_back(std::make_unique<Worker>(options, store, runs, record, [](const std::string& task, std::uint64_t) { return kindOf(task[4]).workMs; }));
        workers.back()->writeEntry();
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int number = 0; number < daemonCount; ++number)
        daemons.push_back(std::make_unique<Daemon>(directory.path(), "front-" + std::to_string(number), "z1", store.address(), number == 0 ? "0.12" : "0.5"));
    if (!waitReady(daemons))
        return 2;
    sleepMs(4'000);

    Entry entry(daemons);
    std::atomic<bool> stopping { false };
    std::mutex mutex;
    std::map<int, int> answers;
    std::atomic<int> clients { 0 };
    const auto client = [&](std::uint64_t number, const Kind& kind, std::size_t hash) {
        const std::string id = std::string("5c0e") + kind.digit + jobId(number).substr(5);
        const std::string path = std::string("/") + kind.queue + "/" + id;
        const json step { { "Count", kind.tasks }, { "Cpu", 27'000 }, { "MemMb", 64 }, { "EstimateMs", kind.workMs } };
        const std::string body = json { { "Spec", std::string(specBytes, 'x') }, { "BestEffort", true }, { "Steps", { step } } }.dump();
        std::optional<std::size_t> last;
        for (int attempt = 1; attempt <= 2 && !stopping; ++attempt) {
            last = entry.choose(hash + static_cast<std::size_t>(attempt), last);
            record.line("client: POST %s to front-%zu, attempt %d", path.c_str(), *last, attempt);
            Answer answer;
            {
                Call call(daemons[*last]->front(), "POST", path, clientHost, body, deadlineHeader(deadlineMs));
                answer = call.wait(deadlineMs);
            }
            record.line("client: answer to %s: %d", path.c_str(), answer.status);
            {
                const std::lock_guard<std::mutex> lock(mutex);
                ++answers[answer.status];
            }
            // Only a job without an answer, or one that was given up, comes again.
            if (answer.status != 0 && answer.status != 502 && answer.status != 504)
                break;
            sleepMs(resendMs);
        }
        --clients;
    };
    std::thread traffic([&] {
        std::mt19937 random(seed);
        std::discrete_distribution<std::size_t> kind { kinds[0].perS, kinds[1].perS, kinds[2].perS };
        std::exponential_distribution<double> gapS(kinds[0].perS + kinds[1].perS + kinds[2].perS);
        std::uint64_t number = 0;
        double nextAt = static_cast<double>(nowMs());
        while (!stopping) {
            nextAt += gapS(random) * 1'000;
            sleepUntilMs(static_cast<std::int64_t>(nextAt));
            ++clients;
            std::thread(client, ++number, std::cref(kinds[kind(random)]), random()).detach();
        }
    });
    sleepMs(2'000);
    for (int number = 0; number < freezes; ++number) {
        Daemon& daemon = *daemons.front();
        if (!withoutTrouble()) {
            record.line("%s freezes for %lld ms", daemon.node().c_str(), static_cast<long long>(freezeMs));
            daemon.signal(SIGSTOP);
        }
        sleepMs(freezeMs);
        if (!withoutTrouble()) {
            daemon.signal(SIGCONT);
            record.line("%s wakes", daemon.node().c_str());
        }
        sleepMs(restMs);
    }
    stopping = true;
    traffic.join();
    while (clients > 0)
        sleepMs(20);
    sleepMs(1'500);
    const std::size_t twice = recordOverlaps(record, runs);
    std::string text;
    for (const auto& answer : answers)
        text += std::to_string(answer.first) + ": " + std::to_string(answer.second) + ", ";
    record.line("answers by status (0: none) %spairs of runs of one task at a time: %zu", text.c_str(), twice);
    if (answers[200] < 100)
        return 2;
    return twice > 0 ? 1 : 0;
}
