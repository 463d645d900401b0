#include <egrettrestle/tools/load.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include <egrettrestle/http/client.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds connectTimeout { 500 };
    constexpr Milliseconds replyGrace { 1'000 };
    constexpr Milliseconds resubmitDelay { 100 };

    /// A scheduled job: its arrival time, its stream and the run times of its tasks.
    struct Arrival {
        Duration offset;
        std::size_t stream;
        std::uint64_t number;
        std::vector<Milliseconds> runTimes;
    };

    /// The result of one job.
    struct JobResult {
        std::size_t stream;
        std::size_t tasks;
        Outcome outcome;
        bool replied;
        bool wrongAnswer;
        int resubmitted;
        std::string reason;
        Duration response;
        double ratio;
    };

    std::vector<Arrival> scheduleArrivals(const LoadProfile& profile)
    {
        std::vector<Arrival> arrivals;
        for (std::size_t index = 0; index < profile.streams.size(); ++index) {
            const LoadStream& stream = profile.streams[index];
            std::mt19937_64 random(profile.seed * 1'000'003 + index);
            std::exponential_distribution<double> interarrivalTime(stream.jobsPerSecond / static_cast<double>(stream.burst));
            std::uniform_int_distribution<Milliseconds::rep> run(stream.shortestRun.count(), stream.longestRun.count());
            std::uint64_t number = 0;
            for (double at = interarrivalTime(random); at < static_cast<double>(profile.length.count()); at += interarrivalTime(random)) {
                for (std::size_t member = 0; member < stream.burst; ++member) {
                    Arrival arrival { std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)), index, number++, {} };
                    for (std::size_t task = 0; task < stream.tasksPerJob; ++task)
                        arrival.runTimes.emplace_back(run(random));
                    arrivals.push_back(std::move(arrival));
                }
            }
        }
        std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& left, const Arrival& right) { return left.offset < right.offset; });
        return arrivals;
    }

    std::string token(const Arrival& arrival, std::size_t task)
    {
        return std::to_string(arrival.stream) + '-' + std::to_string(arrival.number) + '-' + std::to_string(task);
    }

    JobRequest makeJob(const LoadStream& stream, const Arrival& arrival, const std::string& runId)
    {
        JobRequest job;
        job.caller = stream.caller;
        job.submission = runId + '-' + stream.name + '-' + std::to_string(arrival.number);
        job.service = stream.service;
        job.deadline = stream.deadline;
        for (std::size_t task = 0; task < arrival.runTimes.size(); ++task)
            job.tasks.push_back({ stream.kind, nlohmann::json { { "runMs", arrival.runTimes[task].count() }, { "token", token(arrival, task) } }.dump() });
        return job;
    }

    /// Whether each answer contains the token of its own task, which the upstream stand-in echoes.
    bool answersMatchTasks(const JobReply& reply, const Arrival& arrival)
    {
        if (reply.answers.size() != arrival.runTimes.size())
            return false;
        for (std::size_t task = 0; task < arrival.runTimes.size(); ++task) {
            const nlohmann::json answer = nlohmann::json::parse(reply.answers[task], nullptr, false);
            if (!answer.is_object() || !answer.contains("echo") || answer["echo"].value("token", "") != token(arrival, task))
                return false;
        }
        return true;
    }

    std::string newRunId()
    {
        return "load" + std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
    }

    /// Sends the scheduled jobs from a pool of threads.
    class LoadRunner {
    public:
        LoadRunner(const LoadProfile& profile, const LoadTargets& targets)
            : m_profile(profile)
            , m_targets(targets)
            , m_arrivals(scheduleArrivals(profile))
            , m_runId(newRunId())
        {
        }

        std::vector<JobResult> run()
        {
            m_begin = SteadyClock::now();
            std::vector<std::thread> threads;
            for (int index = 0; index < m_targets.threads; ++index)
                threads.emplace_back([this] { sendJobs(); });
            for (std::thread& thread : threads)
                thread.join();
            return std::move(m_results);
        }

    private:
        void sendJobs()
        {
            while (true) {
                const std::size_t next = m_next++;
                if (next >= m_arrivals.size())
                    return;
                std::this_thread::sleep_until(m_begin + m_arrivals[next].offset);
                JobResult result = sendJob(m_arrivals[next], next);
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_results.push_back(std::move(result));
            }
        }

        JobResult sendJob(const Arrival& arrival, std::size_t position)
        {
            const LoadStream& stream = m_profile.streams[arrival.stream];
            JobRequest job = makeJob(stream, arrival, m_runId);
            HttpRequest request;
            request.method = "POST";
            request.path = "/v1/jobs";
            JobResult result { arrival.stream, arrival.runTimes.size(), Outcome::Failed, false, false, 0, "no-reply", {}, 0 };
            std::optional<JobReply> reply;
            for (int attempt = 0; attempt <= stream.resubmissions; ++attempt) {
                job.firstTry = attempt == 0;
                request.body = jobText(job);
                const std::string& target = m_targets.callerAddresses[(position + static_cast<std::size_t>(attempt)) % m_targets.callerAddresses.size()];
                const HttpResult sent = m_client.call(target, request, { connectTimeout, stream.deadline + replyGrace });
                reply = sent.ok() ? parseReply(sent.response.body, sent.response.status) : std::nullopt;
                result.resubmitted = attempt;
                if ((reply && reply->outcome == Outcome::Complete) || attempt == stream.resubmissions)
                    break;
                std::this_thread::sleep_for(reply && reply->retryAfter ? *reply->retryAfter : resubmitDelay);
            }
            result.response = SteadyClock::now() - (m_begin + arrival.offset);
            const Milliseconds ideal = *std::max_element(arrival.runTimes.begin(), arrival.runTimes.end());
            result.ratio = toSeconds(result.response) / toSeconds(std::max(ideal, Milliseconds(1)));
            if (!reply)
                return result;
            result.replied = true;
            result.outcome = reply->outcome;
            result.reason = reply->reason;
            result.wrongAnswer = reply->outcome == Outcome::Complete && !answersMatchTasks(*reply, arrival);
            return result;
        }

        const LoadProfile& m_profile;
        const LoadTargets& m_targets;
        const std::vector<Arrival> m_arrivals;
        const std::string m_runId;
        HttpClient m_client;
        TimePoint m_begin;
        std::atomic<std::size_t> m_next { 0 };
        std::mutex m_mutex;
        std::vector<JobResult> m_results;
    };

    /// The daemons' counters, summed over all daemons.
    struct CounterSums {
        std::map<std::string, double> messages;
        std::map<std::string, double> wasted;
        double starts = 0;
    };

    std::string labelValue(const std::string& line, const std::string& label)
    {
        const std::string mark = label + "=\"";
        const std::size_t begin = line.find(mark);
        if (begin == std::string::npos)
            return {};
        const std::size_t from = begin + mark.size();
        return line.substr(from, line.find('"', from) - from);
    }

    bool startsWith(const std::string& text, const char* prefix) { return text.rfind(prefix, 0) == 0; }

    CounterSums readCounters(HttpClient& client, const std::vector<std::string>& addresses)
    {
        CounterSums sums;
        for (const std::string& address : addresses) {
            HttpRequest request;
            request.path = "/metrics";
            const HttpResult result = client.call(address, request, { connectTimeout, replyGrace });
            std::istringstream lines(result.response.body);
            std::string line;
            while (std::getline(lines, line)) {
                const std::size_t space = line.rfind(' ');
                if (space == std::string::npos || line[0] == '#')
                    continue;
                const double value = std::strtod(line.c_str() + space, nullptr);
                if (startsWith(line, "egrettrestle_messages_total"))
                    sums.messages[labelValue(line, "use")] += value;
                else if (startsWith(line, "egrettrestle_wasted_messages_total"))
                    sums.wasted[labelValue(line, "use")] += value;
                else if (startsWith(line, "egrettrestle_task_starts_total"))
                    sums.starts += value;
            }
        }
        return sums;
    }

    template <typename Value>
    Value percentile(const std::vector<Value>& sorted, double fraction)
    {
        if (sorted.empty())
            return Value {};
        const std::size_t rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
        return sorted[std::min(sorted.size(), std::max<std::size_t>(1, rank)) - 1];
    }

    StreamReport summarise(const std::string& name, std::size_t stream, const std::vector<JobResult>& results)
    {
        StreamReport report;
        report.name = name;
        std::vector<double> ratios;
        std::vector<Duration> responses;
        for (const JobResult& result : results) {
            if (result.stream != stream)
                continue;
            ++report.jobs;
            report.tasks += result.tasks;
            report.resubmitted += static_cast<std::size_t>(result.resubmitted);
            if (result.wrongAnswer)
                ++report.wrongAnswers;
            if (!result.replied) {
                ++report.noReply;
            } else if (result.outcome == Outcome::Complete) {
                ++report.complete;
                report.completeTasks += result.tasks;
                ratios.push_back(result.ratio);
                responses.push_back(result.response);
            } else if (result.outcome == Outcome::Refused) {
                ++report.refused;
            } else {
                ++report.failed;
            }
            if (!result.replied || result.outcome != Outcome::Complete)
                ++report.reasons[result.reason];
        }
        std::sort(ratios.begin(), ratios.end());
        std::sort(responses.begin(), responses.end());
        report.ratioP50 = percentile(ratios, 0.5);
        report.ratioP90 = percentile(ratios, 0.9);
        report.ratioP99 = percentile(ratios, 0.99);
        report.p50 = toMilliseconds(percentile(responses, 0.5));
        report.p99 = toMilliseconds(percentile(responses, 0.99));
        return report;
    }

}

