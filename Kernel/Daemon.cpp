#include <Kernel/Daemon.h>

#include <csignal>
#include <pthread.h>

namespace Kernel
{

namespace
{

sigset_t shutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockSignals()
{
    sigset_t signals = shutdownSignals();
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

Daemon::Daemon(ServiceRegistry &registry)
    : registry(registry)
{
}

absl::Status Daemon::run(const std::function<void()> &started, const std::function<void()> &stopping)
{
    const auto &services = this->registry.inOrder();
    for (size_t i = 0; i < services.size(); ++i) {
        if (absl::Status status = services[i]->start(); !status.ok()) {
            this->stopFirst(i);
            return absl::Status(status.code(), "service " + std::string(services[i]->name()) + ": " + std::string(status.message()));
        }
    }
    started();
    const sigset_t signals = shutdownSignals();
    int received = 0;
    sigwait(&signals, &received);
    stopping();
    for (size_t i = services.size(); i > 0; --i) {
        services[i - 1]->drain();
    }
    this->stopFirst(services.size());
    return absl::OkStatus();
}

void Daemon::stopFirst(size_t count)
{
    const auto &services = this->registry.inOrder();
    for (size_t i = count; i > 0; --i) {
        services[i - 1]->stop();
    }
}

} // namespace Kernel
