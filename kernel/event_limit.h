#pragma once

#include <cstdint>

namespace geraniumhinge::kernel {

/// Limits the log lines of an event that another program can cause at any rate:
/// one line per period, with the number of occurrences since the last line.
class EventLimit
{
public:
  explicit EventLimit(std::int64_t period_ms)
    : period_ms(period_ms)
  {
  }

  /// Counts an occurrence. Returns the count to log now, or 0.
  std::uint64_t record(std::int64_t now_ms)
  {
    ++this->occurrences;
    if (this->logged && now_ms - this->logged_ms < this->period_ms)
      return 0;
    this->logged = true;
    this->logged_ms = now_ms;
    std::uint64_t count = this->occurrences;
    this->occurrences = 0;
    return count;
  }

private:
  std::int64_t period_ms;
  std::int64_t logged_ms = 0;
  std::uint64_t occurrences = 0;
  bool logged = false;
};

} // namespace geraniumhinge::kernel
