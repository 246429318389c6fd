#define BOOST_TEST_MODULE allocations
#include "entry/allocations.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;

namespace {

constexpr char ZONE[] = "zone-1";
constexpr std::uint32_t ACCELERATORS = 8;

/// A cell of two servers with eight accelerators each.
entry::CellMap
two_servers()
{
  entry::CellMap cells;
  v1::CellRow& row = cells[ZONE].row;
  row.set_zone(ZONE);
  for (const char* name : { "s1", "s2" }) {
    v1::Member& member = *row.add_members();
    member.set_server(name);
    member.set_incarnation(1);
    member.set_accelerators(ACCELERATORS);
    member.set_slots(ACCELERATORS);
    member.set_cores(32);
    member.set_memory_mb(1024);
    member.set_state(v1::SERVER_STATE_READY);
  }
  return cells;
}

/// Organisation `owner` has a guarantee of `count` whole servers.
v1::Configuration
whole_servers(std::uint32_t count)
{
  v1::Configuration configuration;
  v1::Organisation& owner = *configuration.add_organisations();
  owner.set_name("owner");
  v1::Guarantee& guarantee = *owner.add_guarantees();
  guarantee.mutable_shape()->set_members(1);
  guarantee.mutable_shape()->set_accelerators(ACCELERATORS);
  guarantee.mutable_shape()->set_adjacency(v1::ADJACENCY_SERVER);
  guarantee.set_count(count);
  for (std::uint32_t i = 0; i < count; ++i)
    guarantee.add_home_zones(ZONE);
  return configuration;
}

v1::JobRow
job_on(const std::string& server, std::uint64_t accelerators)
{
  v1::JobRow row;
  row.mutable_job()->set_id("job");
  row.mutable_job()->set_organisation("owner");
  row.mutable_job()->mutable_spec()->mutable_shape()->set_members(1);
  v1::MemberPlacement& member = *row.add_members();
  member.set_server(server);
  member.set_zone(ZONE);
  member.set_incarnation(1);
  member.set_accelerators(accelerators);
  return row;
}

} // namespace

// Guards against an entry with outdated rows that commits work which can't be
// preempted on capacity of another organisation's guarantee.
BOOST_AUTO_TEST_CASE(commit_that_breaks_the_witness_is_refused)
{
  entry::CellMap cells = two_servers();
  entry::GuaranteeUse use{ true, 0 };
  v1::JobRow other = job_on("s1", 0x0f);
  other.mutable_job()->set_organisation("other");
  BOOST_TEST(!entry::add_allocations(cells, other, use, whole_servers(2)));
}

// Guards against a cell that accepts no work at all, not even of the
// guarantee's owner, after the loss of a server has broken a guarantee.
BOOST_AUTO_TEST_CASE(cell_with_a_broken_guarantee_still_takes_work)
{
  entry::CellMap cells = two_servers();
  v1::CellRow& row = cells[ZONE].row;
  row.mutable_members(1)->set_state(v1::SERVER_STATE_LOST);
  v1::Configuration configuration = whole_servers(2);
  BOOST_REQUIRE(!entry::witness_holds(row, configuration));

  v1::JobRow preemptible = job_on("s1", 0x0f);
  BOOST_TEST(
    entry::add_allocations(cells, preemptible, { false, 0 }, configuration));
}

// Guards against an allocation without the key of the shape that it consumes:
// when the row is read again, the allocation would be matched to another
// guarantee of the same organisation.
BOOST_AUTO_TEST_CASE(allocation_records_the_consumed_shape)
{
  entry::CellMap cells = two_servers();
  BOOST_REQUIRE(entry::add_allocations(
    cells, job_on("s1", 0xff), { true, 77 }, whole_servers(1)));
  BOOST_TEST(cells[ZONE].row.allocations(0).claim() == 77);
}
