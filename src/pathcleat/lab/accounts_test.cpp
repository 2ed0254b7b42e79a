// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Client accounts from caller to upstream: API keys, account names sent to
// upstreams, limits over several hosts, allowed regions.

#include "test_cluster.hpp"

#include <boost/asio/ip/udp.hpp>

#include "pathcleat/fleet/heartbeat.hpp"
#include "pathcleat/fleet/peer_datagram.hpp"

namespace pathcleat {
namespace {

constexpr const char* kRunnersKey = "key-of-runners";
constexpr const char* kClubsKey = "key-of-clubs";

Account MakeAccount(const std::string& name) {
  Account account;
  account.name = name;
  return account;
}

// A cluster with two accounts, "runners" and "clubs", and a route "open" that
// needs no key.
class AccountCluster {
 public:
  explicit AccountCluster(const TestClusterPlan& plan = {}) : cluster(plan) {
    RoutingConfig& config = cluster.config();
    Route open = config.routes.front();
    open.name = "open";
    open.path_prefix = "/s/open/";
    open.needs_account_key = false;
    config.routes.push_back(open);
    config.accounts = {MakeAccount("runners"), MakeAccount("clubs")};
    keys = {{"runners", {kRunnersKey}}, {"clubs", {kClubsKey}}};
    PublishConfig();
  }

  /// Writes the next version of the configuration to the store.
  void PublishConfig() {
    ++cluster.config().version;
    cluster.platform().PutConfig(cluster.config(), keys);
  }

  /// Waits until all hosts have applied the newest configuration.
  void AwaitApplied(std::size_t hosts) {
    cr_assert(cluster.Await([&] {
      for (std::size_t i = 0; i < hosts; ++i) {
        if (cluster.host(i).Versions().config != cluster.config().version) {
          return false;
        }
      }
      return true;
    }));
  }

  HttpRequest WithKey(HttpRequest request, const std::string& key) const {
    request.headers.push_back({"Authorization", "Bearer " + key});
    return request;
  }

  int Status(std::size_t host, const std::string& key) {
    return cluster
        .SendToHost(
            host, WithKey(cluster.GetRequest("r" + std::to_string(++run)), key))
        .response.status;
  }

  int RunsOf(const std::string& account) {
    int runs = 0;
    cluster.ForEachUpstream([&](UpstreamStandIn& upstream) {
      const auto& by_account = upstream.ledger().runs_by_account;
      const auto found = by_account.find(account);
      runs += found == by_account.end() ? 0 : found->second;
    });
    return runs;
  }

  int RequestsWithKey() {
    int requests_with_key = 0;
    cluster.ForEachUpstream([&](UpstreamStandIn& upstream) {
      requests_with_key += upstream.ledger().requests_with_authorization;
    });
    return requests_with_key;
  }

