#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <typeindex>

namespace geraniumhinge::kernel {

/// A service is missing, has another type or was registered twice. This is a
/// programming error that shows when the process starts.
class RegistryError : public std::logic_error
{
public:
  using std::logic_error::logic_error;
};

/// Services by name. `main` registers each service and resolves each name once,
/// to pass typed references to constructors. There are no later look-ups.
class Registry
{
public:
  template<typename Service>
  void add(const std::string& name, Service& service)
  {
    Entry entry{ std::type_index(typeid(Service)), &service };
    if (!this->services.emplace(name, entry).second)
      throw RegistryError("a service is already registered under the name " +
                          name);
  }

  template<typename Service>
  Service& get(const std::string& name) const
  {
    std::map<std::string, Entry>::const_iterator found =
      this->services.find(name);
    if (found == this->services.end())
      throw RegistryError("no service is registered under the name " + name);
    if (found->second.type != std::type_index(typeid(Service)))
      throw RegistryError("requested type differs from the type of service " +
                          name);
    return *static_cast<Service*>(found->second.service);
  }

private:
  struct Entry
  {
    std::type_index type;
    void* service;
  };
  std::map<std::string, Entry> services;
};

} // namespace geraniumhinge::kernel
