// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The lab program, never shipped: stand-ins for what pathcleat meets, a load
// generator, and the measurements.

#include <docopt/docopt.h>
#include <signal.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <iostream>

#include "pathcleat/lab/load_audit.hpp"
#include "pathcleat/lab/load_generator.hpp"
#include "pathcleat/lab/measure.hpp"
#include "pathcleat/lab/platform_stand_in.hpp"
#include "pathcleat/lab/slope.hpp"
#include "pathcleat/lab/upstream_farm.hpp"
#include "pathcleat/settings/load.hpp"

namespace pathcleat {
namespace {

constexpr const char* kUsage =
    R"(pathcleat-lab: stand-ins, load and measurements for pathcleat.

Usage:
  pathcleat-lab upstreams DEPLOYMENT --control=PORT [--service-ms=N]
  pathcleat-lab platform DEPLOYMENT
  pathcleat-lab load DEPLOYMENT --control=PORT [--service=NAME] [--rate=N]
                [--seconds=N] [--seed=N]
  pathcleat-lab measure (routing | overload) [--seeds=N] [--json]
  pathcleat-lab slopes
  pathcleat-lab (-h | --help)

Options:
  --control=PORT   Port of the upstreams' ledger, on 127.0.0.1.
  --service-ms=N   Mean service time of the stand-ins [default: 20].
  --service=NAME   Send to this service only.
  --rate=N         Requests a second [default: 100].
  --seconds=N      Length of the load [default: 10].
  --seed=N         Seed of the arrivals [default: 1].
  --seeds=N        Seeds of the model, from 1 up [default: 5].
  --json           Print JSON in place of Markdown tables.
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
  UpstreamFarm farm(deployment, mean, nullptr);
  BOOST_LEAF_CHECK(farm.Listen());
  BOOST_LEAF_CHECK(
      farm.ListenControl(kControlAddress, PortArgument(arguments)));
  return QCoreApplication::exec();
}

Result<int> RunPlatform(const Deployment& deployment) {
  PlatformStandIn platform(1, nullptr);
  BOOST_LEAF_CHECK(
      platform.Listen(deployment.platform.address, deployment.platform.port));
  return QCoreApplication::exec();
}

double WeightOf(Priority priority) {
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

LoadPlan PlanFrom(const Arguments& arguments, const Deployment& deployment) {
  const docopt::value& only = arguments.at("--service");
  LoadPlan plan;
  for (const Service& service : deployment.services) {
    if (only && only.asString() != service.name) {
      continue;
    }
    for (const RequestKind& kind : service.kinds) {
      const std::string path = service.path_prefix + kind.path_prefix + "item";
      plan.kinds.push_back({service.name + "/" + kind.name,
                            kind.methods.front(), path, WeightOf(kind.priority),
                            !kind.repeatable});
    }
  }
  for (const Seat& seat : deployment.seats) {
    plan.hosts.push_back(seat.address + ":" + std::to_string(seat.caller_port));
  }
  plan.caller_prefixes.clear();
  for (std::size_t i = 0; i < deployment.regions.size(); ++i) {
    plan.caller_prefixes.push_back("127." + std::to_string(101 + i));
  }
  plan.per_second = static_cast<double>(arguments.at("--rate").asLong());
  plan.length = std::chrono::seconds(arguments.at("--seconds").asLong());
  plan.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
  plan.locate_service = deployment.services.front().name;
  return plan;
}

Result<std::string> FetchLedger(std::uint16_t port) {
  HttpLimits limits;
  limits.body_bytes = 256ULL * 1024 * 1024;
  HttpClientConnection connection(kControlAddress, port, limits, nullptr);
  QEventLoop loop;
  ClientResult result;
  connection.Send({"GET", "/ledger", {{"Host", "lab"}}, ""},
                  std::chrono::seconds(10), [&](const ClientResult& answer) {
                    result = answer;
                    loop.quit();
                  });
  loop.exec();
  if (result.outcome != ClientOutcome::kAnswered) {
    return Fail({ErrorCode::kUnreachable, "fetch ledger",
                 "port " + std::to_string(port), result.detail});
  }
  return result.response.body;
}

Result<int> RunLoad(const Arguments& arguments, const Deployment& deployment) {
  LoadGenerator load(PlanFrom(arguments, deployment), nullptr);
  QEventLoop loop;
  load.Start([&loop] { loop.quit(); });
  loop.exec();
  BOOST_LEAF_AUTO(ledger, FetchLedger(PortArgument(arguments)));
  BOOST_LEAF_AUTO(audit, AuditLoad(load, ledger));
  std::cout << ReportLoad(load, audit);
  const bool kept = audit.doubled == 0 && audit.not_run_but_ran == 0 &&
                    audit.over_slots == 0 && audit.cut == 0;
  return kept ? kDone : kFailed;
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
  const int seeds = static_cast<int>(arguments.at("--seeds").asLong());
  const auto tables = arguments.at("routing").asBool() ? MeasureRouting(seeds)
                                                       : MeasureOverload(seeds);
  std::cout << (arguments.at("--json").asBool() ? ToJson(tables)
                                                : ToText(tables))
            << "\n";
  return kDone;
}

int RunSlopes() {
  for (const auto& measure : {HostSlopes, BlockTableSlopes, MessageSlopes,
                              OwnerSlopes, SpreadSlopes}) {
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
  BOOST_LEAF_AUTO(deployment,
                  ReadDeploymentFile(arguments.at("DEPLOYMENT").asString()));
  if (arguments.at("upstreams").asBool()) {
    return RunUpstreams(arguments, deployment);
  }
  if (arguments.at("platform").asBool()) {
    return RunPlatform(deployment);
  }
  return RunLoad(arguments, deployment);
}

}  // namespace
}  // namespace pathcleat

int main(int argc, char** argv) {
  using namespace pathcleat;
  const Arguments arguments = ParseArguments(argc, argv);
  signal(SIGPIPE, SIG_IGN);
  const QCoreApplication application(argc, argv);
  return TryOr([&] { return Run(arguments); },
               [](const Error& error) {
                 std::cerr << ToString(error) << "\n";
                 return kFailed;
               });
}
