#pragma once

#include <Kernel/Service.h>
#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Kernel
{

/// Owns the services of a daemon in the order of registration. Filled before the daemon starts; read-only afterwards.
class ServiceRegistry
{
public:
    /// Errors: kAlreadyExists when the name is taken.
    absl::Status add(std::unique_ptr<Service> service);

    /// The service with the given name and type, or nullptr.
    template <typename Type>
    Type *find(std::string_view name) const
    {
        const auto found = this->byName.find(name);
        return found == this->byName.end() ? nullptr : dynamic_cast<Type *>(found->second);
    }

    const std::vector<std::unique_ptr<Service>> &inOrder() const;

private:
    std::vector<std::unique_ptr<Service>> services;
    std::map<std::string, Service *, std::less<>> byName;
};

} // namespace Kernel
