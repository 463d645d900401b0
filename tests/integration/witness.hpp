#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cluster.hpp"

namespace egrettrestle::testing {

/// Sends one submission, as often and through as many VMs as a test likes, and keeps what is wrong with the replies:
/// a `refused` after a start, a `complete` without all starts or with answers that are not the job's own, a `failed`
/// that says `no`.
class Witness {
public:
    Witness(Cluster& cluster, JobRequest job);
    ~Witness();

    /// Sends through a VM and waits for the reply.
    std::optional<JobReply> send(std::size_t vm);

    /// Sends through a VM from a thread of its own.
    void sendBeside(std::size_t vm);

    /// Waits for the sends of threads.
    void join();

    const JobRequest& job() const { return m_job; }
    /// What was wrong, a line each; empty if nothing was.
    std::string faults();
    std::size_t count(Outcome outcome);

private:
    void judge(const std::optional<JobReply>& reply, std::size_t vm);

    Cluster& m_cluster;
    JobRequest m_job;
    std::mutex m_mutex;
    std::string m_faults;
    std::vector<JobReply> m_replies;
    std::vector<std::thread> m_threads;
};

/// The VMs that hold a submission's claim, and one that does not, as indexes of the cluster.
struct Roles {
    std::size_t registrar = 0;
    std::size_t mirror = 0;
    std::size_t other = 0;
};

Roles rolesOf(Cluster& cluster, const JobRequest& job);

/// A job whose claim has its registrar at one VM of the first data centre.
JobRequest jobWithRegistrar(Cluster& cluster, std::size_t registrar, const std::string& name, std::size_t tasks, Milliseconds run, Milliseconds deadline);

} // namespace egrettrestle::testing
