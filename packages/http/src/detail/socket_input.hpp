#pragma once

#include <cstddef>

#include <Poco/Net/StreamSocket.h>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle::detail {

/// Size in bytes of the read buffer on the stack of each connection's thread. Most messages are smaller.
inline constexpr std::size_t readSize = 4 * 1024;

/// The state of a connection's input.
enum class SocketInput {
    /// No input yet; the connection is open.
    None,
    Bytes,
    /// The peer has closed the connection, or it is broken.
    End,
};

/// Checks the input of a connection without blocking and without consuming it.
SocketInput peekInput(const Poco::Net::StreamSocket& socket);

/// Waits for input or the end of the connection; returns false on time-out. Replaces POCO's poll, which creates an
/// epoll instance for each call and so takes four system calls instead of one.
bool waitForInput(const Poco::Net::StreamSocket& socket, Duration time);

} // namespace egrettrestle::detail
