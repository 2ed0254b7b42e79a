// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "event_loop.hpp"
#include "fleet_feed.hpp"
#include "header_names.hpp"
#include "pathcleat/gateway/gateway.hpp"
#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_status.hpp"
#include "pathcleat/lab/upstream_stand_in.hpp"
#include "platform_stand_in.hpp"
#include "platform_table.hpp"
#include "property.hpp"
#include "read_write_config.hpp"
#include "rollout_status_table.hpp"
#include "tcp_proxy.hpp"
#include "test_cluster_plan.hpp"
#include "throwing_table_store.hpp"

namespace pathcleat {

/// @brief Entry hosts, upstream stand-ins and platform stand-ins in one process
/// and one event loop, connected by real sockets.
class TestCluster {
 public:
  explicit TestCluster(const TestClusterPlan& plan = {})
      : plan_(plan), platform_(loop_, 1), isolated_platform_(loop_, 2) {
    SilenceLog();
    store_address_ = address_ + ":" + std::to_string(next_port_);
    AssertListening(platform_.Listen(address_, next_port_++));
    isolated_store_address_ = address_ + ":" + std::to_string(next_port_);
    AssertListening(isolated_platform_.Listen(address_, next_port_++));
    config_ = MakeConfig();
    platform_.PutConfig(config_);
    MakeUpstreams();
    for (std::size_t d = 0; d < plan.hosts_in_domain.size(); ++d) {
      for (int i = 0; i < plan.hosts_in_domain[d]; ++i) {
        hosts_.push_back(std::make_unique<Host>(MakeSettings(d, i)));
      }
    }
  }

  /// @brief Sets the store address for all hosts that are started afterwards.
  void SetStoreAddress(const std::string& address) { store_address_ = address; }
  const std::string& store_address() const { return store_address_; }

  const StoreCallStats& StoreCallsOf(std::size_t index) const {
    return hosts_[index]->store_calls;
  }

  void StartHost(std::size_t index) {
    Host& host = *hosts_[index];
    platform::PlatformOptions options;
    options.address = store_address_;
    options.call_timeout = Duration(500'000);
    options.local_address = StoreClientAddress(index);
    options.stats = &host.store_calls;
    platform::PlatformOptions table_options = options;
    if (plan_.isolated_hosts.contains(index)) {
      table_options.address = isolated_store_address_;
    }
    host.table =
        std::make_unique<platform::PlatformTable>(loop_, table_options);
    host.store = std::make_unique<ThrowingTableStore>(*host.table);
    host.digester = std::make_unique<KeyedHasher>();
    host.feed =
        std::make_unique<platform::FleetFeed>(loop_, options, *host.digester);
    host.rollouts =
        std::make_unique<platform::RolloutStatusTable>(loop_, table_options);
    host.gateway = std::make_unique<Gateway>(
        loop_, host.settings, platform::PlatformHeaderNames(), *host.store,
        *host.feed, *host.rollouts, *host.digester);
    host.gateway->state().connection_pool.SetLocalAddress(
        UpstreamClientAddress(index));
    host.gateway->SetProcessStats({nullptr, &host.store_calls});
    const bool started = TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(host.gateway->Start([](const Error& error) {
            cr_assert_fail("host did not start: %s", ToString(error).c_str());
          }));
          return true;
        },
        [](const Error&) { return false; });
    cr_assert(started, "host did not start");
  }

