#include <Kernel/ServiceRegistry.h>

#include <AK/Text.h>

namespace Kernel
{

absl::Status ServiceRegistry::add(std::unique_ptr<Service> service)
{
    const auto [position, inserted] = this->byName.emplace(std::string(service->name()), service.get());
    if (!inserted) {
        return absl::AlreadyExistsError(AK::concat("service \"", position->first, "\" is registered twice"));
    }
    this->services.push_back(std::move(service));
    return absl::OkStatus();
}

const std::vector<std::unique_ptr<Service>> &ServiceRegistry::inOrder() const
{
    return this->services;
}

} // namespace Kernel
