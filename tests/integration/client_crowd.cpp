#include "client_crowd.hpp"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle::testing {

namespace {

    constexpr Milliseconds noProgressTimeout { 1'000 };
    constexpr Milliseconds pollInterval { 2 };
    constexpr Milliseconds settleInterval { 50 };
    constexpr Seconds settleTimeout { 30 };
    constexpr std::size_t blockBytes = 64 * 1024;

    /// What one client still has to send.
    struct Client {
        int socket;
        std::size_t sent = 0;
        bool done = false;
    };

    sockaddr_in socketAddress(const std::string& address)
    {
        const std::size_t colon = address.find(':');
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
        return result;
    }

    /// Sends what the socket accepts of one block. Returns the number of bytes.
    std::size_t sendBlock(Client& client, const std::string& begin, const std::string& block, std::size_t bytes)
    {
        const bool beginning = client.sent < begin.size();
        const std::string& text = beginning ? begin : block;
        const std::size_t offset = beginning ? client.sent : (client.sent - begin.size()) % block.size();
        const ssize_t count = ::send(client.socket, text.data() + offset, std::min(text.size() - offset, bytes - client.sent), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0) {
            client.done = errno != EAGAIN && errno != EWOULDBLOCK;
            return 0;
        }
        client.sent += static_cast<std::size_t>(count);
        client.done = client.sent >= bytes;
        return static_cast<std::size_t>(count);
    }

}

ProcessUse processUse(pid_t process)
{
    const std::string directory = "/proc/" + std::to_string(process);
    std::ifstream status(directory + "/status");
    ProcessUse use;
    std::string name;
    while (status >> name) {
        if (name == "VmRSS:")
            status >> use.residentKb;
        else if (name == "VmHWM:")
            status >> use.peakResidentKb;
    }
    if (use.residentKb == 0)
        throw std::runtime_error("the process has ended");
    for (auto entry = std::filesystem::directory_iterator(directory + "/fd"); entry != std::filesystem::directory_iterator(); ++entry)
        ++use.descriptors;
    return use;
}

ProcessUse settledUse(pid_t process)
{
    const TimePoint end = SteadyClock::now() + settleTimeout;
    ProcessUse use = processUse(process);
    TimePoint lastGrowth = SteadyClock::now();
    while (SteadyClock::now() < end && SteadyClock::now() - lastGrowth < noProgressTimeout) {
        std::this_thread::sleep_for(settleInterval);
        const long peak = use.peakResidentKb;
        use = processUse(process);
        if (use.peakResidentKb > peak)
            lastGrowth = SteadyClock::now();
    }
    return use;
}

ClientCrowd::ClientCrowd(const std::string& address, int count)
{
    const sockaddr_in target = socketAddress(address);
    for (int number = 0; number < count; ++number) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (socket < 0 || ::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
            close(socket);
            continue;
        }
        m_sockets.push_back(socket);
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const int socket : m_sockets)
        close(socket);
}

void ClientCrowd::send(const Crowd& crowd)
{
    std::string block = crowd.repeated;
    while (block.size() < blockBytes)
        block += crowd.repeated;
    std::vector<Client> clients;
    for (const int socket : m_sockets)
        clients.push_back({ socket });
    TimePoint lastProgress = SteadyClock::now();
    bool open = true;
    while (open && SteadyClock::now() - lastProgress < noProgressTimeout) {
        open = false;
        std::size_t sent = 0;
        for (Client& client : clients) {
            if (!client.done)
                sent += sendBlock(client, crowd.begin, block, crowd.bytes);
            open = open || !client.done;
        }
        if (sent > 0)
            lastProgress = SteadyClock::now();
        else
            std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace egrettrestle::testing
