#include "kernel/clock.h"

#include <ctime>
#include <random>

namespace geraniumhinge::kernel {

namespace {

constexpr std::int64_t US_PER_S = 1'000'000;
constexpr std::int64_t NS_PER_US = 1'000;
constexpr std::int64_t US_PER_MS = 1'000;

std::int64_t
read_us(clockid_t clock)
{
  timespec now{};
  clock_gettime(clock, &now);
  return now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

} // namespace

std::int64_t
boot_us()
{
  return read_us(CLOCK_BOOTTIME);
}

std::int64_t
boot_ms()
{
  return boot_us() / US_PER_MS;
}

std::int64_t
unix_ms()
{
  return read_us(CLOCK_REALTIME) / US_PER_MS;
}

std::int64_t
process_cpu_us()
{
  return read_us(CLOCK_PROCESS_CPUTIME_ID);
}

std::uint64_t
random_id()
{
  static thread_local std::mt19937_64 engine = [] {
    std::random_device device;
    std::seed_seq seed{ device(), device(), device(), device() };
    return std::mt19937_64(seed);
  }();
  std::uint64_t id = 0;
  while (id == 0)
    id = engine();
  return id;
}

} // namespace geraniumhinge::kernel
