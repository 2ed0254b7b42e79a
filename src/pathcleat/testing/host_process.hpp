// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace pathcleat {

/// @brief Addresses and limits of one entry host that runs as a process of its
/// own.
struct HostProcessPlan {
  std::string address;        ///< IP number of all its listeners
  std::uint16_t port = 0;     ///< first of seven ports
  std::string store_address;  ///< "IP:PORT"
  std::uint32_t max_descriptors = 4'100;
  std::uint32_t stop_grace_ms = 6'000;
  /// Its settings are a pipe: the process waits for WriteSettings whenever it
  /// reads them.
  bool settings_from_pipe = false;
  /// Position of the locate listener's port among them.
  int locate_index = 2;
};

/// @brief Memory and file descriptors that a process holds.
struct ProcessUsage {
  /// Resident memory, and bytes that have arrived at its listeners but are not
  /// read yet.
  std::uint64_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

/// @brief One entry host, started as a process of its own. The destructor kills
/// it.
class HostProcess {
 public:
  explicit HostProcess(const HostProcessPlan& plan) : plan_(plan) {
    char folder[] = "/tmp/pathcleat-host-XXXXXX";
    cr_assert(::mkdtemp(folder) != nullptr);
    folder_ = folder;
    if (plan_.settings_from_pipe) {
      cr_assert_eq(::mkfifo((folder_ / "settings.json").c_str(), 0600), 0);
    } else {
      WriteSettings();
    }
    Start();
  }
  ~HostProcess() {
    if (IsAlive()) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  std::uint16_t callers() const { return plan_.port; }
  std::uint16_t readiness() const { return Port(1); }
  std::uint16_t locate() const { return Port(plan_.locate_index); }
  std::uint16_t operators() const { return Port(3); }
  std::uint16_t metrics() const { return Port(4); }
  std::uint16_t peers() const { return Port(5); }
  const std::string& address() const { return plan_.address; }

  bool IsAlive() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ > 0;
  }

  /// @brief Writes the settings. If they are a pipe, waits until the process
  /// has opened it to read.
  /// @param signal sent to the process before it gets the settings; 0: none.
  void WriteSettings(int signal = 0) const {
    const nlohmann::json settings = {
        {"host", "host-a"},
        {"failure_domain", "domain-a"},
        {"region", "region-a"},
        {"failure_domains", {{{"name", "domain-a"}, {"region", "region-a"}}}},
        {"listen",
         {{"callers", Endpoint(0)},
          {"readiness", Endpoint(1)},
          {"locate", Endpoint(plan_.locate_index)},
          {"operators", Endpoint(3)},
          {"metrics", Endpoint(4)}}},
        {"peers", {{"address", plan_.address}, {"port", Port(5)}}},
        {"store", {{"address", plan_.store_address}}},
        {"bounds", {{"stop_grace_ms", plan_.stop_grace_ms}}},
        {"max_descriptors", plan_.max_descriptors}};
    ::signal(SIGPIPE, SIG_IGN);
    std::ofstream file(folder_ / "settings.json");
    Signal(signal);
    file << settings.dump(1);
  }

  void Signal(int signal) const {
    if (pid_ > 0) {
      ::kill(pid_, signal);
    }
  }

  /// @brief Exit code of a process that has ended by itself; -1 otherwise.
  int ExitCode() {
    return !IsAlive() && WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }

  /// @brief How many lines of its log hold a text.
  std::size_t CountLogLines(const std::string& text) const {
    std::ifstream log(folder_ / "log");
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);) {
      count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  /// @brief The present usage. Of a process that has ended: zero.
  ProcessUsage Usage() const {
    return {ResidentBytes("VmRSS:") + UnreadBytes(), DescriptorCount()};
  }

  /// @brief The most resident memory since the start, in bytes.
  std::uint64_t PeakResidentBytes() const { return ResidentBytes("VmHWM:"); }

  /// @brief The last lines of its log, for messages of failed tests.
  std::string LogTail() const {
    std::ifstream log(folder_ / "log");
    std::vector<std::string> lines;
    for (std::string line; std::getline(log, line);) {
      lines.push_back(line);
    }
    constexpr std::size_t kLines = 10;
    std::string tail;
    for (std::size_t i = lines.size() - std::min(kLines, lines.size());
         i < lines.size(); ++i) {
      tail += lines[i] + "\n";
    }
    return tail;
  }

 private:
  std::uint16_t Port(int index) const {
    return static_cast<std::uint16_t>(plan_.port + index);
  }
  std::string Endpoint(int index) const {
    return plan_.address + ":" + std::to_string(Port(index));
  }

  void Start() {
    const std::string settings = (folder_ / "settings.json").string();
    const std::string log = (folder_ / "log").string();
    pid_ = ::fork();
    cr_assert_geq(pid_, 0);
    if (pid_ > 0) {
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(plan_.max_descriptors, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    constexpr unsigned kFirstInherited = 3;
    ::close_range(kFirstInherited, ~0U, 0);
    ::execl(PATHCLEAT_PROGRAM, PATHCLEAT_PROGRAM, "entry", settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }

  std::string ProcFolder() const { return "/proc/" + std::to_string(pid_); }

  std::uint64_t ResidentBytes(const std::string& name) const {
    constexpr std::uint64_t kKilobyte = 1'024;
    std::ifstream status(ProcFolder() + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(name)) {
        return std::stoull(line.substr(name.size())) * kKilobyte;
      }
    }
    return 0;
  }

  // Sums the receive queues of the connections to this host's listeners,
  // accepted or not.
  std::uint64_t UnreadBytes() const {
    in_addr ip{};
    ::inet_pton(AF_INET, plan_.address.c_str(), &ip);
    std::uint64_t unread = 0;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);  // the column titles
    while (std::getline(table, line)) {
      unsigned local_ip = 0;
      unsigned local_port = 0;
      unsigned state = 0;
      unsigned long queued = 0;
      constexpr int kFields = 4;
      constexpr unsigned kListening = 0x0A;
      if (std::sscanf(line.c_str(), " %*d: %8X:%4X %*8X:%*4X %2X %*8X:%8lX",
                      &local_ip, &local_port, &state, &queued) == kFields &&
          local_ip == ip.s_addr && local_port >= plan_.port &&
          local_port <= Port(5) && state != kListening) {
        unread += queued;
      }
    }
    return unread;
  }

  std::size_t DescriptorCount() const {
    std::error_code error;
    const std::filesystem::directory_iterator files(ProcFolder() + "/fd",
                                                    error);
    return error ? 0
                 : static_cast<std::size_t>(std::distance(
                       begin(files), std::filesystem::directory_iterator()));
  }

  HostProcessPlan plan_;
  std::filesystem::path folder_;
  pid_t pid_ = 0;
  int status_ = 0;
};

}  // namespace pathcleat
