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
#include <egrettrestle/services/node.hpp>
#include <egrettrestle/services/submission_table.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle {

/// Where a job came from.
enum class JobSource {
    Caller,
    /// A VM of another data centre, which has found that this one is the job's home.
    OtherDataCentre,
    /// A VM of this data centre, which has found that this VM holds the claim.
    OtherVm,
};

/// Takes a job through its whole way: home, claim, admission, run, reply.
class JobsService : public KernelService {
public:
    explicit JobsService(Node& node);

    std::string name() const override { return serviceNames::jobs; }
    absl::Status start() override;
    /// Waits until the jobs in flight have ended.
    void stop() override;

    JobReply submit(const JobRequest& job, JobSource source, const TraceContext& trace);
    /// Cancels a job, at this VM or at the one that holds it. True if it was found running.
    bool cancel(const std::string& caller, const std::string& submission, bool forwarded);
    /// How far a submission is: `active`, `not-started`, `ended`, `claimed-elsewhere`, `unknown` or `not-known`.
    std::string status(const std::string& caller, const std::string& submission);

    /// From now on new jobs are refused.
    void drain();
    bool draining() const { return m_draining; }
    /// Whether the balancer should send callers here.
    bool ready() const;
    /// Gives back every claim that was not used, so that another VM can take it up.
    void releaseUnused(TimePoint deadline);
    std::size_t jobsInFlight() const { return m_inFlight; }

    /// Sets how long submissions and their answers are remembered.
    void setWindow(Duration window) { m_table.setWindow(window); }

    /// Notes the view of another data centre.
    void noteOtherView(const DataCentreId& dataCentre, const View& view);

private:
    JobReply submitCounted(const JobRequest& job, JobSource source, const TraceContext& trace);
    JobReply forwardHome(const JobRequest& job, const DataCentreId& home, TimePoint deadline, const TraceContext& trace);
    JobReply submitHere(const JobRequest& job, const Manifest& manifest, JobSource source, TimePoint deadline, const TraceContext& trace);
    JobReply own(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace);
    JobReply refuseIfNew(const JobRequest& job, const JobReply& refused, TimePoint deadline, const TraceContext& trace);
    JobReply runClaimed(const JobRequest& job, const Manifest& manifest, TimePoint deadline, const TraceContext& trace);
    JobReply notGranted(const JobRequest& job, const ClaimReply& answer, TimePoint deadline, const TraceContext& trace);
    JobReply joinHolder(const JobRequest& job, Incarnation holder, TimePoint deadline, const TraceContext& trace);
    JobReply leaveNotStarted(const JobRequest& job, JobReply reply);
    JobReply leaveForgotten(const JobRequest& job, JobReply reply);
    ClaimRequest claimRequest(const JobRequest& job, ClaimRequestKind kind) const;
    std::optional<JobReply> send(const std::string& address, const std::string& path, const JobRequest& job, TimePoint deadline, const TraceContext& trace);
    void stamp(JobReply& reply) const;

    Node& m_node;
    ClaimsService* m_claims = nullptr;
    ManifestService* m_manifest = nullptr;
    ExecutorService* m_executor = nullptr;
    SubmissionTable m_table;
    std::atomic<bool> m_draining { false };
    std::atomic<std::size_t> m_inFlight { 0 };
    std::mutex m_otherMutex;
    std::map<DataCentreId, View> m_otherViews;
};

} // namespace egrettrestle
