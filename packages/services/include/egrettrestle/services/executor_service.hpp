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
#include <egrettrestle/services/service_context.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle {

/// A claimed job that the executor runs. The executor's mutex guards the members that change.
struct RunningJob {
    JobNumber number;
    JobRequest request;
    TimePoint deadline;
    TraceContext trace;
    std::string urgencyClass;
    std::string quotaRule;
    /// Answers by index of the task.
    std::vector<std::string> answers;
    /// How often each task was sent again, by index of the task.
    std::vector<int> resends;
    std::size_t unansweredTasks = 0;
    /// Tasks that were sent to an upstream and may have started there.
    std::size_t startedTasks = 0;
    bool done = false;
    /// Valid once `done` is set.
    JobReply reply;
    /// Notified when `done` is set.
    std::condition_variable changed;
};

/// Queues the tasks of claimed jobs and sends them to upstreams, on a fixed number of threads. The public functions are
/// thread-safe.
class ExecutorService : public KernelService {
public:
    explicit ExecutorService(ServiceContext& context);
    ~ExecutorService() override;

    std::string name() const override { return serviceNames::executor; }
    absl::Status start() override;
    void stop() override;

    /// @name configuration
    /// @{
    /// Applies the urgency classes of a manifest to the scheduler.
    void setManifest(const Manifest& manifest);
    /// Sets the upstreams and the slots of each that belong to this VM.
    void setUpstreams(const std::vector<UpstreamShare>& upstreams);
    /// Sets the number of VMs among which the quotas of callers are divided.
    void setMemberCount(std::size_t members);
    /// @}
    /// @name jobs
    /// @{

    /// Checks whether a job would be admitted now: its conformance to the manifest, the available slots and the time
    /// that it is expected to take. Returns the refusal, or nothing if the job is admissible. Has no side effects.
    std::optional<JobReply> checkAdmission(const JobRequest& job, const Manifest& manifest, TimePoint deadline);

    /// Runs a claimed job and blocks until it ends, at the latest at the deadline. The job must have passed
    /// checkAdmission(). The reply is `complete` with all answers, `failed`, or `refused` if no task was started.
    JobReply run(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace);

    /// Ends a job: drops its queued tasks and answers its callers that it was cancelled. Tasks already sent to
    /// upstreams run on, and their answers are ignored. Returns whether the job was running here.
    bool cancel(const SubmissionKey& key);

    /// Number of tasks that are queued or in flight.
    std::size_t unfinishedTasks() const;
    /// @}

private:
    /// Where the state of a queued or running task is kept.
    struct TaskRef {
        std::shared_ptr<RunningJob> job;
        std::size_t index;
        TimePoint queuedSince;
    };

    /// Reserves the caller's quota and queues the tasks of a job. If the quota is used up, the job returned is done and
    /// its reply is the refusal.
    std::shared_ptr<RunningJob> enqueue(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace);
    /// Main loop of a task thread.
    void runTasks();
    /// Sends one task to its upstream and processes the result. Called with the lock held; releases it during the send.
    void runAssignment(std::unique_lock<std::mutex>& lock, const Assignment& assignment);
    /// Fails the job of a task that could not be started before the deadline.
    void expireTask(const TaskRef& taskRef);
    /// Updates the health of the upstream after a send, and resends the task, stores its answer or fails its job.
    void handleOutcome(const Assignment& assignment, const TaskRef& taskRef, const SendOutcomeTraits& traits, std::string answer, Duration runTime);
    /// Queues a task again for another upstream, or fails its job after too many attempts.
    void resend(const Assignment& assignment, const TaskRef& taskRef, const SendOutcomeTraits& traits);
    /// Sets the reply of a job, drops its queued tasks, returns its quota and wakes the thread in run().
    void finishJob(RunningJob& job, JobReply reply);
    /// Ends a job with `failed`, or with `refused` if none of its tasks was sent.
    void failJob(RunningJob& job, int httpStatus, const Event& event, ExecutionStatus execution, const std::string& detail);
    /// The refusal of a job that does not conform to the manifest, or nothing.
    static std::optional<JobReply> manifestRefusal(const JobRequest& job, const Manifest& manifest);
    void updateGauges();

    ServiceContext& m_context;
    HttpClient m_upstreamClient;
    mutable std::mutex m_mutex;
    std::condition_variable m_workAvailable;
    TaskScheduler m_scheduler;
    QuotaTracker m_quotas;
    std::map<TaskNumber, TaskRef> m_tasks;
    std::map<JobNumber, std::shared_ptr<RunningJob>> m_jobs;
    std::uint64_t m_nextTask = 1;
    std::uint64_t m_nextJob = 1;
    std::size_t m_memberCount = 1;
    /// Whether a thread is waiting for the next poll of the scheduler.
    bool m_pollerWaiting = false;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace egrettrestle
