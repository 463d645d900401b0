#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include <egrettrestle/decision/claim.hpp>
#include <egrettrestle/decision/manifest.hpp>
#include <egrettrestle/decision/view.hpp>
#include <egrettrestle/services/claims_service.hpp>
#include <egrettrestle/services/executor_service.hpp>
#include <egrettrestle/services/manifest_service.hpp>
#include <egrettrestle/services/service_context.hpp>
#include <egrettrestle/services/submission_table.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle {

/// The sender of a job request.
enum class JobSource {
    Caller,
    /// A VM of another data centre, which forwards the job because this data centre is its home.
    OtherDataCentre,
    /// A VM of this data centre, which forwards the job because this VM holds its claim.
    OtherVm,
};

/// Processes job requests: determines the home data centre, deduplicates by submission, checks admission, obtains the
/// claim, runs the job and builds the reply. The public functions are thread-safe.
class JobsService : public KernelService {
public:
    explicit JobsService(ServiceContext& context);

    std::string name() const override { return serviceNames::jobs; }
    absl::Status start() override;
    /// Waits until the jobs in flight have ended.
    void stop() override;

    /// Processes one job request and blocks until its reply is there. Requests for the same submission get the reply of
    /// the first one. Errors are reported in the reply.
    JobReply submit(const JobRequest& job, JobSource source, const TraceContext& trace);
    /// Cancels a job, on this VM or on the one that holds its claim. With `forwarded` only this VM is tried. Returns
    /// whether the job was found running.
    bool cancel(const std::string& caller, const std::string& submission, bool forwarded);
    /// The state of a submission: `active`, `not-started`, `ended`, `claimed-elsewhere`, `unknown` or `not-known`.
    std::string status(const std::string& caller, const std::string& submission);

    /// Refuses new jobs from now on.
    void drain();
    bool draining() const { return m_draining; }
    /// Whether this VM accepts jobs, for the load balancer's health check: it has a manifest, is a member of the view
    /// and is not draining.
    bool ready() const;
    /// Releases every claim whose job was not started here, so that another VM can acquire it.
    void releaseUnusedClaims(TimePoint deadline);
    std::size_t jobsInFlight() const { return m_inFlight; }

    /// Sets how long submissions and their answers are kept.
    void setClaimWindow(Duration window) { m_table.setClaimWindow(window); }

    /// Stores the view of another data centre, for forwarding jobs to it. A view with a lower epoch is ignored.
    void updateRemoteView(const DataCentreId& dataCentre, const View& view);

private:
    /// Processes a job, forwarding it if another data centre is its home, and records the outcome in metrics and log.
    JobReply processSubmission(const JobRequest& job, JobSource source, const TraceContext& trace);
    /// Forwards a job to the VMs of its home data centre, one after another, until one that is not draining replies.
    JobReply forwardToHome(const JobRequest& job, const DataCentreId& home, TimePoint deadline, const TraceContext& trace);
    /// Processes a job whose home is this data centre. Joins a request for the same submission if there is one.
    JobReply submitAtHome(const JobRequest& job, const Manifest& manifest, JobSource source, TimePoint deadline, const TraceContext& trace);
    /// Checks admission, obtains the claim and runs the job. The submission was acquired by this thread; the
    /// functions called from it finish or forget it in the submission table.
    JobReply runAsOwner(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace);
    /// Answers with a refusal if it is certain that the submission never ran, or else with what is known of it.
    JobReply refuseIfNeverRan(const JobRequest& job, const JobReply& refused, TimePoint deadline, const TraceContext& trace);
    JobReply runClaimed(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace);
    /// Answers a request whose claim was not granted to this VM.
    JobReply handleNotGranted(const JobRequest& job, const ClaimReply& answer, TimePoint deadline, const TraceContext& trace);
    /// Forwards a job to the VM that holds its claim and answers with that VM's reply.
    JobReply forwardToHolder(const JobRequest& job, Incarnation holder, TimePoint deadline, const TraceContext& trace);
    JobReply finishNotStarted(const JobRequest& job, JobReply reply);
    JobReply finishForgotten(const JobRequest& job, JobReply reply);
    ClaimRequest claimRequest(const JobRequest& job, ClaimRequestKind kind) const;
    /// Sends a job to another VM. Returns nothing if no valid reply was received before the deadline.
    std::optional<JobReply> forward(const std::string& address, const std::string& path, const JobRequest& job, TimePoint deadline, const TraceContext& trace);
    /// Adds the current epoch to a reply that has no stamp yet; the caller returns it with a resubmission.
    void addEpochStamp(JobReply& reply) const;

    ServiceContext& m_context;
    ClaimsService* m_claims = nullptr;
    ManifestService* m_manifest = nullptr;
    ExecutorService* m_executor = nullptr;
    SubmissionTable m_table;
    std::atomic<bool> m_draining { false };
    std::atomic<std::size_t> m_inFlight { 0 };
    std::mutex m_remoteViewsMutex;
    std::map<DataCentreId, View> m_remoteViews;
};

} // namespace egrettrestle
