#pragma once

#include <Harness/Site.h>
#include <LibHttp/HttpMessage.h>
#include <string>
#include <vector>

/// The requests and answers of one session with addresses, ids, times and digests replaced by stable names.
class Transcript
{
public:
    explicit Transcript(Harness::Site &site);

    /// Sends a request as `who` and records both sides. Headers outside a fixed list are left out. Returns the answer.
    LibHttp::HttpResponse call(const std::string &who, const AK::Endpoint &target, const LibHttp::HttpRequest &request);

    /// Runs the operator's command and records arguments, exit status, output and errors.
    int command(const std::vector<std::string> &arguments);

    /// Records a line that tells what the session does.
    void note(const std::string &text);

    /// The session so far, normalized.
    std::string text() const;

private:
    void recordHeaders(const LibHttp::HttpHeaders &headers);

    Harness::Site &site;
    std::string raw;
};

/// Compares with the golden file, or writes it when CATKINLINK_UPDATE_GOLDEN is set. Empty when equal, otherwise the first different line.
std::string compareWithGolden(const std::string &name, const std::string &text);
