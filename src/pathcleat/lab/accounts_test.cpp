// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Client accounts on the whole path: keys, names told to upstreams, limits over
// several hosts, homes.

#include "test_cluster.hpp"

#include <boost/asio/ip/udp.hpp>

#include "pathcleat/fleet/heartbeat.hpp"
#include "pathcleat/fleet/peer_datagram.hpp"

namespace pathcleat {
namespace {

constexpr const char* kRunnersKey = "key-of-runners";
constexpr const char* kClubsKey = "key-of-clubs";

Account Named(const std::string& name) {
  Account account;
  account.name = name;
  return account;
}

// A world with two accounts, "runners" and "clubs", and a public route.
class AccountWorld {
 public:
  explicit AccountWorld(const TestClusterPlan& plan = {}) : world(plan) {
    RoutingConfig& config = world.config();
    Route open = config.routes.front();
    open.name = "open";
    open.path_prefix = "/s/open/";
    open.needs_account_key = false;
    config.routes.push_back(open);
    config.accounts = {Named("runners"), Named("clubs")};
    keys = {{"runners", {kRunnersKey}}, {"clubs", {kClubsKey}}};
    Put();
  }

  /// Puts the next version of the configuration.
  void Put() {
    ++world.config().version;
    world.platform().PutConfig(world.config(), keys);
  }

  /// Waits until all hosts have it in force.
  void AwaitInForce(std::size_t hosts) {
    cr_assert(world.Await([&] {
      for (std::size_t i = 0; i < hosts; ++i) {
        if (world.host(i).Versions().config != world.config().version) {
          return false;
        }
      }
      return true;
    }));
  }

  HttpRequest With(HttpRequest request, const std::string& key) const {
    request.headers.push_back({"Authorization", "Bearer " + key});
    return request;
  }

  int Status(std::size_t host, const std::string& key) {
    return world
        .SendToHost(host,
                    With(world.GetRequest("r" + std::to_string(++run)), key))
        .response.status;
  }

  int RunsOf(const std::string& account) {
    int runs = 0;
    world.ForEachUpstream([&](UpstreamStandIn& upstream) {
      const auto& by_account = upstream.ledger().runs_by_account;
      const auto found = by_account.find(account);
      runs += found == by_account.end() ? 0 : found->second;
    });
    return runs;
  }

  int KeysSeen() {
    int keys_seen = 0;
    world.ForEachUpstream([&](UpstreamStandIn& upstream) {
      keys_seen += upstream.ledger().requests_with_authorization;
    });
    return keys_seen;
  }

