#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

const Route* findRoute(const Configuration& configuration, const std::string& host, const std::string& path)
{
    const Route* longest = nullptr;
    for (const Route& route : configuration.routes) {
        const bool matches = route.host == host && path.compare(0, route.prefix.size(), route.prefix) == 0;
        if (matches && (!longest || route.prefix.size() > longest->prefix.size()))
            longest = &route;
    }
    return longest;
}

} // namespace egrettrestle
