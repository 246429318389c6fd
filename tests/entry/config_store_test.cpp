#define BOOST_TEST_MODULE config_store
#include "entry/config_store.h"
#include "entry/config_token.h"
#include "tests/entry/config_fake_table.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::entry;

namespace {

constexpr kernel::Milliseconds POLL{ 1'000 };
using Done = tl::expected<std::uint64_t, gateway::CallError>;

struct Fixture
{
  kernel::Loop loop;
  kernel::TimerService timers{ loop };
  kernel::Log log{ "test", kernel::Severity::Error };
  tests::FakeTable table;
  std::vector<std::unique_ptr<ConfigStore>> stores;

  ConfigStore& new_store()
  {
    stores.push_back(std::make_unique<ConfigStore>(
      loop,
      timers,
      log,
      table,
      POLL,
      std::map<std::string, std::string>{
        { "root", token_digest("operator-token") } }));
    stores.back()->start();
    return *stores.back();
  }

  /// Adds an organisation by a change that is based on version `base`.
  Done add(ConfigStore& store, std::uint64_t base, const std::string& name)
  {
    std::optional<Done> result;
    store.change(
      base,
      [&](v1::Configuration& configuration)
        -> tl::expected<void, gateway::CallError> {
        configuration.add_organisations()->set_name(name);
        return {};
      },
      [&](Done done) { result = std::move(done); });
    return *result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_store, Fixture)

// Guards against two changes based on one version that are both applied, and a
// refusal that does not name the current version.
BOOST_AUTO_TEST_CASE(one_of_two_changes_on_one_version_is_applied)
{
  ConfigStore& first = new_store();
  ConfigStore& second = new_store();
  BOOST_TEST(add(first, 0, "a").value() == 1);
  Done refused = add(second, 0, "b");
  BOOST_REQUIRE(!refused);
  BOOST_TEST(refused.error().detail.kind() == v1::ERROR_KIND_STALE_VERSION);
  BOOST_TEST(refused.error().detail.current_version() == 1);
  BOOST_TEST(second.current().organisations_size() == 1);
  BOOST_TEST(second.current().organisations(0).name() == "a");
  BOOST_TEST(add(second, 1, "b").value() == 2);
}

// Guards against refusing a change whose base version is newer than this
// entry's copy, because the operator read it from another entry.
BOOST_AUTO_TEST_CASE(a_base_newer_than_this_entrys_copy_is_read_first)
{
  ConfigStore& behind = new_store();
  BOOST_TEST(add(new_store(), 0, "a").value() == 1);
  BOOST_TEST(add(behind, 1, "b").value() == 2);
  Done beyond = add(behind, 7, "c");
  BOOST_REQUIRE(!beyond);
  BOOST_TEST(beyond.error().detail.current_version() == 2);
}

// Guards against going back to a lower version when the results of reads arrive
// out of order.
BOOST_AUTO_TEST_CASE(no_lower_version_is_applied)
{
  ConfigStore& writer = new_store();
  BOOST_REQUIRE(add(writer, 0, "a"));
  ConfigStore& reader = new_store();
  std::vector<std::uint64_t> applied;
  reader.on_change([&](const v1::Configuration& configuration) {
    applied.push_back(configuration.version());
  });
  // The result of the read of version 1 arrives after the change to version 3.
  table.hold_reads = true;
  reader.observe_version(2);
  table.hold_reads = false;
  BOOST_REQUIRE(add(writer, 1, "b"));
  BOOST_REQUIRE(add(reader, 2, "c"));
  BOOST_TEST(reader.current().version() == 3);
  std::uint64_t row_version = reader.row_version();
  table.complete(0);
  BOOST_TEST(reader.current().version() == 3);
  BOOST_TEST(reader.row_version() == row_version);
  BOOST_TEST((applied == std::vector<std::uint64_t>{ 2, 3 }));
}

// Guards against missing a version that a peer reports while a read is in
// flight that began before this version was committed.
BOOST_AUTO_TEST_CASE(a_version_reported_during_a_read_is_read)
{
  ConfigStore& reader = new_store();
  table.hold_reads = true;
  reader.observe_version(1);
  table.hold_reads = false;
  BOOST_REQUIRE(add(new_store(), 0, "a"));
  reader.observe_version(1);
  table.complete(0);
  BOOST_TEST(reader.current().version() == 1);
}

// Guards against a lost or damaged row that clears the configuration in force.
BOOST_AUTO_TEST_CASE(a_missing_or_damaged_row_changes_nothing)
{
  ConfigStore& store = new_store();
  BOOST_REQUIRE(add(store, 0, "a"));
  table.rows.clear();
  store.observe_version(9);
  BOOST_TEST(store.current().version() == 1);
  table.rows["config"] = { "config", 99, "\xff" };
  store.observe_version(9);
  BOOST_TEST(store.current().version() == 1);
}

// Guards against the outcome NOT_RUN for a change that may have been made, and
// UNKNOWN for a change that certainly was not.
BOOST_AUTO_TEST_CASE(store_faults_give_the_right_outcome)
{
  ConfigStore& store = new_store();
  table.commit_fault = platform::TableErrorKind::Unavailable;
  BOOST_TEST(add(store, 0, "a").error().detail.outcome() ==
             v1::OUTCOME_NOT_RUN);
  table.commit_fault = platform::TableErrorKind::Ambiguous;
  BOOST_TEST(add(store, 0, "a").error().detail.outcome() ==
             v1::OUTCOME_UNKNOWN);
  BOOST_TEST(store.current().version() == 0);
}

// Guards against changes and authentication by an entry that has not read the
// configuration yet.
BOOST_AUTO_TEST_CASE(a_store_that_has_not_read_the_row_is_not_ready)
{
  table.hold_reads = true;
  ConfigStore& store = new_store();
  BOOST_TEST(!store.loaded());
  BOOST_TEST(add(store, 0, "a").error().detail.kind() ==
             v1::ERROR_KIND_NOT_READY);
  BOOST_TEST(store.authenticate("other-token").error().detail.kind() ==
             v1::ERROR_KIND_NOT_READY);
}

// Guards against a token digest that differs from the documented SHA-256, and
// against missing or unknown tokens that are accepted.
BOOST_AUTO_TEST_CASE(tokens_are_digested_with_sha_256)
{
  BOOST_TEST(
    token_digest("abc") ==
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  ConfigStore& store = new_store();
  BOOST_TEST(store.authenticate("operator-token").value().is_operator);
  BOOST_TEST(store.authenticate("").error().detail.kind() ==
             v1::ERROR_KIND_UNAUTHENTICATED);
  BOOST_TEST(store.authenticate("unknown").error().detail.kind() ==
             v1::ERROR_KIND_UNAUTHENTICATED);
}

BOOST_AUTO_TEST_SUITE_END()