  TestCluster world;
  platform::AccountKeys keys;
  int run = 0;
};

// Checked to fail with Authorization, and with names.account, left out of
// what MakeUpstreamRequest takes away.
Test(promise, upstreams_are_told_the_account_and_never_the_key) {
  AccountWorld accounts;
  TestCluster& world = accounts.world;
  world.StartAll();
  HttpRequest request = accounts.With(world.PostRequest("one"), kRunnersKey);
  request.headers.push_back({platform::PlatformHeaderNames().account, "clubs"});
  cr_assert_eq(world.SendToHost(0, request).response.status, http_status::kOk);
  cr_assert_eq(accounts.RunsOf("runners"), 1);
  cr_assert_eq(accounts.RunsOf("clubs"), 0);
  cr_assert_eq(accounts.KeysSeen(), 0);
}

// Checked to fail with RefuseKey left out of Gateway::HandleCaller.
Test(promise, request_without_a_valid_key_runs_nowhere) {
  AccountWorld accounts;
  TestCluster& world = accounts.world;
  world.StartAll();
  cr_assert_eq(world.Get(0, "none").response.status,
               http_status::kUnauthorized);
  cr_assert_eq(accounts.Status(0, "of-nobody"), http_status::kUnauthorized);
  cr_assert_eq(accounts.Status(0, std::string(12'000, 'k')),
               http_status::kUnauthorized);
  HttpRequest twice = accounts.With(world.GetRequest("twice"), kRunnersKey);
  cr_assert_eq(
      world.SendToHost(0, accounts.With(twice, kRunnersKey)).response.status,
      http_status::kUnauthorized);
  cr_assert_eq(world.TotalRuns(), 0);
  cr_assert(world.HasEvent(0, EventCode::kKeyRefused) ||
            world.host(0).state().metrics.refusals().contains("key_missing"));
}

Test(accounts, public_route_needs_no_key_and_is_told_whose_it_is) {
  AccountWorld accounts;
  TestCluster& world = accounts.world;
  world.StartAll();
  HttpRequest request = world.GetRequest("open");
  request.target = "/s/open/item";
  cr_assert_eq(world.SendToHost(0, request).response.status, http_status::kOk);
  cr_assert_eq(accounts.RunsOf(""), 1);
  cr_assert_eq(
      world.SendToHost(0, accounts.With(request, "of-nobody")).response.status,
      http_status::kOk);
  cr_assert_eq(
      world.SendToHost(0, accounts.With(request, kClubsKey)).response.status,
      http_status::kOk);
  cr_assert_eq(accounts.RunsOf("clubs"), 1);
  cr_assert_eq(accounts.KeysSeen(), 0);
}

// Without accounts a caller's Authorization is the upstream's business.
Test(accounts, without_accounts_everything_travels_as_before) {
  TestCluster world;
  world.StartAll();
  HttpRequest request = world.GetRequest("plain");
  request.headers.push_back({"Authorization", "Bearer of-somebody"});
  cr_assert_eq(world.SendToHost(0, request).response.status, http_status::kOk);
  int keys_seen = 0;
  world.ForEachUpstream([&](UpstreamStandIn& upstream) {
    keys_seen += upstream.ledger().requests_with_authorization;
  });
  cr_assert_eq(keys_seen, 1);
}

// Keys added, taken, moved and renamed with their account, at hosts that read
// the store and at those that follow others.
Test(accounts, changed_keys_are_in_force_at_all_hosts) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {3, 3};
  AccountWorld accounts(plan);
  TestCluster& world = accounts.world;
  world.StartAll();
  accounts.AwaitInForce(6);
  cr_assert_eq(accounts.Status(5, kRunnersKey), http_status::kOk);
  accounts.keys = {{"runners", {kClubsKey}}, {"clubs", {"key-added"}}};
  accounts.Put();
  accounts.AwaitInForce(6);
  for (std::size_t host = 0; host < 6; ++host) {
    cr_assert_eq(accounts.Status(host, kRunnersKey),
                 http_status::kUnauthorized);
    cr_assert_eq(accounts.Status(host, "key-added"), http_status::kOk);
  }
  const int runs = accounts.RunsOf("runners");
  cr_assert_eq(accounts.Status(3, kClubsKey), http_status::kOk);
  cr_assert_eq(accounts.RunsOf("runners"), runs + 1);
  world.config().accounts = {Named("walkers")};
  accounts.keys = {{"walkers", {kRunnersKey}}};
  accounts.Put();
  accounts.AwaitInForce(6);
  cr_assert_eq(accounts.Status(4, kRunnersKey), http_status::kOk);
  cr_assert_eq(accounts.Status(4, kClubsKey), http_status::kUnauthorized);
  cr_assert_eq(accounts.RunsOf("walkers"), 1);
}

// What an ambiguous version says of a key would be a guess.
Test(accounts, version_with_a_key_of_two_accounts_changes_nothing) {
  AccountWorld accounts;
  TestCluster& world = accounts.world;
  world.StartAll();
  accounts.AwaitInForce(2);
  const std::uint64_t before = world.host(0).Versions().config;
  accounts.keys["clubs"].push_back(kRunnersKey);
  accounts.Put();
  cr_assert(world.Await(
      [&] { return world.HasEvent(0, EventCode::kSettingsFault); }));
  cr_assert_eq(world.host(0).Versions().config, before);
  cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
}

// A newer version may have the key.
Test(accounts, unknown_key_is_not_denied_while_others_know_more) {
  AccountWorld accounts;
  TestCluster& world = accounts.world;
  world.StartAll();
  Gateway& told = world.host(0);
  boost::asio::ip::udp::socket socket(
      world.loop(),
      boost::asio::ip::udp::endpoint(boost::asio::ip::udp::v4(), 0));
  const auto tell = [&] {
    Heartbeat heartbeat;
    heartbeat.host = told.state().hosts.self();
    heartbeat.host.name = "herald";
    heartbeat.host.peer_address = world.address() + ":1";
    heartbeat.versions.config = 99;
    const auto to = ParseTcpEndpoint(told.state().hosts.self().peer_address);
    socket.send_to(boost::asio::buffer(SealDatagram(DatagramKind::kHeartbeat,
                                                    EncodeHeartbeat(heartbeat),
                                                    told.secrets().peer_key())),
                   boost::asio::ip::udp::endpoint(to->address(), to->port()));
  };
  cr_assert(world.Await([&] {
    tell();
    return accounts.Status(0, "of-nobody") == http_status::kUnavailable;
  }));
  cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
}

// Three hosts of two failure domains get many times the limit.
Test(promise, limit_of_an_account_holds_over_all_hosts) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 1};
  AccountWorld accounts(plan);
  TestCluster& world = accounts.world;
  constexpr double kRate = 20;
  world.config().accounts[0].limit = {kRate, kRate};
  accounts.Put();
  world.StartAll();
  accounts.AwaitInForce(3);
  int refused = 0;
  const Time begun = BootClock::now();
  constexpr Duration kLength{4'000'000};
  for (std::size_t host = 0; BootClock::now() - begun < kLength;
       host = (host + 1) % 3) {
    const int status = accounts.Status(host, kRunnersKey);
    refused += status == http_status::kTooManyRequests ? 1 : 0;
  }
  const QuotaBounds bounds;
  const double most = (kRate * 5 + kRate) * (1 + bounds.overage) + bounds.slack;
  cr_assert_gt(refused, 0);
  cr_assert_leq(accounts.RunsOf("runners"), most);
  cr_assert_geq(accounts.RunsOf("runners"), kRate);
  cr_assert_eq(accounts.Status(0, kClubsKey), http_status::kOk,
               "another account has its own limit");
}

Test(accounts, refusal_beyond_the_limit_tells_when_to_come_back) {
  AccountWorld accounts;
  TestCluster& world = accounts.world;
  world.config().accounts[0].limit = {1, 1};
  accounts.Put();
  world.StartAll();
  CallResult last;
  cr_assert(world.Await([&] {
    last = world.SendToHost(
        0,
        accounts.With(world.PostRequest("p" + std::to_string(++accounts.run)),
                      kRunnersKey));
    return last.response.status == http_status::kTooManyRequests;
  }));
  cr_assert(FindHeader(last.response.headers, "Retry-After").has_value());
  cr_assert_eq(TestCluster::OutcomeHeader(last), "not-run");
}

// Homes of the route and of the account both bind.
Test(promise, requests_run_in_their_accounts_homes_alone) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1, 1};
  AccountWorld accounts(plan);
  TestCluster& world = accounts.world;
  world.config().accounts[0].allowed_regions = {"region-1"};
  world.config().routes[1].allowed_regions = {"region-0"};
  accounts.Put();
  world.StartAll();
  accounts.AwaitInForce(2);
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
  }
  for (std::size_t i = 0; i < world.upstream_count(); ++i) {
    const bool home = world.upstream_info(i).domain == "domain-1";
    cr_assert(home || world.upstream(i).ledger().runs == 0);
  }
  // The write route is at home in region-0 alone: nowhere for this account.
  const CallResult nowhere =
      world.SendToHost(0, accounts.With(world.PostRequest("w"), kRunnersKey));
  cr_assert_eq(nowhere.response.status, http_status::kUnavailable);
  cr_assert_eq(TestCluster::OutcomeHeader(nowhere), "not-run");
}