  void StartAll() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      StartHost(i);
    }
    cr_assert(Await([this] { return AreAllReady(); }));
  }

  /// @brief Whether every host is ready and sees all hosts alive.
  bool AreAllReady() {
    for (const auto& host : hosts_) {
      const int alive =
          host->gateway->state().hosts.AliveCount(BootClock::now());
      if (!host->gateway->IsReady() ||
          alive != static_cast<int>(hosts_.size())) {
        return false;
      }
    }
    return true;
  }

  bool Await(const std::function<bool()>& condition) {
    return WaitUntil(loop_, condition);
  }

  /// @brief Polls the event loop often enough for messages in transit to
  /// arrive.
  void PollEventLoop() {
    constexpr int kPollCount = 200;
    for (int i = 0; i < kPollCount; ++i) {
      loop_.restart();
      loop_.poll();
    }
  }

  /// @brief Local IP address from which a host connects to the platform.
  static std::string StoreClientAddress(std::size_t host) {
    return "127.200.0." + std::to_string(host + 1);
  }

  /// @brief Local IP address from which a host connects to upstreams.
  static std::string UpstreamClientAddress(std::size_t host) {
    return "127.201.0." + std::to_string(host + 1);
  }

  /// @brief Cuts a host off from all upstreams. Callers, the platform and the
  /// other hosts still reach the host.
  void CutHost(std::size_t index, CutMode mode) {
    for (const auto& proxy : proxies_) {
      proxy->Cut(UpstreamClientAddress(index), mode);
    }
  }
  void EndCut(std::size_t index) {
    for (const auto& proxy : proxies_) {
      proxy->EndCut(UpstreamClientAddress(index));
    }
  }

  /// @brief The store as a host sees it, for tests that let its calls fail.
  ThrowingTableStore& store(std::size_t index) { return *hosts_[index]->store; }

  Gateway& host(std::size_t index) { return *hosts_[index]->gateway; }
  UpstreamStandIn& upstream(std::size_t i) { return *upstreams_[i]; }
  const UpstreamInfo& upstream_info(std::size_t i) const { return infos_[i]; }
  std::size_t upstream_count() const { return upstreams_.size(); }
  platform::PlatformStandIn& platform() { return platform_; }
  RoutingConfig& config() { return config_; }
  boost::asio::io_context& loop() { return loop_; }
  const std::string& address() const { return address_; }

  std::uint16_t CallerPort(std::size_t index) const {
    return ParseTcpEndpoint(hosts_[index]->settings.listen.callers)->port();
  }

  /// @brief Sends a request and waits for its result.
  /// @param from local IP address; empty: any.
  CallResult SendAndWait(const std::string& endpoint,
                         const HttpRequest& request,
                         const std::string& from = "") {
    HttpLimits limits;
    limits.max_body_bytes = 64ULL * 1024 * 1024;
    const auto client = std::make_shared<HttpClient>(
        loop_, *ParseTcpEndpoint(endpoint), limits);
    client->BindLocalAddress(from);
    bool done = false;
    CallResult result;
    client->Send(request, {std::chrono::seconds(60), std::chrono::seconds(60)},
                 [&](const CallResult& call_result) {
                   result = call_result;
                   done = true;
                 });
    cr_assert(Await([&] { return done; }));
    client->Cancel();
    return result;
  }

  HttpRequest GetRequest(const std::string& run_id) const {
    return {"GET",
            "/s/read/item",
            {{"Host", "test.example"},
             {"X-Run-Id", run_id},
             {names_.request_id, "id-" + run_id}},
            ""};
  }

  HttpRequest PostRequest(const std::string& run_id,
                          const std::string& key = "",
                          const std::string& body = "b") const {
    HttpRequest request{"POST",
                        "/s/write/entry",
                        {{"Host", "test.example"},
                         {"X-Run-Id", run_id},
                         {names_.request_id, "id-" + run_id}},
                        body};
    if (!key.empty()) {
      request.headers.push_back({"Idempotency-Key", key});
    }
    return request;
  }

  CallResult SendToHost(std::size_t host, const HttpRequest& request) {
    return SendAndWait(hosts_[host]->settings.listen.callers, request);
  }

  CallResult Get(std::size_t host, const std::string& run_id) {
    return SendToHost(host, GetRequest(run_id));
  }

  CallResult Post(std::size_t host,
                  const std::string& run_id,
                  const std::string& key = "",
                  const std::string& body = "b") {
    return SendAndWait(hosts_[host]->settings.listen.callers,
                       PostRequest(run_id, key, body));
  }

  CallResult QueryReadiness(std::size_t host) {
    return SendAndWait(hosts_[host]->settings.listen.readiness,
                       {"GET", "/v1/ready", {{"Host", "t"}}, ""});
  }

  CallResult Locate(std::size_t host, const std::string& query) {
    return SendAndWait(hosts_[host]->settings.listen.locate,
                       {"GET", "/v1/locate" + query, {{"Host", "t"}}, ""});
  }

  CallResult FetchMetrics(std::size_t host) {
    return SendAndWait(hosts_[host]->settings.listen.metrics,
                       {"GET", "/metrics", {{"Host", "t"}}, ""});
  }

  CallResult RunCommand(std::size_t index, const std::string& text) {
    return RunCommandWithToken(index, text,
                               host(index).secrets().operator_token());
  }

  CallResult RunCommandWithToken(std::size_t index,
                                 const std::string& text,
                                 const std::string& token) {
    return SendAndWait(
        hosts_[index]->settings.listen.operators,
        {"POST",
         "/v1/query",
         {{"Host", "test"}, {"Authorization", "Bearer " + token}},
         text});
  }

  static std::string OutcomeHeader(const CallResult& result) {
    return FindHeader(result.response.headers, "Pathcleat-Outcome")
        .value_or("");
  }

  bool HasEvent(std::size_t index, EventCode code) {
    for (const Event& event : host(index).state().events.Snapshot()) {
      if (event.code == code) {
        return true;
      }
    }
    return false;
  }

  int TotalRuns() const {
    int runs = 0;
    for (const auto& upstream : upstreams_) {
      runs += upstream->ledger().runs;
    }
    return runs;
  }

  double SlotSeconds() const {
    double seconds = 0;
    for (const auto& upstream : upstreams_) {
      seconds += upstream->ledger().slot_seconds;
    }
    return seconds;
  }

  int RunsOf(const std::string& run_id) const {
    int runs = 0;
    for (const auto& upstream : upstreams_) {
      const auto& by_id = upstream->ledger().runs_by_id;
      const auto found = by_id.find(run_id);
      runs += found == by_id.end() ? 0 : found->second;
    }
    return runs;
  }

  void ForEachUpstream(const std::function<void(UpstreamStandIn&)>& step) {
    for (const auto& upstream : upstreams_) {
      step(*upstream);
    }
  }

  int InFlight() const {
    int in_flight = 0;
    for (const auto& upstream : upstreams_) {
      in_flight += upstream->in_flight();
    }
    return in_flight;
  }

 private:
  struct Host {
    explicit Host(EntrySettings entry_settings)
        : settings(std::move(entry_settings)) {}
    EntrySettings settings;
    StoreCallStats store_calls;
    std::unique_ptr<platform::PlatformTable> table;
    std::unique_ptr<ThrowingTableStore> store;
    std::unique_ptr<KeyedHasher> digester;
    std::unique_ptr<platform::FleetFeed> feed;
    std::unique_ptr<platform::RolloutStatusTable> rollouts;
    std::unique_ptr<Gateway> gateway;
  };

  template <class T>
  static void AssertListening(Result<T> result) {
    cr_assert(result.has_value(), "stand-in could not listen");
  }

  static std::string DomainName(std::size_t d) {
    return "domain-" + std::to_string(d);
  }
  static std::string RegionName(std::size_t d) {
    return "region-" + std::to_string(d);
  }

  std::string NextAddress() {
    return address_ + ":" + std::to_string(next_port_++);
  }

  RoutingConfig MakeConfig() const {
    Route common;
    common.sticky = true;
    common.max_attempts = 2;
    common.timeout = plan_.timeout;
    common.target_latency = plan_.target_latency;
    RoutingConfig config = MakeReadWriteConfig(common);
    config.caller_limits = plan_.caller_limits;
    return config;
  }

  void MakeUpstreams() {
    for (std::size_t d = 0; d < plan_.hosts_in_domain.size(); ++d) {
      for (int i = 0; i < plan_.upstreams_in_domain; ++i) {
        UpstreamInfo info;
        info.id = "upstream-" + std::to_string(d) + "-" + std::to_string(i);
        info.service = "s";
        info.address = address_ + ":" + std::to_string(next_port_);
        info.domain = DomainName(d);
        info.slots = plan_.slots;
        UpstreamStandInOptions options;
        options.id = info.id;
        options.headers = names_;
        options.slots = plan_.slots;
        options.mean_service_time = plan_.service_time;
        options.seed = next_port_;
        options.enforces_deadlines = plan_.upstreams_enforce_deadlines;
        upstreams_.push_back(std::make_unique<UpstreamStandIn>(loop_, options));
        AssertListening(upstreams_.back()->Listen(address_, next_port_++));
        if (plan_.upstreams_behind_proxies) {
          proxies_.push_back(std::make_unique<TcpProxy>(
              loop_, address_, *ParseTcpEndpoint(info.address)));
          info.address = proxies_.back()->address();
        }
        infos_.push_back(info);
        platform_.PutUpstream(info);
      }
    }
  }

  EntrySettings MakeSettings(std::size_t domain, int index) {
    EntrySettings settings;
    settings.host =
        "host-" + std::to_string(domain) + "-" + std::to_string(index);
    settings.domain = DomainName(domain);
    settings.region = RegionName(domain);
    for (std::size_t d = 0; d < plan_.hosts_in_domain.size(); ++d) {
      settings.region_of_domain[DomainName(d)] = RegionName(d);
    }
    settings.listen = {NextAddress(), NextAddress(), NextAddress(),
                       NextAddress(), NextAddress()};
    settings.peer_address = address_;
    settings.peer_port = next_port_++;
    settings.store_address = store_address_;
    settings.policy = plan_.policy;
    settings.bounds.stop_grace = plan_.stop_grace;
    settings.bounds.contact = plan_.contact;
    settings.bounds.revoke = plan_.revoke;
    settings.bounds.rollout = plan_.rollout_bounds;
    return settings;
  }

  boost::asio::io_context loop_{1};
  TestClusterPlan plan_;
  HeaderNames names_ = platform::PlatformHeaderNames();
  std::string address_ = UniqueLoopbackAddress();
  std::uint16_t next_port_ = 20'000;
  std::string store_address_;
  std::string isolated_store_address_;
  platform::PlatformStandIn platform_;
  /// Platform stand-in with other secrets than platform_.
  platform::PlatformStandIn isolated_platform_;
  RoutingConfig config_;
  std::vector<UpstreamInfo> infos_;
  std::vector<std::unique_ptr<UpstreamStandIn>> upstreams_;
  std::vector<std::unique_ptr<TcpProxy>> proxies_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

}  // namespace pathcleat
