#include "tests/support/organisations.h"

#include "tests/support/wait.h"

namespace geraniumhinge::tests {

namespace {

constexpr kernel::Milliseconds VERSION_LIMIT{ 5'000 };

} // namespace

std::string
caller_token(const std::string& organisation)
{
  return "test-caller-token-of-" + organisation;
}

bool
wait_for_version(const Deployment& deployment,
                 std::size_t entries,
                 std::uint64_t version,
                 kernel::Milliseconds limit)
{
  return wait_until(limit, [&] {
    for (std::size_t i = 0; i < entries; i++) {
      std::optional<v1::GetStatusResponse> status = deployment.status(i);
      if (!status || status->configuration_version() < version)
        return false;
    }
    return true;
  });
}

std::vector<OrganisationCaller>
create_organisations(const Deployment& deployment,
                     std::size_t entries,
                     const std::vector<std::string>& names)
{
  Operator oper(deployment.operator_client());
  std::vector<OrganisationCaller> organisations;
  std::uint64_t version = 0;
  for (const std::string& name : names) {
    std::string token = caller_token(name);
    if (oper.create(name) == 0)
      return {};
    version = oper.assign("caller-" + name, name, token);
    if (version == 0)
      return {};
    organisations.push_back({ name, token, Caller(deployment.client(token)) });
  }
  if (!wait_for_version(deployment, entries, version, VERSION_LIMIT))
    return {};
  return organisations;
}

} // namespace geraniumhinge::tests
