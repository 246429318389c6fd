#include "entry/adviser.h"

#include "entry/events.h"
#include "kernel/clock.h"

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds RETRY_PAUSE{ 250 };

} // namespace

Adviser::Adviser(kernel::Loop& loop,
                 kernel::TimerService& timers,
                 const kernel::Log& log,
                 kernel::Metrics& metrics,
                 platform::AdviceClient& client,
                 AnswerHook on_answer)
  : Task(loop, "adviser")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , client(client)
  , on_answer(std::move(on_answer))
{
}

void
Adviser::ask(const std::vector<core::AdviceQuestion>& questions)
{
  this->waiting = questions;
  this->next();
}

void
Adviser::next()
{
  if (this->asking || this->waiting.empty() || !this->client.available())
    return;
  core::AdviceQuestion question = this->waiting.front();
  this->waiting.clear(); // The round after the answer asks anew.
  this->asking = true;
  std::int64_t now = kernel::boot_ms();
  this->client.ask(
    question,
    this->guarded(
      [this, question, now](const platform::AdviceClient::Result& result) {
        this->answered(question, now, result);
      }));
}

void
Adviser::answered(const core::AdviceQuestion& question,
                  std::int64_t asked_ms,
                  const platform::AdviceClient::Result& result)
{
  std::int64_t took = kernel::boot_ms() - asked_ms;
  this->metrics.histogram("entry_advice_ms").observe(static_cast<double>(took));
  if (!result) {
    this->metrics.counter("entry_advice_failed_total").add();
    this->log.write(
      ADVICE_FAILED,
      { { "job", question.step.workflow },
        { "step", question.step.step },
        { "error", name_of(platform::ADVICE_ERROR_NAMES, result.error()) },
        { "took_ms", took } });
    this->retry = this->timers.after(RETRY_PAUSE, [this] {
      this->asking = false;
      this->next();
    });
    return;
  }
  this->asking = false;
  this->log.write(ADVICE_GIVEN,
                  { { "job", question.step.workflow },
                    { "step", question.step.step },
                    { "asked", question.servers.size() },
                    { "good", result->size() },
                    { "took_ms", took } });
  this->on_answer(question, *result, asked_ms);
}

} // namespace geraniumhinge::entry
