#pragma once

#include <LibHttp/HttpServer.h>

namespace LibHttp
{

/// A part of the HTTP interface of a daemon.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// Responds to the request and returns true, or returns false without a response when the path belongs to another handler.
    virtual bool handle(HttpExchange &exchange) = 0;
};

} // namespace LibHttp
