#pragma once

#include "kernel/registry.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::entry {

/// Owns the services of the program and registers them by name. Services are
/// destroyed in the reverse order of their creation.
class Services
{
public:
  Services() = default;
  ~Services()
  {
    while (!this->owned.empty())
      this->owned.pop_back();
  }
  Services(const Services&) = delete;
  Services& operator=(const Services&) = delete;

  template<typename Service, typename... Arguments>
  Service& make(const std::string& name, Arguments&&... arguments)
  {
    std::shared_ptr<Service> service(
      new Service{ std::forward<Arguments>(arguments)... });
    this->registry.add(name, *service);
    this->owned.push_back(service);
    return *service;
  }

  template<typename Service>
  Service& get(const std::string& name) const
  {
    return this->registry.get<Service>(name);
  }

private:
  kernel::Registry registry;
  std::vector<std::shared_ptr<void>> owned;
};

} // namespace geraniumhinge::entry
