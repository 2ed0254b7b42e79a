// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The shipped program.

#include <docopt/docopt.h>
#include <signal.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "fleet_feed.hpp"
#include "header_names.hpp"
#include "operator_client.hpp"
#include "pathcleat/gateway/gateway.hpp"
#include "platform_table.hpp"

namespace pathcleat {
namespace {

constexpr const char* kUsage =
    R"(pathcleat: steers traffic from entry hosts to a few fragile upstreams.

Usage:
  pathcleat entry [SETTINGS]
  pathcleat check [SETTINGS]
  pathcleat query [--token-file=FILE] HOST [TEXT]
  pathcleat timeline [--token-file=FILE] HOST...
  pathcleat (-h | --help)
  pathcleat --version

Commands:
  entry     Run one entry host. SIGTERM begins a planned stop.
  check     Say every fault of a settings file; start nothing.
  query     Give a command to a host, or without TEXT read commands from the
            prompt. 'help' lists them.
  timeline  Merge the events of several hosts into one time line.

SETTINGS is a file in JSON with comments; if it is not given, the variable
PATHCLEAT_SETTINGS names it. HOST is a host's operator address, such as
127.1.1.1:9090.

Options:
  --token-file=FILE  File whose first line is the operators' token
                     [default: operator.token].
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings.
)";

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUsage = 2;

using Arguments = std::map<std::string, docopt::value>;

std::string SettingsPath(const Arguments& arguments) {
  const docopt::value& given = arguments.at("SETTINGS");
  if (given) {
    return given.asString();
  }
  const char* named = std::getenv("PATHCLEAT_SETTINGS");
  return named == nullptr ? "" : named;
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

int RunEntry(const std::string& path) {
  const LoadedEntrySettings loaded = LoadEntrySettings(path);
  if (ReportFaults(loaded)) {
    return kWrongUsage;
  }
  signal(SIGPIPE, SIG_IGN);
  InitializeLogging();
  boost::asio::io_context loop(1);
  platform::PlatformOptions options;
  options.address = loaded.settings.store_address;
  platform::PlatformTable table(loop, options);
  platform::FleetFeed feed(loop, options);
  Gateway gateway(loop, loaded.settings, platform::PlatformHeaderNames(), table,
                  feed);
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
        const LoadedEntrySettings changed = LoadEntrySettings(path);
        if (!ReportFaults(changed)) {
          gateway.Reload(changed.settings);
        }
        await_reload();
      }
    });
  };
  await_reload();
  return TryOr(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(gateway.Start());
        loop.run();
        // The logging library joins its threads at a normal end, which took
        // longer than the grace time leaves. Nothing is kept here: all is
        // answered by now, and what lasts is in the store.
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

// "micros.counter" as a pair that sorts by time.
std::pair<std::uint64_t, std::uint64_t> TimeKey(const std::string& line) {
  const auto event = nlohmann::json::parse(line, nullptr, false);
  if (!event.is_object()) {
    return {0, 0};
  }
  const std::string time = event.value("time", "0.0");
  return {std::stoull(time), std::stoull(time.substr(time.find('.') + 1))};
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
                     return TimeKey(a) < TimeKey(b);
                   });
  for (const std::string& line : lines) {
    std::cout << line << "\n";
  }
  return exit_code;
}

int RunClient(const Arguments& arguments) {
  return TryOr(
      [&] {
        return arguments.at("query").asBool() ? RunQuery(arguments)
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
  if (arguments.at("query").asBool() || arguments.at("timeline").asBool()) {
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
