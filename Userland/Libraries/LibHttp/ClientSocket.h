#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <memory>
#include <string_view>

namespace LibHttp
{

/// A TCP connection to a server. Each wait ends at a deadline, which is a time of AK::SystemClock::now().
class ClientSocket
{
public:
    /// Errors: kUnavailable when the server does not accept, kDeadlineExceeded.
    static absl::StatusOr<std::unique_ptr<ClientSocket>> connect(const AK::Endpoint &target, AK::Milliseconds deadline);

    ~ClientSocket();
    ClientSocket(const ClientSocket &) = delete;
    ClientSocket &operator=(const ClientSocket &) = delete;

    /// Sends the whole text. Errors: kUnavailable when the connection broke, kDeadlineExceeded.
    absl::Status write(std::string_view text, AK::Milliseconds deadline);

    /// Waits for bytes and copies at most `size` of them. Returns 0 at the end of the connection.
    /// Errors: kUnavailable when the connection broke, kDeadlineExceeded.
    absl::StatusOr<size_t> read(char *buffer, size_t size, AK::Milliseconds deadline);

    /// Waits until there are bytes to read or the connection has ended. Errors: as read().
    absl::Status waitReadable(AK::Milliseconds deadline);

    /// Makes read() fail with kCancelled as soon as it has received something. May be called from any thread.
    void cancel();

private:
    explicit ClientSocket(int socket);

    int socket;
    std::atomic<bool> cancelled{false};
};

} // namespace LibHttp
