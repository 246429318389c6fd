#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace geraniumhinge::tests {

/// A child process that ends with this process. It must be started from the
/// main thread: the kernel kills the child when the thread that started it
/// ends.
class Process
{
public:
  /// Starts `arguments[0]`; stdout and stderr are appended to `log_path`.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void send(int signal);
  /// Sends SIGKILL and waits until the process has ended.
  void kill();
  void freeze(); ///< Sends SIGSTOP.
  void resume(); ///< Sends SIGCONT.
  bool is_running();
  pid_t id() const { return this->pid; } ///< 0 once the process has ended.
  /// Exit code, or the negative number of the signal that ended the process.
  /// Valid once `is_running` returns false.
  int exit_code() const { return this->code; }

private:
  pid_t pid = 0;
  int code = 0;
};

} // namespace geraniumhinge::tests
