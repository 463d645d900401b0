#include "detail/socket_input.hpp"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

#include <Poco/Net/SocketImpl.h>

namespace egrettrestle::detail {

SocketInput peekInput(const Poco::Net::StreamSocket& socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return SocketInput::Bytes;
    const bool nothingYet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return nothingYet ? SocketInput::None : SocketInput::End;
}

bool waitForInput(const Poco::Net::StreamSocket& socket, Duration time)
{
    pollfd descriptor { socket.impl()->sockfd(), POLLIN, 0 };
    const TimePoint end = SteadyClock::now() + time;
    Milliseconds left = toMilliseconds(time);
    while (true) {
        const int ready = ::poll(&descriptor, 1, static_cast<int>(std::max<std::int64_t>(0, left.count())));
        if (ready >= 0)
            return ready > 0;
        // A failed descriptor counts as readable; the read reports the error.
        if (errno != EINTR)
            return true;
        left = toMilliseconds(end - SteadyClock::now());
    }
}

} // namespace egrettrestle::detail
