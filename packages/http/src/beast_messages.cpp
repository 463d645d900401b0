#include "detail/beast_messages.hpp"

#include <boost/beast/http/status.hpp>

namespace egrettrestle::detail {

namespace {

    namespace beast = boost::beast;

    std::string toString(beast::string_view text) { return { text.data(), text.size() }; }

    void appendHeader(std::string& text, const std::string& name, const std::string& value)
    {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }

    template <typename Fields>
    std::vector<HttpHeader> headersOf(const Fields& fields)
    {
        std::vector<HttpHeader> headers;
        for (const auto& field : fields)
            headers.push_back({ toString(field.name_string()), toString(field.value()) });
        return headers;
    }

}

std::string serializeRequest(const HttpRequest& request, const std::string& address)
{
    constexpr std::size_t typicalHeaderBytes = 256;
    std::string text;
    text.reserve(typicalHeaderBytes + request.body.size());
    text += request.method;
    text += ' ';
    text += request.path;
    if (!request.query.empty()) {
        text += '?';
        text += request.query;
    }
    text += " HTTP/1.1\r\n";
    if (headerValue(request.headers, "Host").empty())
        appendHeader(text, "Host", address);
    for (const HttpHeader& header : request.headers)
        appendHeader(text, header.name, header.value);
    if (!request.body.empty() || request.method != "GET") {
        appendHeader(text, "Content-Type", "application/json");
        appendHeader(text, "Content-Length", std::to_string(request.body.size()));
    }
    text += "\r\n";
    text += request.body;
    return text;
}

std::string serializeResponse(const HttpResponse& response, bool keepAlive)
{
    constexpr std::size_t typicalHeaderBytes = 192;
    std::string text;
    text.reserve(typicalHeaderBytes + response.body.size());
    text += "HTTP/1.1 ";
    text += std::to_string(response.status);
    text += ' ';
    text += toString(beast::http::obsolete_reason(beast::http::int_to_status(static_cast<unsigned>(response.status))));
    text += "\r\n";
    appendHeader(text, "Content-Type", response.contentType);
    for (const HttpHeader& header : response.headers)
        appendHeader(text, header.name, header.value);
    appendHeader(text, "Content-Length", std::to_string(response.body.size()));
    if (!keepAlive)
        appendHeader(text, "Connection", "close");
    text += "\r\n";
    text += response.body;
    return text;
}

HttpResponse toResponse(beast::http::response<beast::http::string_body> message)
{
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    response.contentType = toString(message[beast::http::field::content_type]);
    response.headers = headersOf(message.base());
    response.body = std::move(message.body());
    return response;
}

HttpRequest toRequest(beast::http::request<beast::http::string_body> message)
{
    HttpRequest request;
    request.method = toString(message.method_string());
    const std::string target = toString(message.target());
    const std::size_t queryStart = target.find('?');
    request.path = target.substr(0, queryStart);
    request.query = queryStart == std::string::npos ? std::string() : target.substr(queryStart + 1);
    request.headers = headersOf(message.base());
    request.body = std::move(message.body());
    return request;
}

} // namespace egrettrestle::detail
