#include "witness.hpp"

#include <egrettrestle/decision/view.hpp>
#include <egrettrestle/wire/peer_messages.hpp>

namespace egrettrestle::testing {

Witness::Witness(Cluster& cluster, JobRequest job)
    : m_cluster(cluster)
    , m_job(std::move(job))
{
}

Witness::~Witness()
{
    join();
}

std::optional<JobReply> Witness::send(std::size_t vm)
{
    std::optional<JobReply> reply = m_cluster.submit(vm, m_job);
    judge(reply, vm);
    return reply;
}

void Witness::sendBeside(std::size_t vm)
{
    m_threads.emplace_back([this, vm] { send(vm); });
}

void Witness::join()
{
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void Witness::judge(const std::optional<JobReply>& reply, std::size_t vm)
{
    if (!reply)
        return;
    const int starts = m_cluster.startsOf(m_job);
    std::string fault;
    if (reply->outcome == Outcome::Refused && starts > 0)
        fault = "refused (" + reply->reason + ") after " + std::to_string(starts) + " starts";
    if (reply->outcome == Outcome::Complete && starts != static_cast<int>(m_job.tasks.size()))
        fault = "complete with " + std::to_string(starts) + " starts";
    if (reply->outcome == Outcome::Complete && !answersAreOwn(m_job, *reply))
        fault = "complete with answers of another job";
    if (reply->outcome != Outcome::Complete && !reply->answers.empty())
        fault = "a partial set of answers";
    if (reply->outcome == Outcome::Failed && reply->execution == ExecutionStatus::NotExecuted)
        fault = "failed, though it says that nothing ran";
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_replies.push_back(*reply);
    if (!fault.empty())
        m_faults += m_job.submission + " through " + m_cluster.vm(vm).id + ": " + fault + '\n';
}

std::string Witness::faults()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

std::size_t Witness::count(Outcome outcome)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::size_t count = 0;
    for (const JobReply& reply : m_replies) {
        if (reply.outcome == outcome)
            ++count;
    }
    return count;
}

Roles rolesOf(Cluster& cluster, const JobRequest& job)
{
    View view;
    eventually([&] {
        const std::optional<View> shown = parseView(cluster.get(cluster.vm(0).peerAddress, "/v1/peer/view").response.body);
        if (shown)
            view = *shown;
        return view.members.size() >= 2;
    });
    const std::vector<VmId> ranked = rankedMembers(memberIds(view), bucketOf(job.key));
    Roles roles;
    roles.registrar = cluster.indexOf(ranked.at(0));
    roles.mirror = cluster.indexOf(ranked.at(1));
    roles.other = cluster.indexOf(ranked.back());
    return roles;
}

JobRequest jobWithRegistrar(Cluster& cluster, std::size_t registrar, const std::string& name, std::size_t tasks, Milliseconds run, Milliseconds deadline)
{
    for (int number = 0;; ++number) {
        const JobRequest job = cluster.job(name + '-' + std::to_string(number), tasks, run, deadline);
        if (rolesOf(cluster, job).registrar == registrar)
            return job;
    }
}

} // namespace egrettrestle::testing
