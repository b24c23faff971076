/// \file
/// Starts the project's programs and ends just these.

#ifndef TAMARACKDRUM_CHILD_PROCESS_H
#define TAMARACKDRUM_CHILD_PROCESS_H

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace tamarackdrum {

/// One child process, killed at the end of its life.
class Child {
public:
  Child(std::vector<std::string> Words, const std::string &LogFile) {
    std::vector<char *> Pointers;
    for (std::string &Word : Words)
      Pointers.push_back(Word.data());
    Pointers.push_back(nullptr);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&Actions, 1, 2);
    // Sockets of this process would stay open in the child after their close
    // here.
    posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
    if (::posix_spawn(&m_pid, Pointers[0], &Actions, nullptr, Pointers.data(),
                      environ) != 0)
      m_pid = -1;
    posix_spawn_file_actions_destroy(&Actions);
  }
  Child(Child &&Other) noexcept : m_pid(std::exchange(Other.m_pid, -1)) {}
  Child &operator=(Child &&Other) noexcept {
    std::swap(m_pid, Other.m_pid);
    return *this;
  }
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;
  ~Child() { kill(); }

  void signal(int Number) const {
    if (m_pid > 0)
      ::kill(m_pid, Number);
  }

  void kill() {
    signal(SIGKILL);
    wait();
  }

  /// Returns the exit code, or minus the signal that ended the process.
  int wait() {
    if (m_pid <= 0)
      return 0;
    int Status = 0;
    ::waitpid(m_pid, &Status, 0);
    m_pid = -1;
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  }

  /// Returns whether the process has ended, without waiting for it.
  bool hasEnded() {
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
      m_pid = -1;
    return m_pid <= 0;
  }

private:
  pid_t m_pid = -1;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_CHILD_PROCESS_H
