#include <LibSettings/RouteChoice.h>

namespace LibSettings
{

namespace
{

bool routeMatches(const Route &route, const std::string &method, const std::string &path)
{
    return route.method == method && path.starts_with(route.path)
        && (path.size() == route.path.size() || route.path.ends_with('/') || path[route.path.size()] == '/');
}

} // namespace

bool isPlainCallMethod(std::string_view method)
{
    return method == "POST" || method == "GET";
}

bool isAmbiguousPath(const std::string &path)
{
    const std::string terminated = path + "/";
    return path.find("//") != std::string::npos || terminated.find("/../") != std::string::npos || terminated.find("/./") != std::string::npos
        || path.find(';') != std::string::npos;
}

const Route *routeFor(const ServiceSpec &service, const std::string &method, const std::string &path)
{
    const Route *best = nullptr;
    for (const Route &route : service.routes) {
        if (routeMatches(route, method, path) && (best == nullptr || route.path.size() > best->path.size())) {
            best = &route;
        }
    }
    return best;
}

} // namespace LibSettings
