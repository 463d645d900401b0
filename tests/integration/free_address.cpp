#include "free_address.hpp"

#include <atomic>
#include <filesystem>
#include <mutex>
#include <stdexcept>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include "process.hpp"

namespace egrettrestle::testing {

namespace {

    constexpr int portsPerBlock = 1'000;

    /// Reserves a block of ports for this process with a file lock, so that concurrent test programs never use the same
    /// port. The blocks lie below the range of ephemeral ports. The lock is released when the process ends.
    int lockPortBlock()
    {
        constexpr int lowest = 10'000;
        constexpr int blocks = 22;
        for (int block = 0; block < blocks; ++block) {
            const std::filesystem::path path = std::filesystem::temp_directory_path() / ("egrettrestle-ports-" + std::to_string(block));
            const int file = open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
            if (file >= 0 && flock(file, LOCK_EX | LOCK_NB) == 0)
                return lowest + block * portsPerBlock;
            close(file);
        }
        throw std::runtime_error("all blocks of test ports are taken");
    }

}

std::string freeAddress()
{
    static std::atomic<int> next { 0 };
    static const int lowest = lockPortBlock();
    // A child process that inherited the probing socket would keep the port in use.
    const std::lock_guard<std::mutex> lock(forkMutex());
    while (true) {
        const std::string address = "127.0.0.1:" + std::to_string(lowest + next++ % portsPerBlock);
        try {
            const Poco::Net::ServerSocket socket { Poco::Net::SocketAddress(address) };
            return address;
        } catch (const Poco::Exception&) {
            continue;
        }
    }
}

} // namespace egrettrestle::testing
