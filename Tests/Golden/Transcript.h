#pragma once

#include <Harness/Site.h>
#include <LibHttp/HttpMessage.h>
#include <string>
#include <vector>

/// Records the requests, responses and commands of one session. Addresses, ids, times and digests are replaced by stable names.
class Transcript
{
public:
    explicit Transcript(Harness::Site &site);

    /// Sends a request and records it and the response under the name `who`, with the headers of a fixed list only. Returns the response; its status is 0 when
    /// none was received completely.
    LibHttp::HttpResponse call(const std::string &who, const AK::Endpoint &target, const LibHttp::HttpRequest &request);

    /// Runs the operator's command and records its arguments, exit status, output and errors. Returns the exit status.
    int command(const std::vector<std::string> &arguments);

    /// Records a line that describes the next part of the session.
    void note(const std::string &text);

    /// Everything recorded so far, normalized.
    std::string text() const;

private:
    void recordHeaders(const LibHttp::HttpHeaders &headers);

    Harness::Site &site;
    std::string recorded;
};

/// Compares the text with the golden file, or writes the file when CATKINLINK_UPDATE_GOLDEN is set. Returns an empty text when they are equal, otherwise the
/// first line that differs.
std::string compareWithGolden(const std::string &name, const std::string &text);
