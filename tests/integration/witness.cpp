#include "witness.hpp"

#include <egrettrestle/decision/view.hpp>
#include <egrettrestle/wire/peer_messages.hpp>

namespace egrettrestle::testing {

SubmissionChecker::SubmissionChecker(Cluster& cluster, JobRequest job)
    : m_cluster(cluster)
    , m_job(std::move(job))
{
}

SubmissionChecker::~SubmissionChecker()
{
    join();
}

std::optional<JobReply> SubmissionChecker::send(std::size_t vm)
{
    std::optional<JobReply> reply = m_cluster.submit(vm, m_job);
    checkReply(reply, vm);
    return reply;
}

void SubmissionChecker::sendAsync(std::size_t vm)
{
    m_threads.emplace_back([this, vm] { send(vm); });
}

void SubmissionChecker::join()
{
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void SubmissionChecker::checkReply(const std::optional<JobReply>& reply, std::size_t vm)
{
    if (!reply)
        return;
    const int starts = m_cluster.startCount(m_job);
    std::string violation;
    if (reply->outcome == Outcome::Refused && starts > 0)
        violation = "refused (" + reply->reason + ") after " + std::to_string(starts) + " starts";
    if (reply->outcome == Outcome::Complete && starts != static_cast<int>(m_job.tasks.size()))
        violation = "complete with " + std::to_string(starts) + " starts";
    if (reply->outcome == Outcome::Complete && !answersMatchJob(m_job, *reply))
        violation = "complete, with answers of another job";
    if (reply->outcome != Outcome::Complete && !reply->answers.empty())
        violation = "not complete, but with a partial set of answers";
    if (reply->outcome == Outcome::Failed && reply->execution == ExecutionStatus::NotExecuted)
        violation = "failed, with the statement that nothing ran";
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_replies.push_back(*reply);
    if (!violation.empty())
        m_violations += m_job.submission + " through " + m_cluster.vm(vm).id + ": " + violation + '\n';
}

std::string SubmissionChecker::violations()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_violations;
}

std::size_t SubmissionChecker::count(Outcome outcome)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::size_t count = 0;
    for (const JobReply& reply : m_replies) {
        if (reply.outcome == outcome)
            ++count;
    }
    return count;
}

ClaimRoles claimRolesOf(Cluster& cluster, const JobRequest& job)
{
    View view;
    waitUntil([&] {
        const std::optional<View> shown = parseView(cluster.get(cluster.vm(0).peerAddress, "/v1/peer/view").response.body);
        if (shown)
            view = *shown;
        return view.members.size() >= 2;
    });
    const std::vector<VmId> ranked = rankedMembers(memberIds(view), bucketOf(job.key));
    ClaimRoles roles;
    roles.primary = cluster.indexOf(ranked.at(0));
    roles.backup = cluster.indexOf(ranked.at(1));
    roles.other = cluster.indexOf(ranked.back());
    return roles;
}

JobRequest jobWithPrimary(Cluster& cluster, std::size_t primary, const std::string& name, std::size_t tasks, Milliseconds run, Milliseconds deadline)
{
    for (int number = 0;; ++number) {
        const JobRequest job = cluster.job(name + '-' + std::to_string(number), tasks, run, deadline);
        if (claimRolesOf(cluster, job).primary == primary)
            return job;
    }
}

} // namespace egrettrestle::testing
