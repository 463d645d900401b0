#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <egrettrestle/base/span.hpp>
#include <egrettrestle/decision/manifest.hpp>
#include <egrettrestle/decision/quota.hpp>
#include <egrettrestle/decision/send_outcome.hpp>
#include <egrettrestle/decision/task_scheduler.hpp>
#include <egrettrestle/services/node.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle {

/// A job in the executor's hands.
struct RunningJob {
    JobNumber number;
    JobRequest request;
    TimePoint deadline;
    TraceContext trace;
    std::string urgencyClass;
    std::string quotaRule;
    std::vector<std::string> answers;
    std::vector<int> resends;
    std::size_t unanswered = 0;
    /// Tasks whose request is, or was, on its way to an upstream.
    std::size_t started = 0;
    bool done = false;
    JobReply reply;
    std::condition_variable changed;
};

/// Runs the tasks of claimed jobs on upstreams.
class ExecutorService : public KernelService {
public:
    explicit ExecutorService(Node& node);
    ~ExecutorService() override;

    std::string name() const override { return serviceNames::executor; }
    absl::Status start() override;
    void stop() override;

    /// @name configuration
    /// @{
    void setManifest(const Manifest& manifest);
    void setUpstreams(const std::vector<UpstreamShare>& upstreams);
    void setMembers(std::size_t members);
    /// @}
    /// @name jobs
    /// @{

    /// Whether a job would be taken now: nothing, or the refusal. Changes nothing.
    std::optional<JobReply> admission(const JobRequest& job, const Manifest& manifest, TimePoint deadline);

    /// Runs a claimed job to its end. The reply is `complete`, `failed`, or `refused` if no task was started.
    JobReply run(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace);

    /// Drops the tasks of a job that have not started. True if the job was running here.
    bool cancel(const SubmissionKey& key);

    /// Tasks in flight and waiting.
    std::size_t openTasks() const;
    /// @}

private:
    struct TaskPlace {
        std::shared_ptr<RunningJob> job;
        std::size_t index;
        TimePoint queuedSince;
    };

    std::shared_ptr<RunningJob> enter(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace);
    void runTasks();
    void runAssignment(std::unique_lock<std::mutex>& lock, const Assignment& assignment);
    void expireTask(const TaskPlace& place);
    void settle(const Assignment& assignment, const TaskPlace& place, const SendOutcomeTraits& verdict, std::string answer, Duration runTime);
    void resend(const Assignment& assignment, const TaskPlace& place, const SendOutcomeTraits& verdict);
    void finish(RunningJob& job, JobReply reply);
    void failJob(RunningJob& job, int httpStatus, const Event& event, ExecutionStatus ran, const std::string& detail);
    static std::optional<JobReply> staticRefusal(const JobRequest& job, const Manifest& manifest);
    void updateGauges();

    Node& m_node;
    HttpClient m_upstreams;
    mutable std::mutex m_mutex;
    std::condition_variable m_work;
    TaskScheduler m_scheduler;
    QuotaTracker m_quotas;
    std::map<TaskNumber, TaskPlace> m_tasks;
    std::map<JobNumber, std::shared_ptr<RunningJob>> m_jobs;
    std::uint64_t m_nextTask = 1;
    std::uint64_t m_nextJob = 1;
    std::size_t m_members = 1;
    bool m_ticking = false;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace egrettrestle
