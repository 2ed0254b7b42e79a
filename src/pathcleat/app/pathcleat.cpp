// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The program pathcleat: entry host and operators' command line.

#include <docopt/docopt.h>
#include <log4cplus/initializer.h>
#include <malloc.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "fleet_feed.hpp"
#include "header_names.hpp"
#include "log_files.hpp"
#include "operator_client.hpp"
#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/core/log_writer.hpp"
#include "pathcleat/core/run_loop.hpp"
#include "pathcleat/gateway/gateway.hpp"
#include "pathcleat/query/request_diagnosis.hpp"
#include "platform_table.hpp"
#include "rollout_status_table.hpp"

namespace pathcleat {
namespace {

constexpr const char* kUsage =
    R"(pathcleat: steers traffic from entry hosts to a few fragile upstreams.

Usage:
  pathcleat entry [SETTINGS]
  pathcleat check [SETTINGS]
  pathcleat query [--token-file=FILE] HOST [TEXT]
  pathcleat timeline [--token-file=FILE] HOST...
  pathcleat timeline --logs [FILE...]
  pathcleat why ID [FILE...]
  pathcleat (-h | --help)
  pathcleat --version

Commands:
  entry     Run one entry host. SIGTERM begins a planned stop.
  check     Say every fault of a settings file; start nothing.
  query     Give a command to a host, or without TEXT read commands from the
            prompt. 'help' lists them.
  timeline  Merge the events of several hosts, or of their logs, into one time
            line.
  why       Tell from the hosts' logs what befell a request, and the cause.

FILE is a host's log or several of them in one, plain or compressed by gzip; if
none is given, standard input is read.

SETTINGS is a file in JSON with comments; if it is not given, the variable
PATHCLEAT_SETTINGS names it. HOST is a host's operator address, such as
127.1.1.1:9090.

Options:
  --logs             Read logs in place of asking hosts.
  --token-file=FILE  File whose first line is the operators' token
                     [default: operator.token].
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings.
)";

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUsage = 2;
// Maximum size of the log lines that are queued while the reader of standard
// output is slow.
constexpr std::size_t kMaxQueuedLogBytes = 256UL * 1024;

using Arguments = std::map<std::string, docopt::value>;

std::string SettingsPath(const Arguments& arguments) {
  const docopt::value& argument = arguments.at("SETTINGS");
  if (argument) {
    return argument.asString();
  }
  const char* variable = std::getenv("PATHCLEAT_SETTINGS");
  return variable == nullptr ? "" : variable;
}

bool ReportFaults(const LoadedEntrySettings& loaded) {
  for (const SettingsFault& fault : loaded.faults) {
    std::cerr << ToString(fault) << "\n";
  }
  return !loaded.faults.empty();
}

int RunCheck(const std::string& path) {
  if (ReportFaults(LoadEntrySettings(path))) {
    return kWrongUsage;
  }
  std::cout << path << ": no fault\n";
  return kDone;
}

EventFields DroppedFields(const LogCounts& dropped) {
  const auto count = [&dropped](LogClass log_class) {
    return dropped.at(static_cast<std::size_t>(log_class));
  };
  return {IntegerField(field::kDroppedRequests, count(LogClass::kRequest)),
          IntegerField(field::kDroppedFailures, count(LogClass::kFailure)),
          IntegerField(field::kDroppedStates, count(LogClass::kState))};
}

// Large blocks are mapped by themselves, so that they grow without copies and
// go back to the machine when they are freed. By default the C library raises
// these thresholds with each large block that is freed.
void SetAllocationThresholds() {
  constexpr int kMinMappedBytes = 256 * 1024;
  constexpr int kMaxFreeHeapBytes = 2 * 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeHeapBytes);
}

// Blocks the signals of a host, or lets them through: those that came meanwhile
// are delivered then. Threads that are started meanwhile never get them.
void BlockSignals(bool blocked) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  sigprocmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

int RunEntry(const std::string& path) {
  // Without a handler they would end the process.
  BlockSignals(true);
  SetAllocationThresholds();
  const LoadedEntrySettings loaded = LoadEntrySettings(path);
  if (ReportFaults(loaded)) {
    return kWrongUsage;
  }
  signal(SIGPIPE, SIG_IGN);
  log4cplus::Initializer logging;
  boost::asio::io_context loop(1);
  LogWriter log(loop, STDOUT_FILENO, kMaxQueuedLogBytes);
  log.Attach();
  StoreCallStats store_calls;
  platform::PlatformOptions options;
  options.address = loaded.settings.store_address;
  options.stats = &store_calls;
  platform::PlatformTable table(loop, options);
  KeyedHasher digester;
  platform::FleetFeed feed(loop, options, digester);
  platform::RolloutStatusTable rollouts(loop, options);
  Gateway gateway(loop, loaded.settings, platform::PlatformHeaderNames(), table,
                  feed, rollouts, digester);
  gateway.SetProcessStats({[&log] { return log.dropped(); }, &store_calls});
  log.OnDropped([&gateway](const LogCounts& dropped) {
    gateway.state().events.Record(EventCode::kLogDropped, "log", "",
                                  DroppedFields(dropped));
  });
  boost::asio::signal_set stop_signals(loop, SIGTERM, SIGINT);
  stop_signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) {
      gateway.Stop([&loop] { loop.stop(); });
    }
  });
  boost::asio::signal_set reload_signals(loop, SIGHUP);
  std::function<void()> await_reload = [&] {
    reload_signals.async_wait([&](const boost::system::error_code& error, int) {
      if (!error) {
        gateway.state().failures.Run(EntryPoint::kReload, path, [&] {
          const LoadedEntrySettings changed = LoadEntrySettings(path);
          if (!ReportFaults(changed)) {
            gateway.Reload(changed.settings);
          }
        });
        await_reload();
      }
    });
  };
  await_reload();
  BlockSignals(false);
  return TryOr(
      [&]() -> Result<int> {
        std::optional<Error> start_failure;
        BOOST_LEAF_CHECK(gateway.Start([&](const Error& error) {
          start_failure = error;
          loop.stop();
        }));
        RunLoop(loop, gateway.state().failures);
        if (start_failure) {
          return Fail(*start_failure);
        }
        // A normal exit would join the threads of the logging library, which
        // takes longer than the rest of the grace period. Exiting without
        // destructors loses nothing: all requests have been answered, and
        // persistent state is in the store.
        log.Flush();
        std::cerr.flush();
        std::_Exit(kDone);
      },
      [](const Error& error) {
        std::cerr << ToString(error) << "\n";
        return kFailed;
      });
}

