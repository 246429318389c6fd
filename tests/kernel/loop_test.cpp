#define BOOST_TEST_MODULE loop
#include "kernel/task.h"
#include "kernel/timer.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>
#include <vector>

using namespace geraniumhinge::kernel;

// Guards against messages that are lost or reordered when another thread posts
// them, as callbacks of nng do.
BOOST_AUTO_TEST_CASE(posts_from_another_thread_run_in_order)
{
  constexpr int COUNT = 1000;
  Loop loop;
  Task task(loop, "receiver");
  std::vector<int> received;
  std::thread sender([&] {
    for (int i = 0; i < COUNT; i++)
      task.post([&, i] { received.push_back(i); });
    task.post([&] { loop.stop(); });
  });
  loop.run();
  sender.join();

  BOOST_REQUIRE_EQUAL(received.size(), COUNT);
  BOOST_TEST(std::is_sorted(received.begin(), received.end()));
}

// Guards against a message that accesses a task after its destruction.
BOOST_AUTO_TEST_CASE(messages_to_a_destroyed_task_are_dropped)
{
  Loop loop;
  bool ran = false;
  std::unique_ptr<Task> task = std::make_unique<Task>(loop, "short");
  task->post([&] { ran = true; });
  task.reset();
  loop.post([&] { loop.stop(); });
  loop.run();
  BOOST_TEST(!ran);
}

// Guards against a use after free when a timer callback destroys its own
// subscription.
BOOST_AUTO_TEST_CASE(timer_callback_may_destroy_its_subscription)
{
  Loop loop;
  TimerService timers(loop);
  int calls = 0;
  Subscription subscription;
  subscription = timers.every(Milliseconds(1), [&] {
    calls++;
    subscription.reset();
    loop.post([&] { loop.stop(); });
  });
  loop.run();
  BOOST_TEST(calls == 1);
}

// Guards against a timer that fires after its subscription was destroyed.
BOOST_AUTO_TEST_CASE(cancelled_timer_does_not_fire)
{
  Loop loop;
  TimerService timers(loop);
  bool fired = false;
  Subscription cancelled = timers.after(Milliseconds(1), [&] { fired = true; });
  cancelled.reset();
  Subscription end = timers.after(Milliseconds(20), [&] { loop.stop(); });
  loop.run();
  BOOST_TEST(!fired);
}
