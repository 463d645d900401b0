#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace egrettrestle::detail {

/// Size in bytes of the buffer that a connection reads into. Most messages are smaller; it grows for larger ones.
inline constexpr std::size_t readBufferBytes = 4 * 1024;

/// Unacknowledged data breaks a connection after this time, so that one over a cut link does not stay open.
inline constexpr int unacknowledgedDataTimeoutMs = 3'000;

/// Sends small messages at once, and detects cut links. An option that cannot be set is left at its default.
inline void setSocketOptions(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(unacknowledgedDataTimeoutMs), ignored);
}

/// Parses `host:port` with a numeric IPv4 address; nothing if it is malformed.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address);

} // namespace egrettrestle::detail
