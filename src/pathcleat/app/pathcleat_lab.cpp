// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The program pathcleat-lab, for development only and never shipped: stand-ins
// for upstreams and for the platform's store, a load generator, measurements.

#include <docopt/docopt.h>
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>

#include "header_names.hpp"
#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/lab/backoff_model.hpp"
#include "pathcleat/lab/broken_upstream.hpp"
#include "pathcleat/lab/caller_retry_model.hpp"
#include "pathcleat/lab/cost_curve.hpp"
#include "pathcleat/lab/deployment_config.hpp"
#include "pathcleat/lab/limit_cases.hpp"
#include "pathcleat/lab/load_audit.hpp"
#include "pathcleat/lab/load_generator.hpp"
#include "pathcleat/lab/quota_model.hpp"
#include "pathcleat/lab/routing_model.hpp"
#include "pathcleat/lab/upstream_farm.hpp"
#include "pathcleat/lab/watch_model.hpp"
#include "pathcleat/records/fleet_secrets.hpp"
#include "pathcleat/settings/load_deployment.hpp"
#include "platform_stand_in.hpp"
#include "platform_table.hpp"

namespace pathcleat {
namespace {

constexpr const char* kUsage =
    R"(pathcleat-lab: stand-ins, load and measurements for pathcleat.

Usage:
  pathcleat-lab upstreams DEPLOYMENT --control=PORT [--service-ms=N]
  pathcleat-lab broken ADDRESS [--seed=N]
  pathcleat-lab platform DEPLOYMENT
  pathcleat-lab load DEPLOYMENT --control=PORT [--service=NAME] [--rate=N]
                [--seconds=N] [--seed=N]
  pathcleat-lab settings DEPLOYMENT FOLDER
  pathcleat-lab token DEPLOYMENT
  pathcleat-lab measure [--seeds=N]
  pathcleat-lab uneven [--seeds=N]
  pathcleat-lab returns [--seeds=N]
  pathcleat-lab quotas [--seeds=N]
  pathcleat-lab limits [--seeds=N]
  pathcleat-lab backoffs [--seeds=N]
  pathcleat-lab watches [--seeds=N]
  pathcleat-lab slopes
  pathcleat-lab (-h | --help)

Commands:
  upstreams  Run a stand-in for each upstream of the deployment.
  broken     Run a stand-in for an upstream in trouble at ADDRESS (IP:PORT):
             each of its answers is broken in a way drawn by the seed.
  platform   Run a stand-in for the platform's store, with the deployment's
             configuration and upstreams in it. SIGUSR1: it falls silent, or
             answers again; SIGUSR2: it gets the next configuration.
  load       Send requests, then audit the promises.
  settings   Write the settings file of each entry host into the folder.
  token      Print the operators' token that lies in the store.
  measure    Compare routing policies in the model.
  uneven     Compare routing policies in the model of a fleet whose regions
             differ in upstreams.
  returns    What becomes of requests that are told to come back, in the model.
  quotas     How well ways to share an account's limit keep it, in the model.
  limits     How well ways to keep limits that upstreams name do, in the model.
  backoffs   What becomes of requests while upstreams reject and ask for time
             without requests, in the model.
  watches    How soon hosts hear of changes after silences of the store, and
             what it costs, in the model.
  slopes     Measure what the capacity page is reckoned from.

Options:
  --control=PORT   Port of the upstreams' ledger, on 127.0.0.1.
  --service-ms=N   Mean service time of the stand-ins [default: 20].
  --service=NAME   Send to this service only.
  --rate=N         Requests a second [default: 100].
  --seconds=N      Length of the load [default: 10].
  --seed=N         Seed of the arrivals or answers [default: 1].
  --seeds=N        Seeds of the model, from 1 up [default: 5].
  -h --help        Show this text.

Exit codes: 0 done, 1 failed or a promise was broken, 2 wrong usage.
)";

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUsage = 2;
constexpr const char* kControlAddress = "127.0.0.1";

using Arguments = std::map<std::string, docopt::value>;

Result<Deployment> ReadDeploymentFile(const std::string& path) {
  LoadedDeployment loaded = LoadDeployment(path);
  if (!loaded.faults.empty()) {
    return Fail({ErrorCode::kInvalid, "read deployment", path,
                 ToString(loaded.faults.front())});
  }
  return std::move(loaded.deployment);
}

std::uint16_t PortArgument(const Arguments& arguments) {
  return static_cast<std::uint16_t>(arguments.at("--control").asLong());
}

Result<int> RunUpstreams(const Arguments& arguments,
                         const Deployment& deployment) {
  const std::chrono::milliseconds mean(arguments.at("--service-ms").asLong());
  boost::asio::io_context loop;
  UpstreamFarm farm(loop, deployment, platform::PlatformHeaderNames(), mean);
  BOOST_LEAF_CHECK(farm.Listen());
  BOOST_LEAF_CHECK(
      farm.ListenControl(kControlAddress, PortArgument(arguments)));
  loop.run();
  return kDone;
}

Result<int> RunBroken(const Arguments& arguments) {
  const std::string address = arguments.at("ADDRESS").asString();
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    return Fail({ErrorCode::kInvalid, "listen", address, "not IP:PORT"});
  }
  boost::asio::io_context loop;
  BrokenUpstream upstream(loop, platform::PlatformHeaderNames(), address,
                          DrawBrokenAnswers(static_cast<std::uint64_t>(
                              arguments.at("--seed").asLong())));
  BOOST_LEAF_CHECK(
      upstream.Listen(endpoint->address().to_string(), endpoint->port()));
  loop.run();
  return kDone;
}