std::size_t LoadReport::tasks() const
{
    std::size_t sum = 0;
    for (const StreamReport& stream : streams)
        sum += stream.tasks;
    return sum;
}

namespace {

    double perTask(const std::map<std::string, double>& counts, std::size_t tasks)
    {
        double sum = 0;
        for (const auto& entry : counts)
            sum += entry.second;
        return tasks == 0 ? 0 : sum / static_cast<double>(tasks);
    }

}

double LoadReport::messagesPerTask() const { return perTask(messages, tasks()); }

double LoadReport::wastedPerTask() const { return perTask(wasted, tasks()); }

double LoadReport::startsPerTask() const { return tasks() == 0 ? 0 : starts / static_cast<double>(tasks()); }

LoadReport runLoad(const LoadProfile& profile, const LoadTargets& targets)
{
    HttpClient client;
    const CounterSums before = readCounters(client, targets.adminAddresses);
    const TimePoint begin = SteadyClock::now();
    const std::vector<JobResult> results = LoadRunner(profile, targets).run();
    LoadReport report;
    report.seconds = toSeconds(SteadyClock::now() - begin);
    CounterSums after = readCounters(client, targets.adminAddresses);
    for (auto& entry : after.messages)
        report.messages[entry.first] = entry.second - (before.messages.count(entry.first) ? before.messages.at(entry.first) : 0);
    for (auto& entry : after.wasted)
        report.wasted[entry.first] = entry.second - (before.wasted.count(entry.first) ? before.wasted.at(entry.first) : 0);
    report.starts = after.starts - before.starts;
    for (std::size_t stream = 0; stream < profile.streams.size(); ++stream)
        report.streams.push_back(summarise(profile.streams[stream].name, stream, results));
    return report;
}

} // namespace egrettrestle
