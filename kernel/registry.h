#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <typeindex>

namespace geraniumhinge::kernel {

/// A service that was looked up is missing or has another type. This is a
/// wiring fault of the program, found at its start.
class RegistryError : public std::logic_error
{
public:
  using std::logic_error::logic_error;
};

/// Services by name. `main` registers each service, and resolves names once to
/// hand typed references to constructors; nothing looks a service up later.
class Registry
{
public:
  template<typename Service>
  void add(const std::string& name, Service& service)
  {
    Entry entry{ std::type_index(typeid(Service)), &service };
    if (!this->services.emplace(name, entry).second)
      throw RegistryError("service registered twice: " + name);
  }

  template<typename Service>
  Service& get(const std::string& name) const
  {
    std::map<std::string, Entry>::const_iterator found =
      this->services.find(name);
    if (found == this->services.end())
      throw RegistryError("no such service: " + name);
    if (found->second.type != std::type_index(typeid(Service)))
      throw RegistryError("service has another type: " + name);
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