Test(accounts, operators_see_limits_use_and_digests) {
  AccountWorld accounts;
  TestCluster& world = accounts.world;
  world.config().accounts[0].limit = {5, 5};
  accounts.Put();
  world.StartAll();
  accounts.AwaitInForce(2);
  cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
  const std::string all = world.RunCommand(0, "show accounts").response.body;
  cr_assert(all.find("runners: 5 requests a second") != std::string::npos);
  cr_assert(all.find("clubs: no limit") != std::string::npos);
  const std::string one = world.RunCommand(0, "account runners").response.body;
  cr_assert(one.find("here: taken 1, refused") != std::string::npos);
  cr_assert(one.find("key: digest ") != std::string::npos);
  cr_assert(one.find(kRunnersKey) == std::string::npos);
  cr_assert(world.RunCommand(0, "account nobody")
                .response.body.starts_with("no account"));
  const std::string page = world.FetchMetrics(0).response.body;
  cr_assert(page.find("pathcleat_account_requests_total{account=\"runners\"") !=
            std::string::npos);
}

// No key stands in a log line, an event, or a message between hosts.
Test(promise, keys_are_told_nowhere) {
  AccountWorld accounts;
  TestCluster& world = accounts.world;
  world.StartAll();
  accounts.AwaitInForce(2);
  const std::string wrong = "wrong-key-of-a-caller";
  cr_assert_eq(accounts.Status(0, wrong), http_status::kUnauthorized);
  cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
  std::string told;
  for (const Event& event : world.host(0).state().events.Snapshot()) {
    told += ToJsonLine(event);
  }
  told += world.FetchMetrics(0).response.body;
  told += world.RunCommand(0, "show config").response.body;
  ConfigHistory history;
  const RoutingConfig& config = world.host(0).state().routes.config();
  history.Append(config);
  told += history.EncodedUpdateSince(config, 0);
  cr_assert(told.find("runners") != std::string::npos);
  cr_assert(told.find(kRunnersKey) == std::string::npos);
  cr_assert(told.find(wrong) == std::string::npos);
}

}  // namespace
}  // namespace pathcleat