  TestCluster cluster;
  platform::AccountKeys keys;
  int run = 0;
};

// Fails without the removal of Authorization, or of names.account, in
// MakeUpstreamRequest.
Test(promise, upstreams_receive_the_account_and_never_the_key) {
  AccountCluster accounts;
  TestCluster& cluster = accounts.cluster;
  cluster.StartAll();
  HttpRequest request =
      accounts.WithKey(cluster.PostRequest("one"), kRunnersKey);
  request.headers.push_back({platform::PlatformHeaderNames().account, "clubs"});
  cr_assert_eq(cluster.SendToHost(0, request).response.status,
               http_status::kOk);
  cr_assert_eq(accounts.RunsOf("runners"), 1);
  cr_assert_eq(accounts.RunsOf("clubs"), 0);
  cr_assert_eq(accounts.RequestsWithKey(), 0);
}

// Fails without RefuseApiKey in Gateway::HandleCaller.
Test(promise, request_without_a_valid_key_runs_nowhere) {
  AccountCluster accounts;
  TestCluster& cluster = accounts.cluster;
  cluster.StartAll();
  cr_assert_eq(cluster.Get(0, "none").response.status,
               http_status::kUnauthorized);
  cr_assert_eq(accounts.Status(0, "of-nobody"), http_status::kUnauthorized);
  cr_assert_eq(accounts.Status(0, std::string(12'000, 'k')),
               http_status::kUnauthorized);
  HttpRequest two_keys =
      accounts.WithKey(cluster.GetRequest("twice"), kRunnersKey);
  cr_assert_eq(cluster.SendToHost(0, accounts.WithKey(two_keys, kRunnersKey))
                   .response.status,
               http_status::kUnauthorized);
  cr_assert_eq(cluster.TotalRuns(), 0);
  cr_assert(cluster.HasEvent(0, EventCode::kKeyRefused) ||
            cluster.host(0).state().metrics.refusals().contains("key_missing"));
}

Test(accounts, public_route_needs_no_key_and_forwards_the_account) {
  AccountCluster accounts;
  TestCluster& cluster = accounts.cluster;
  cluster.StartAll();
  HttpRequest request = cluster.GetRequest("open");
  request.target = "/s/open/item";
  cr_assert_eq(cluster.SendToHost(0, request).response.status,
               http_status::kOk);
  cr_assert_eq(accounts.RunsOf(""), 1);
  cr_assert_eq(cluster.SendToHost(0, accounts.WithKey(request, "of-nobody"))
                   .response.status,
               http_status::kOk);
  cr_assert_eq(cluster.SendToHost(0, accounts.WithKey(request, kClubsKey))
                   .response.status,
               http_status::kOk);
  cr_assert_eq(accounts.RunsOf("clubs"), 1);
  cr_assert_eq(accounts.RequestsWithKey(), 0);
}

// Without accounts, hosts pass the Authorization header on to the upstream.
Test(accounts, without_accounts_authorization_is_passed_on) {
  TestCluster cluster;
  cluster.StartAll();
  HttpRequest request = cluster.GetRequest("plain");
  request.headers.push_back({"Authorization", "Bearer of-somebody"});
  cr_assert_eq(cluster.SendToHost(0, request).response.status,
               http_status::kOk);
  int requests_with_key = 0;
  cluster.ForEachUpstream([&](UpstreamStandIn& upstream) {
    requests_with_key += upstream.ledger().requests_with_authorization;
  });
  cr_assert_eq(requests_with_key, 1);
}

// Keys that are added, removed, moved to another account, or whose account is
// renamed take effect at hosts that read the store and at hosts that follow
// peers.
Test(accounts, changed_keys_take_effect_at_all_hosts) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {3, 3};
  AccountCluster accounts(plan);
  TestCluster& cluster = accounts.cluster;
  cluster.StartAll();
  accounts.AwaitApplied(6);
  cr_assert_eq(accounts.Status(5, kRunnersKey), http_status::kOk);
  accounts.keys = {{"runners", {kClubsKey}}, {"clubs", {"key-added"}}};
  accounts.PublishConfig();
  accounts.AwaitApplied(6);
  for (std::size_t host = 0; host < 6; ++host) {
    cr_assert_eq(accounts.Status(host, kRunnersKey),
                 http_status::kUnauthorized);
    cr_assert_eq(accounts.Status(host, "key-added"), http_status::kOk);
  }
  const int runs = accounts.RunsOf("runners");
  cr_assert_eq(accounts.Status(3, kClubsKey), http_status::kOk);
  cr_assert_eq(accounts.RunsOf("runners"), runs + 1);
  cluster.config().accounts = {MakeAccount("walkers")};
  accounts.keys = {{"walkers", {kRunnersKey}}};
  accounts.PublishConfig();
  accounts.AwaitApplied(6);
  cr_assert_eq(accounts.Status(4, kRunnersKey), http_status::kOk);
  cr_assert_eq(accounts.Status(4, kClubsKey), http_status::kUnauthorized);
  cr_assert_eq(accounts.RunsOf("walkers"), 1);
}

// Hosts reject a configuration that gives one key to two accounts, as they
// could not tell which account a caller has.
Test(accounts, version_with_a_key_of_two_accounts_changes_nothing) {
  AccountCluster accounts;
  TestCluster& cluster = accounts.cluster;
  cluster.StartAll();
  accounts.AwaitApplied(2);
  const std::uint64_t before = cluster.host(0).Versions().config;
  accounts.keys["clubs"].push_back(kRunnersKey);
  accounts.PublishConfig();
  cr_assert(cluster.Await(
      [&] { return cluster.HasEvent(0, EventCode::kSettingsFault); }));
  cr_assert_eq(cluster.host(0).Versions().config, before);
  cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
}

// While a peer has a newer configuration, an unknown key gets 503 in place of
// 401, as the newer version may contain the key.
Test(accounts, unknown_key_is_not_denied_while_a_peer_has_a_newer_version) {
  AccountCluster accounts;
  TestCluster& cluster = accounts.cluster;
  cluster.StartAll();
  Gateway& receiver = cluster.host(0);
  boost::asio::ip::udp::socket socket(
      cluster.loop(),
      boost::asio::ip::udp::endpoint(boost::asio::ip::udp::v4(), 0));
  const auto send_heartbeat = [&] {
    Heartbeat heartbeat;
    heartbeat.host = receiver.state().hosts.self();
    heartbeat.host.name = "herald";
    heartbeat.host.peer_address = cluster.address() + ":1";
    heartbeat.versions.config = 99;
    const auto to =
        ParseTcpEndpoint(receiver.state().hosts.self().peer_address);
    socket.send_to(boost::asio::buffer(SealDatagram(
                       DatagramKind::kHeartbeat, EncodeHeartbeat(heartbeat),
                       receiver.secrets().peer_key())),
                   boost::asio::ip::udp::endpoint(to->address(), to->port()));
  };
  cr_assert(cluster.Await([&] {
    send_heartbeat();
    return accounts.Status(0, "of-nobody") == http_status::kUnavailable;
  }));
  cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
}

// The hosts, three in two failure domains, together receive many times the
// limit of the account, and must not let more than the limit through.
Test(promise, limit_of_an_account_holds_over_all_hosts) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 1};
  AccountCluster accounts(plan);
  TestCluster& cluster = accounts.cluster;
  constexpr double kRate = 20;
  cluster.config().accounts[0].limit = {kRate, kRate};
  accounts.PublishConfig();
  cluster.StartAll();
  accounts.AwaitApplied(3);
  int refused = 0;
  const Time started = BootClock::now();
  constexpr Duration kDuration{4'000'000};
  for (std::size_t host = 0; BootClock::now() - started < kDuration;
       host = (host + 1) % 3) {
    const int status = accounts.Status(host, kRunnersKey);
    refused += status == http_status::kTooManyRequests ? 1 : 0;
  }
  const QuotaBounds bounds;
  const double max_runs =
      (kRate * 5 + kRate) * (1 + bounds.overage) + bounds.slack;
  cr_assert_gt(refused, 0);
  cr_assert_leq(accounts.RunsOf("runners"), max_runs);
  cr_assert_geq(accounts.RunsOf("runners"), kRate);
  cr_assert_eq(accounts.Status(0, kClubsKey), http_status::kOk,
               "another account has its own limit");
}

Test(accounts, refusal_beyond_the_limit_has_retry_after) {
  AccountCluster accounts;
  TestCluster& cluster = accounts.cluster;
  cluster.config().accounts[0].limit = {1, 1};
  accounts.PublishConfig();
  cluster.StartAll();
  CallResult last;
  cr_assert(cluster.Await([&] {
    last = cluster.SendToHost(
        0, accounts.WithKey(
               cluster.PostRequest("p" + std::to_string(++accounts.run)),
               kRunnersKey));
    return last.response.status == http_status::kTooManyRequests;
  }));
  cr_assert(FindHeader(last.response.headers, "Retry-After").has_value());
  cr_assert_eq(TestCluster::OutcomeHeader(last), "not-run");
}

// A request may run only in regions that both its route and its account allow.
Test(promise, requests_run_only_in_regions_that_their_account_allows) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1, 1};
  AccountCluster accounts(plan);
  TestCluster& cluster = accounts.cluster;
  cluster.config().accounts[0].allowed_regions = {"region-1"};
  cluster.config().routes[1].allowed_regions = {"region-0"};
  accounts.PublishConfig();
  cluster.StartAll();
  accounts.AwaitApplied(2);
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
  }
  for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
    const bool is_allowed = cluster.upstream_info(i).domain == "domain-1";
    cr_assert(is_allowed || cluster.upstream(i).ledger().runs == 0);
  }
  // The write route allows region-0 only and the account region-1 only.
  const CallResult refused = cluster.SendToHost(
      0, accounts.WithKey(cluster.PostRequest("w"), kRunnersKey));
  cr_assert_eq(refused.response.status, http_status::kUnavailable);
  cr_assert_eq(TestCluster::OutcomeHeader(refused), "not-run");
}

