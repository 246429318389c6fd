#define BOOST_TEST_MODULE request_budget
#include "gateway/request_budget.h"
#include "gateway/request_limits.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

using namespace geraniumhinge::gateway;

namespace {

constexpr std::size_t KIB = 1'024;
constexpr std::size_t LIMIT = 400 * KIB;
constexpr std::int64_t STALL_MS = 500;
constexpr std::int64_t TIMEOUT_MS = 5'000;
constexpr std::size_t MAX_OPEN = 4;

struct Fixture
{
  std::vector<RequestBudget::Id> closed;
  std::map<RefusalCause, int> refused;
  RequestBudget budget{
    RequestLimits{ LIMIT, MAX_OPEN, TIMEOUT_MS, TIMEOUT_MS },
    { [this](RefusalCause cause) { ++refused[cause]; },
      [](std::size_t, std::size_t) {} }
  };

  RequestBudget::Id idle(std::int64_t now_ms)
  {
    // The hook learns the identifier after `open` has returned it.
    std::shared_ptr<RequestBudget::Id> id =
      std::make_shared<RequestBudget::Id>();
    *id =
      budget.open([this, id](RefusalCause) { closed.push_back(*id); }, now_ms);
    return *id;
  }
  RequestBudget::Id headers(std::int64_t now_ms)
  {
    RequestBudget::Id id = idle(now_ms);
    budget.begin(id, now_ms);
    return id;
  }
  RequestBudget::Id body(std::size_t bytes, std::int64_t now_ms)
  {
    RequestBudget::Id id = headers(now_ms);
    budget.complete_headers(id);
    BOOST_TEST(budget.receive(id, bytes, now_ms));
    return id;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_budget, Fixture)

// Guards against a refusal of the request that gets on while others hold memory
// without getting on.
BOOST_AUTO_TEST_CASE(the_longest_stalled_body_is_closed_first)
{
  RequestBudget::Id second = body(100 * KIB, 100);
  RequestBudget::Id first = body(100 * KIB, 50);
  RequestBudget::Id third = body(100 * KIB, 100 + STALL_MS);
  BOOST_TEST(budget.receive(third, 200 * KIB, 100 + STALL_MS));
  BOOST_TEST(closed == std::vector<RequestBudget::Id>{ first },
             boost::test_tools::per_element());
  BOOST_TEST(budget.receive(third, 300 * KIB, 100 + STALL_MS));
  BOOST_TEST(closed.back() == second);
  BOOST_TEST(budget.held_bytes() == 300 * KIB);
}

// Guards against bodies that end each other: if all get on, the oldest ones
// must be able to end.
BOOST_AUTO_TEST_CASE(the_newest_large_body_is_refused)
{
  RequestBudget::Id first = body(140 * KIB, 0);
  RequestBudget::Id second = body(140 * KIB, 1);
  BOOST_TEST(!budget.receive(second, 200 * KIB, 2));
  BOOST_TEST(closed.empty());
  RequestBudget::Id third = body(140 * KIB, 3);
  BOOST_TEST(budget.receive(first, 200 * KIB, 4));
  BOOST_TEST(closed == std::vector<RequestBudget::Id>{ third },
             boost::test_tools::per_element());
  BOOST_TEST(refused[RefusalCause::HeldBytes] == 2);
  BOOST_TEST(budget.held_bytes() == 200 * KIB);
}

// Guards against large bodies that leave nothing to ordinary requests.
BOOST_AUTO_TEST_CASE(small_requests_have_a_part_of_the_budget)
{
  body(300 * KIB, 0);
  RequestBudget::Id small = body(16 * KIB, 1);
  BOOST_TEST(budget.dispatch(small, 16 * KIB, 1));
  BOOST_TEST(closed.empty());
}

// Guards against a request that is closed while its handler may act on it, and
// whose refusal would be untrue.
BOOST_AUTO_TEST_CASE(requests_in_a_handler_are_never_closed)
{
  RequestBudget::Id handled = body(75 * KIB, 0);
  BOOST_TEST(budget.dispatch(handled, 75 * KIB, 0));
  BOOST_TEST(budget.held_bytes() == 300 * KIB);
  RequestBudget::Id late = headers(TIMEOUT_MS);
  BOOST_TEST(!budget.receive(late, 200 * KIB, TIMEOUT_MS));
  budget.enforce(10 * TIMEOUT_MS);
  BOOST_TEST(closed.empty());
}

// Guards against a complete request that reaches its handler although the
// budget can't hold what the handler takes.
BOOST_AUTO_TEST_CASE(a_request_that_does_not_fit_is_not_dispatched)
{
  RequestBudget::Id large = body(200 * KIB, 0);
  BOOST_TEST(!budget.dispatch(large, 200 * KIB, 0));
  BOOST_TEST(budget.held_bytes() == 0U);
  // Its response and its end change no sum.
  budget.respond(large, 10, 0);
  budget.finish(large, 0);
  budget.close(large);
  BOOST_TEST(budget.held_bytes() == 0U);
  BOOST_TEST(budget.connections() == 0U);
}

// Guards against connections without a complete request that lock others out,
// and against a closed one that got on.
BOOST_AUTO_TEST_CASE(the_oldest_slow_headers_make_room)
{
  RequestBudget::Id first = headers(0);
  for (std::size_t count = 1; count < MAX_OPEN; ++count)
    headers(static_cast<std::int64_t>(count));
  BOOST_TEST(!budget.admits_connection(10));
  // Bytes arrive all the time, so no headers are stalled.
  for (RequestBudget::Id id = first; id < first + MAX_OPEN; ++id)
    budget.record_progress(id, STALL_MS);
  BOOST_TEST(budget.admits_connection(STALL_MS));
  BOOST_TEST(closed == std::vector<RequestBudget::Id>{ first },
             boost::test_tools::per_element());
  BOOST_TEST(refused[RefusalCause::Connections] == 2);
}

// Guards against a new connection that costs an ordinary one: a connection that
// was used a moment ago, or whose request is handled.
BOOST_AUTO_TEST_CASE(the_newest_connection_is_refused_if_all_are_in_use)
{
  for (std::size_t count = 0; count < MAX_OPEN; ++count)
    idle(0);
  BOOST_TEST(!budget.admits_connection(1'000));
  BOOST_TEST(budget.admits_connection(5'000));
  BOOST_TEST(closed.size() == 1U);
}

// Guards against a request that takes forever, byte by byte, and a response
// that is never read; idle connections stay.
BOOST_AUTO_TEST_CASE(deadlines)
{
  idle(0);
  RequestBudget::Id slow = body(KIB, 0);
  RequestBudget::Id unread = body(KIB, 0);
  BOOST_TEST(budget.dispatch(unread, KIB, 0));
  budget.respond(unread, KIB, 0);
  budget.record_progress(slow, TIMEOUT_MS - 1);
  budget.record_progress(unread, TIMEOUT_MS - 1);
  budget.enforce(TIMEOUT_MS - 1);
  BOOST_TEST(closed.empty());
  budget.enforce(TIMEOUT_MS);
  BOOST_TEST(closed == std::vector<RequestBudget::Id>{ slow },
             boost::test_tools::per_element());
  budget.enforce(2 * TIMEOUT_MS);
  BOOST_TEST(closed.back() == unread);
  BOOST_TEST(refused[RefusalCause::RequestTimeout] == 1);
  BOOST_TEST(refused[RefusalCause::ResponseTimeout] == 1);
}

// Guards against bytes that the kernel keeps and no sum contains.
BOOST_AUTO_TEST_CASE(queued_bytes_count)
{
  RequestBudget::Id unread = body(KIB, 0);
  BOOST_TEST(budget.dispatch(unread, KIB, 0));
  budget.respond(unread, KIB, 0);
  budget.set_queued(unread, LIMIT);
  budget.enforce(STALL_MS);
  BOOST_TEST(closed.size() == 1U);
  BOOST_TEST(budget.held_bytes() == 0U);
}

// Guards against large responses that exceed the budget together before any of
// them counts as unread.
BOOST_AUTO_TEST_CASE(the_newest_large_response_makes_room)
{
  RequestBudget::Id first = body(KIB, 0);
  RequestBudget::Id second = body(KIB, 0);
  for (RequestBudget::Id id : { first, second }) {
    BOOST_TEST(budget.dispatch(id, KIB, 0));
    budget.respond(id, KIB, 0);
    budget.set_queued(id, LIMIT / 2);
  }
  budget.enforce(1);
  BOOST_TEST(closed == std::vector<RequestBudget::Id>{ second },
             boost::test_tools::per_element());
}

// Guards against a process without limits in its settings that refuses anyone.
BOOST_AUTO_TEST_CASE(without_limits_nothing_is_refused)
{
  RequestBudget unlimited(derive_limits(0, 0, { 0, 0, 5'000, 5'000 }), {});
  BOOST_TEST((unlimited.limits() == RequestLimits{}));
  RequestBudget::Id id = unlimited.open([](RefusalCause) {}, 0);
  unlimited.begin(id, 0);
  BOOST_TEST(unlimited.receive(id, LIMIT * KIB, 0));
  unlimited.enforce(100 * TIMEOUT_MS);
  BOOST_TEST(unlimited.admits_connection(100 * TIMEOUT_MS));
  BOOST_TEST(unlimited.held_bytes() == LIMIT * KIB);
}

// Guards against derived limits that a caller inside them meets: on the
// smallest entry, one body of 1 MiB is handled while several hundred clients
// are connected.
BOOST_AUTO_TEST_CASE(the_smallest_entry_serves_clients_inside_the_limits)
{
  constexpr std::size_t MIB = KIB * KIB;
  RequestLimits limits =
    derive_limits(120 * MIB, 3'075, { 0, 0, TIMEOUT_MS, TIMEOUT_MS });
  BOOST_TEST(limits.held_bytes == 15 * MIB);
  BOOST_TEST(limits.connections == 960U);
  RequestBudget smallest(limits, {});
  for (std::size_t client = 0; client < 500; ++client) {
    RequestBudget::Id id = smallest.open([](RefusalCause) {}, 0);
    smallest.begin(id, 0);
    BOOST_TEST(smallest.receive(id, 2 * KIB, 0));
    BOOST_TEST(smallest.dispatch(id, 2 * KIB, 0));
    BOOST_TEST(smallest.admits_connection(0));
  }
  RequestBudget::Id largest = smallest.open([](RefusalCause) {}, 0);
  smallest.begin(largest, 0);
  BOOST_TEST(smallest.receive(largest, MIB, 0));
  BOOST_TEST(smallest.dispatch(largest, MIB, 0));
}

BOOST_AUTO_TEST_SUITE_END()
