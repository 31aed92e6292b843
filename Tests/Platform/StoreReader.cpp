#include "StoreReader.h"

#include <AK/Text.h>

StoreReader::StoreReader() = default;

void StoreReader::start()
{
    this->feeds.watchStore();
}

bool StoreReader::waitFor(const std::function<bool()> &condition)
{
    const AK::Milliseconds until = this->loop.clock().now() + 5'000;
    while (!condition() && this->loop.clock().now() < until) {
        this->loop.sleep(this->loop.rootScope(), 2);
    }
    return condition();
}

bool StoreReader::hasUpstream(const std::string &id) const
{
    return this->state.upstreams().contains(id);
}

std::string registration(const std::string &state, const std::string &more)
{
    return AK::concat(R"({"service":"s","addr":"10.1.0.2:80","zone":"z","version":"v1","slots":16,"state":")", state, R"(","coldLeftMs":0,"seq":3)", more, "}");
}
