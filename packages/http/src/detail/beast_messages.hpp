#pragma once

#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <egrettrestle/http/message.hpp>

namespace egrettrestle::detail {

/// The bytes of a request for a server at `address`. Bodies are JSON.
std::string serializeRequest(const HttpRequest& request, const std::string& address);

/// The bytes of a response.
std::string serializeResponse(const HttpResponse& response, bool keepAlive);

HttpResponse toResponse(boost::beast::http::response<boost::beast::http::string_body> message);

HttpRequest toRequest(boost::beast::http::request<boost::beast::http::string_body> message);

} // namespace egrettrestle::detail
