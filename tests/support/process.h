#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace geraniumhinge::tests {

/// A child process that ends with this one. Start it from the main thread: the
/// kernel ends the child when the thread that started it ends.
class Process
{
public:
  /// Starts `arguments[0]`; both outputs go to the end of `log_path`.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void send(int signal);
  /// Ends it with SIGKILL and waits for its end.
  void kill();
  void freeze();
  void resume();
  bool is_running();
  /// Exit code, or minus the signal; meaningful once it is not running.
  int exit_code() const { return this->code; }

private:
  pid_t pid = 0;
  int code = 0;
};

} // namespace geraniumhinge::tests
