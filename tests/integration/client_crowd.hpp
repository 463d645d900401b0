#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace egrettrestle::testing {

inline constexpr std::size_t megabyte = 1024 * 1024;
/// How much resident memory a crowd may add. The smallest VM has 120 MB, the process itself needs up to 30 MB, and the
/// kernel's buffers count as well.
inline constexpr long maxGrowthKb = 24 * 1024;
/// Connections of the process itself that open meanwhile: to the store and to upstreams.
inline constexpr int otherDescriptors = 16;

/// A crowd of clients, what each of them sends, and how much.
struct Crowd {
    const char* name;
    int clients;
    std::string begin;
    std::string repeated;
    std::size_t bytes;
};

/// What a process holds at the moment.
struct ProcessUse {
    /// Resident memory, kilobytes.
    long residentKb = 0;
    /// The highest resident memory so far, kilobytes.
    long peakResidentKb = 0;
    int descriptors = 0;
};

/// Reads the use of a process from /proc. Throws std::runtime_error if it has ended.
ProcessUse processUse(pid_t process);

/// Waits until the peak memory of a process has not grown for a second: what clients have sent is then read or refused, or
/// will not be read. Ends after 30 s in any case.
ProcessUse settledUse(pid_t process);

/// Clients that send what no HTTP client would, all at once and without reading a reply.
class ClientCrowd {
public:
    /// Connects `count` clients to an address. A client that cannot connect is left out.
    ClientCrowd(const std::string& address, int count);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    /// Lets each client send `crowd.begin` once and then `crowd.repeated` until it has sent `crowd.bytes`. Ends when all clients have sent
    /// that much or were disconnected, or when the server accepts nothing more for a second. The connections stay open.
    void send(const Crowd& crowd);

private:
    std::vector<int> m_sockets;
};

} // namespace egrettrestle::testing
