#include "tests/support/process.h"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace geraniumhinge::tests {

namespace {

constexpr int LOG_MODE = 0644;
constexpr int EXEC_FAILED = 127;

int
code_of(int status)
{
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

[[noreturn]] void
run_child(char* const* arguments, int log, pid_t parent)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have ended before prctl took effect.
  if (getppid() != parent)
    _exit(EXEC_FAILED);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(arguments[0], arguments);
  _exit(EXEC_FAILED);
}

} // namespace

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log_path)
{
  std::vector<char*> raw;
  raw.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments)
    raw.push_back(const_cast<char*>(argument.c_str()));
  raw.push_back(nullptr);
  int log =
    open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE);
  pid_t parent = getpid();
  this->pid = fork();
  if (this->pid < 0)
    throw std::runtime_error("fork failed");
  if (this->pid == 0)
    run_child(raw.data(), log, parent);
  close(log);
}

Process::~Process()
{
  this->kill();
}

void
Process::send(int signal)
{
  if (this->is_running())
    ::kill(this->pid, signal);
}

void
Process::kill()
{
  if (!this->is_running())
    return;
  ::kill(this->pid, SIGKILL);
  int status = 0;
  waitpid(this->pid, &status, 0);
  this->code = code_of(status);
  this->pid = 0;
}

void
Process::freeze()
{
  this->send(SIGSTOP);
}

void
Process::resume()
{
  this->send(SIGCONT);
}

bool
Process::is_running()
{
  if (this->pid == 0)
    return false;
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) != this->pid)
    return true;
  this->code = code_of(status);
  this->pid = 0;
  return false;
}

} // namespace geraniumhinge::tests