// Lets tests disturb the stand-in from outside: SIGUSR1 makes it take calls
// without answering them, and answer again; SIGUSR2 writes the next version of
// the configuration.
void AwaitSignals(boost::asio::signal_set& signals,
                  platform::PlatformStandIn& stand_in,
                  const std::shared_ptr<RoutingConfig>& config,
                  bool is_silent) {
  signals.async_wait([&signals, &stand_in, config, is_silent](
                         const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    const bool next_is_silent = (signal == SIGUSR1) != is_silent;
    if (signal == SIGUSR1) {
      platform::StandInFaults faults;
      faults.unresponsive = next_is_silent;
      stand_in.SetFaults(faults);
    } else {
      ++config->version;
      stand_in.PutConfig(*config);
    }
    AwaitSignals(signals, stand_in, config, next_is_silent);
  });
}

Result<int> RunPlatform(const Deployment& deployment) {
  boost::asio::io_context loop;
  boost::asio::signal_set signals(loop, SIGUSR1, SIGUSR2);
  platform::PlatformStandIn stand_in(loop, 1);
  const auto config =
      std::make_shared<RoutingConfig>(RoutingConfigOf(deployment));
  stand_in.PutConfig(*config);
  AwaitSignals(signals, stand_in, config, false);
  for (const UpstreamInfo& upstream : UpstreamInfosOf(deployment)) {
    stand_in.PutUpstream(upstream);
  }
  BOOST_LEAF_CHECK(
      stand_in.Listen(deployment.platform.address, deployment.platform.port));
  loop.run();
  return kDone;
}

Result<int> WriteSettings(const Deployment& deployment,
                          const std::string& folder) {
  std::filesystem::create_directories(folder);
  for (const HostIndex host : IndicesOf<HostIndex>(deployment.hosts)) {
    const std::string path = folder + "/" + deployment.At(host).name + ".jsonc";
    std::ofstream file(path);
    file << SettingsTextOf(deployment, host);
    if (!file.flush()) {
      return Fail({ErrorCode::kRefused, "write settings", path,
                   "the file cannot be written"});
    }
  }
  return kDone;
}

double RequestWeight(Priority priority) {
  switch (priority) {
    case Priority::kSubmission:
      return 2;
    case Priority::kLookup:
      return 8;
    case Priority::kDownload:
      return 1;
  }
  return 1;
}

LoadPlan MakeLoadPlan(const Arguments& arguments,
                      const Deployment& deployment) {
  const docopt::value& service_filter = arguments.at("--service");
  LoadPlan plan;
  for (const Service& service : deployment.services) {
    if (service_filter && service_filter.asString() != service.name) {
      continue;
    }
    for (const RequestKind& kind : service.kinds) {
      const std::string subpath =
          kind.path_prefix.ends_with('/') ? "item" : "/item";
      const std::string path = service.path_prefix + kind.path_prefix + subpath;
      plan.kinds.push_back({service.name + "/" + kind.name,
                            kind.methods.front(), path,
                            RequestWeight(kind.priority), !kind.repeatable});
    }
  }
  for (const EntryHost& host : deployment.hosts) {
    plan.hosts.push_back(host.address + ":" + std::to_string(host.caller_port));
    plan.locators.push_back(host.address + ":" +
                            std::to_string(host.caller_port + 2));
  }
  plan.caller_address_prefixes.clear();
  for (std::size_t i = 0; i < deployment.regions.size(); ++i) {
    plan.caller_address_prefixes.push_back("127." + std::to_string(101 + i));
  }
  plan.requests_per_second =
      static_cast<double>(arguments.at("--rate").asLong());
  plan.duration = std::chrono::seconds(arguments.at("--seconds").asLong());
  plan.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
  plan.host_header = HostHeaderOf(deployment);
  plan.affinity_header = platform::PlatformHeaderNames().affinity_key;
  return plan;
}

Result<std::string> Fetch(const std::string& address,
                          const std::string& target) {
  const auto endpoint = ParseTcpEndpoint(address);
  HttpLimits limits;
  limits.max_body_bytes = 256ULL * 1024 * 1024;
  boost::asio::io_context loop;
  const auto client = std::make_shared<HttpClient>(
      loop, endpoint.value_or(boost::asio::ip::tcp::endpoint()), limits);
  CallResult result;
  client->Send({"GET", target, {{"Host", "lab"}}, ""},
               {std::chrono::seconds(10), std::chrono::seconds(10)},
               [&](const CallResult& answer) {
                 result = answer;
                 loop.stop();
               });
  loop.run();
  if (result.outcome != CallOutcome::kAnswered) {
    return Fail(
        {ErrorCode::kUnreachable, "fetch " + target, address, result.detail});
  }
  return result.response.body.str();
}