Result<std::string> ReadToken(const std::string& path) {
  std::ifstream stream(path);
  std::string token;
  if (!std::getline(stream, token) || token.empty()) {
    return Fail({ErrorCode::kInvalid, "read token", path,
                 "expected a file whose first line is the operators' token"});
  }
  return token;
}

Result<int> RunPrompt(const OperatorEndpoint& host, const std::string& token) {
  std::string line;
  while (std::cout << "pathcleat> " << std::flush &&
         std::getline(std::cin, line)) {
    if (line == "quit" || line == "exit") {
      break;
    }
    if (line.empty()) {
      continue;
    }
    std::cout << TryOr([&] { return SendCommand(host, token, line); },
                       [](const Error& error) { return error.detail; });
  }
  return kDone;
}

Result<int> RunQuery(const Arguments& arguments) {
  const auto hosts = arguments.at("HOST").asStringList();
  BOOST_LEAF_AUTO(host, ParseEndpoint(hosts.front()));
  BOOST_LEAF_AUTO(token, ReadToken(arguments.at("--token-file").asString()));
  if (!arguments.at("TEXT")) {
    return RunPrompt(host, token);
  }
  BOOST_LEAF_AUTO(answer,
                  SendCommand(host, token, arguments.at("TEXT").asString()));
  std::cout << answer;
  return kDone;
}

// The time of an event; 0 if the line has none.
HybridTime TimeOf(const std::string& line) {
  const auto event = nlohmann::json::parse(line, nullptr, false);
  if (!event.is_object()) {
    return {};
  }
  const auto time = event.find("time");
  if (time == event.end() || !time->is_string()) {
    return {};
  }
  return ParseHybridTime(time->get<std::string>());
}

Result<int> RunTimeline(const Arguments& arguments) {
  BOOST_LEAF_AUTO(token, ReadToken(arguments.at("--token-file").asString()));
  std::vector<std::string> lines;
  int exit_code = kDone;
  for (const std::string& name : arguments.at("HOST").asStringList()) {
    const std::string events = TryOr(
        [&]() -> Result<std::string> {
          BOOST_LEAF_AUTO(host, ParseEndpoint(name));
          return FetchTimeline(host, token);
        },
        [&](const Error& error) {
          std::cerr << ToString(error) << "\n";
          exit_code = kFailed;
          return std::string();
        });
    std::istringstream stream(events);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(line);
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const std::string& a, const std::string& b) {
                     return TimeOf(a) < TimeOf(b);
                   });
  for (const std::string& line : lines) {
    std::cout << line << "\n";
  }
  return exit_code;
}

Result<int> RunLogTimeline(const Arguments& arguments) {
  BOOST_LEAF_AUTO(log, ReadLogFiles(arguments.at("FILE").asStringList()));
  for (const LogLine& line : log.lines) {
    std::cout << line.text << "\n";
  }
  return kDone;
}

Result<int> RunWhy(const Arguments& arguments) {
  const std::string id = arguments.at("ID").asString();
  BOOST_LEAF_AUTO(log, ReadLogFiles(arguments.at("FILE").asStringList()));
  const RequestDiagnosis diagnosis = DiagnoseRequest(log, id);
  std::cout << ToText(diagnosis, id);
  return diagnosis.lines.empty() ? kFailed : kDone;
}

bool IsSelected(const Arguments& arguments, const char* command) {
  return arguments.at(command).asBool();
}

int RunClient(const Arguments& arguments) {
  return TryOr(
      [&]() -> Result<int> {
        if (IsSelected(arguments, "query")) {
          return RunQuery(arguments);
        }
        if (IsSelected(arguments, "why")) {
          return RunWhy(arguments);
        }
        return IsSelected(arguments, "--logs") ? RunLogTimeline(arguments)
                                               : RunTimeline(arguments);
      },
      [](const Error& error) {
        std::cerr << ToString(error) << "\n";
        return error.code == ErrorCode::kInvalid ? kWrongUsage : kFailed;
      });
}

Arguments ParseArguments(int argc, char** argv) {
  try {
    return docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    std::exit(kDone);
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "pathcleat " PATHCLEAT_VERSION "\n";
    std::exit(kDone);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << kUsage;
    std::exit(kWrongUsage);
  }
}

int Main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  if (IsSelected(arguments, "query") || IsSelected(arguments, "timeline") ||
      IsSelected(arguments, "why")) {
    return RunClient(arguments);
  }
  const std::string path = SettingsPath(arguments);
  return arguments.at("check").asBool() ? RunCheck(path) : RunEntry(path);
}

}  // namespace
}  // namespace pathcleat

int main(int argc, char** argv) {
  return pathcleat::Main(argc, argv);
}
