#include <egrettrestle/http/message.hpp>

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>

namespace egrettrestle {

std::string headerValue(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const HttpHeader& header : headers) {
        if (Poco::icompare(header.name, std::string(name)) == 0)
            return header.value;
    }
    return {};
}

std::string queryValue(const HttpRequest& request, std::string_view name)
{
    Poco::URI uri;
    try {
        uri.setRawQuery(request.query);
        for (const auto& parameter : uri.getQueryParameters()) {
            if (parameter.first == name)
                return parameter.second;
        }
    } catch (const Poco::Exception&) {
        // A query that cannot be decoded has no parameters.
    }
    return {};
}

std::string encodeQuery(const std::string& value)
{
    std::string encoded;
    Poco::URI::encode(value, "!?#/'\",;:$&()[]*+=@%", encoded);
    return encoded;
}

} // namespace egrettrestle