Result<int> RunLoad(const Arguments& arguments, const Deployment& deployment) {
  boost::asio::io_context loop;
  LoadGenerator load(loop, MakeLoadPlan(arguments, deployment));
  load.Start([&loop] { loop.stop(); });
  loop.run();
  BOOST_LEAF_AUTO(ledger, Fetch(std::string(kControlAddress) + ":" +
                                    std::to_string(PortArgument(arguments)),
                                "/ledger"));
  BOOST_LEAF_AUTO(audit, AuditLoad(load, ledger));
  std::cout << ReportLoad(load, audit);
  const bool promises_kept =
      audit.duplicate_runs == 0 && audit.false_not_run == 0 &&
      audit.upstreams_over_slots == 0 && audit.corrupt_answers == 0;
  return promises_kept ? kDone : kFailed;
}

Result<int> PrintToken(const Deployment& deployment) {
  boost::asio::io_context loop;
  platform::PlatformOptions options;
  options.address = deployment.platform.address + ":" +
                    std::to_string(deployment.platform.port);
  platform::PlatformTable table(loop, options);
  FleetSecrets secrets(loop, table, [&loop] { loop.stop(); });
  secrets.Start();
  loop.run();
  std::cout << secrets.operator_token() << "\n";
  return kDone;
}

Arguments ParseArguments(int argc, char** argv) {
  try {
    return docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    std::exit(kDone);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << kUsage;
    std::exit(kWrongUsage);
  }
}

int RunMeasure(const Arguments& arguments) {
  std::cout << MeasureRouting(
      static_cast<int>(arguments.at("--seeds").asLong()));
  return kDone;
}

int RunUneven(const Arguments& arguments) {
  std::cout << MeasureUnevenRouting(
      static_cast<int>(arguments.at("--seeds").asLong()));
  return kDone;
}

int RunReturns(const Arguments& arguments) {
  std::cout << MeasureCallerRetries(
      static_cast<int>(arguments.at("--seeds").asLong()));
  return kDone;
}

int RunQuotas(const Arguments& arguments) {
  for (long seed = 1; seed <= arguments.at("--seeds").asLong(); ++seed) {
    std::cout << CompareQuotaPolicies(
        MixedFleetPlan(static_cast<std::uint64_t>(seed)));
  }
  return kDone;
}

int RunLimits(const Arguments& arguments) {
  std::cout << CompareLimitStrategies(
      static_cast<int>(arguments.at("--seeds").asLong()));
  return kDone;
}

int RunBackoffs(const Arguments& arguments) {
  std::cout << MeasureBackoffs(
      static_cast<int>(arguments.at("--seeds").asLong()));
  return kDone;
}

int RunWatches(const Arguments& arguments) {
  std::cout << MeasureWatches(
      static_cast<int>(arguments.at("--seeds").asLong()));
  return kDone;
}

int RunSlopes() {
  for (const auto& measure : {MeasureBlockTableCosts, MeasureRoutingCosts,
                              MeasureHeartbeatCosts, MeasureAccountCosts}) {
    std::cout << ToText(measure()) << "\n" << std::flush;
  }
  return kDone;
}

Result<int> Run(const Arguments& arguments) {
  if (arguments.at("slopes").asBool()) {
    return RunSlopes();
  }
  if (arguments.at("measure").asBool()) {
    return RunMeasure(arguments);
  }
  if (arguments.at("uneven").asBool()) {
    return RunUneven(arguments);
  }
  if (arguments.at("backoffs").asBool()) {
    return RunBackoffs(arguments);
  }
  if (arguments.at("watches").asBool()) {
    return RunWatches(arguments);
  }
  if (arguments.at("limits").asBool()) {
    return RunLimits(arguments);
  }
  if (arguments.at("quotas").asBool()) {
    return RunQuotas(arguments);
  }
  if (arguments.at("returns").asBool()) {
    return RunReturns(arguments);
  }
  if (arguments.at("broken").asBool()) {
    return RunBroken(arguments);
  }
  BOOST_LEAF_AUTO(deployment,
                  ReadDeploymentFile(arguments.at("DEPLOYMENT").asString()));
  if (arguments.at("upstreams").asBool()) {
    return RunUpstreams(arguments, deployment);
  }
  if (arguments.at("platform").asBool()) {
    return RunPlatform(deployment);
  }
  if (arguments.at("settings").asBool()) {
    return WriteSettings(deployment, arguments.at("FOLDER").asString());
  }
  if (arguments.at("token").asBool()) {
    return PrintToken(deployment);
  }
  return RunLoad(arguments, deployment);
}

}  // namespace
}  // namespace pathcleat

int main(int argc, char** argv) {
  using namespace pathcleat;
  const Arguments arguments = ParseArguments(argc, argv);
  signal(SIGPIPE, SIG_IGN);
  return TryOr([&] { return Run(arguments); },
               [](const Error& error) {
                 std::cerr << ToString(error) << "\n";
                 return kFailed;
               });
}
