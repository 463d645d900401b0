#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cluster.hpp"

namespace egrettrestle::testing {

/// Sends one submission any number of times through any VMs, and checks each reply against the recorded starts. These
/// are violations: `refused` after a start; `complete` with a number of starts other than the number of tasks, or with
/// answers of another job; answers in any other reply; `failed` with the statement that nothing ran. Thread-safe,
/// except for sendAsync() and join().
class SubmissionChecker {
public:
    SubmissionChecker(Cluster& cluster, JobRequest job);
    ~SubmissionChecker();

    /// Sends the submission through a VM and waits for the reply. Returns nothing if no complete reply was received.
    std::optional<JobReply> send(std::size_t vm);

    /// Sends the submission through a VM on a new thread.
    void sendAsync(std::size_t vm);

    /// Waits for all sends of sendAsync().
    void join();

    const JobRequest& job() const { return m_job; }
    /// All violations so far, one per line; empty if there are none.
    std::string violations();
    /// Number of replies with this outcome.
    std::size_t count(Outcome outcome);

private:
    void checkReply(const std::optional<JobReply>& reply, std::size_t vm);

    Cluster& m_cluster;
    JobRequest m_job;
    std::mutex m_mutex;
    std::string m_violations;
    std::vector<JobReply> m_replies;
    std::vector<std::thread> m_threads;
};

/// Indexes of the VMs that store a submission's claim, and of one that does not if the cluster has more than two.
struct ClaimRoles {
    std::size_t primary = 0;
    std::size_t backup = 0;
    std::size_t other = 0;
};

/// Determines the roles from the view that the first VM shows.
ClaimRoles claimRolesOf(Cluster& cluster, const JobRequest& job);

/// Creates a job whose claim has the VM `primary` as its primary, by trying submission ids.
JobRequest jobWithPrimary(Cluster& cluster, std::size_t primary, const std::string& name, std::size_t tasks, Milliseconds run, Milliseconds deadline);

} // namespace egrettrestle::testing
