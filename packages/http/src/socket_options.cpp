#include "detail/socket_options.hpp"

#include <limits>

#include <Poco/NumberParser.h>
#include <boost/asio/ip/address_v4.hpp>

namespace egrettrestle::detail {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address)
{
    const std::size_t separator = address.rfind(':');
    unsigned port = 0;
    if (separator == std::string::npos || !Poco::NumberParser::tryParseUnsigned(address.substr(separator + 1), port) || port > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    boost::system::error_code error;
    const boost::asio::ip::address_v4 host = boost::asio::ip::make_address_v4(address.substr(0, separator), error);
    if (error)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(host, static_cast<std::uint16_t>(port));
}

} // namespace egrettrestle::detail