Test(accounts, operators_see_limits_usage_and_digests) {
  AccountCluster accounts;
  TestCluster& cluster = accounts.cluster;
  cluster.config().accounts[0].limit = {5, 5};
  accounts.PublishConfig();
  cluster.StartAll();
  accounts.AwaitApplied(2);
  cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
  const std::string all =
      cluster.RunCommand(0, "show accounts").response.body.str();
  cr_assert(all.find("runners: 5 requests a second") != std::string::npos);
  cr_assert(all.find("clubs: no limit") != std::string::npos);
  cr_assert(all.find("least served: runners 1.000 of 1 requests") !=
            std::string::npos);
  const std::string one =
      cluster.RunCommand(0, "account runners").response.body.str();
  cr_assert(one.find("here: taken 1, refused") != std::string::npos);
  cr_assert(one.find("key: digest ") != std::string::npos);
  cr_assert(one.find(kRunnersKey) == std::string::npos);
  cr_assert(cluster.RunCommand(0, "account nobody")
                .response.body.str()
                .starts_with("no account"));
  const std::string page = cluster.FetchMetrics(0).response.body.str();
  cr_assert(page.find("pathcleat_account_requests_total{account=\"runners\"") !=
            std::string::npos);
}

// No key appears in events, metrics, answers to operators, or in the
// configuration sent to other hosts.
Test(promise, keys_appear_in_no_output) {
  AccountCluster accounts;
  TestCluster& cluster = accounts.cluster;
  cluster.StartAll();
  accounts.AwaitApplied(2);
  const std::string wrong = "wrong-key-of-a-caller";
  cr_assert_eq(accounts.Status(0, wrong), http_status::kUnauthorized);
  cr_assert_eq(accounts.Status(0, kRunnersKey), http_status::kOk);
  std::string output;
  for (const Event& event : cluster.host(0).state().events.Snapshot()) {
    output += ToJsonLine(event);
  }
  output += cluster.FetchMetrics(0).response.body.str();
  output += cluster.RunCommand(0, "show config").response.body.str();
  ConfigHistory history;
  const RoutingConfig& config = cluster.host(0).state().routes.config();
  history.Append(config);
  output += history.EncodedUpdateSince(config, 0);
  cr_assert(output.find("runners") != std::string::npos);
  cr_assert(output.find(kRunnersKey) == std::string::npos);
  cr_assert(output.find(wrong) == std::string::npos);
}

}  // namespace
}  // namespace pathcleat
