#pragma once

#include <cstddef>

#include <Poco/Net/StreamSocket.h>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle::detail {

/// Bytes read at a time, on the stack of each connection's thread: most messages are smaller.
inline constexpr std::size_t readSize = 4 * 1024;

/// What a connection holds for its reader.
enum class SocketInput {
    /// Nothing yet; the connection is open.
    None,
    Bytes,
    /// The other end has closed it, or it is broken.
    End,
};

/// Looks at a connection without waiting and without taking input off it.
SocketInput peekInput(const Poco::Net::StreamSocket& socket);

/// Waits for input or the end of the connection; false if neither came within the time. POCO's own poll makes an epoll
/// instance for each call, four system calls where this takes one.
bool waitForInput(const Poco::Net::StreamSocket& socket, Duration time);

} // namespace egrettrestle::detail
