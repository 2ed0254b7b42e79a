// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// A host that receives heartbeats with a newer configuration version and cannot
// fetch it.

#include "test_cluster.hpp"

#include <boost/asio/ip/udp.hpp>

#include "pathcleat/fleet/heartbeat.hpp"
#include "pathcleat/fleet/peer_datagram.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::udp;

constexpr std::uint64_t kNewerVersion = 9;

// A peer that announces a newer configuration version and answers no request.
class NewerPeer {
 public:
  explicit NewerPeer(TestCluster& cluster)
      : cluster_(cluster),
        socket_(cluster.loop(), udp::endpoint(udp::v4(), 0)) {}

  /// @param age time since which the peer has had the newer version.
  void SendHeartbeat(std::size_t host, Duration age = Duration(0)) {
    Gateway& receiver = cluster_.host(host);
    const HostInfo& self = receiver.state().hosts.self();
    Heartbeat heartbeat;
    heartbeat.host.name = "herald";
    heartbeat.host.incarnation = 1;
    heartbeat.host.domain = self.domain;
    heartbeat.host.region = self.region;
    heartbeat.host.peer_address = cluster_.address() + ":1";
    heartbeat.versions.config = kNewerVersion;
    heartbeat.versions.config_age_ms =
        static_cast<std::uint32_t>(ToMilliseconds(age));
    const std::string bytes =
        SealDatagram(DatagramKind::kHeartbeat, EncodeHeartbeat(heartbeat),
                     receiver.secrets().peer_key());
    const auto to = ParseTcpEndpoint(self.peer_address);
    socket_.send_to(boost::asio::buffer(bytes),
                    udp::endpoint(to->address(), to->port()));
  }

 private:
  TestCluster& cluster_;
  udp::socket socket_;
};

void PublishNewer(TestCluster& cluster) {
  cluster.config().version = kNewerVersion;
  cluster.platform().PutConfig(cluster.config());
}

// Guards against hosts that continue to use an older version although every
// heartbeat announces a newer version: requests bound to regions reached an
// upstream outside these regions 3.0 and 4.6 s after the configuration that
// binds them.
Test(config_behind, host_long_behind_its_peers_refuses) {
  TestCluster cluster;
  cluster.StartAll();
  NewerPeer newer_peer(cluster);
  int run = 0;
  cr_assert(cluster.Await([&] {
    newer_peer.SendHeartbeat(0);
    const auto result = cluster.Get(0, "r" + std::to_string(++run));
    return result.response.status == http_status::kUnavailable;
  }));
  cr_assert_gt(run, 1, "the host serves by its own version at first");
  PublishNewer(cluster);
  cr_assert(cluster.Await([&] {
    newer_peer.SendHeartbeat(0);
    const auto result = cluster.Get(0, "r" + std::to_string(++run));
    return result.response.status == http_status::kOk;
  }));
}

// After a freeze or a partition a host first receives a newer version long
// after its peers applied the version. The host measures its lag by the age
// that the peers report, so it refuses requests at once. If the host measured
// the lag from the first heartbeat, the lag would stay within the bound until
// the announcement expires. Fails if FleetSync::OnPeerVersions ignores the age.
Test(config_behind,
     version_long_applied_at_peers_makes_the_host_refuse_at_once) {
  TestCluster cluster;
  cluster.StartAll();
  NewerPeer newer_peer(cluster);
  const Duration age{60'000'000};
  newer_peer.SendHeartbeat(0, age);
  cr_assert(cluster.Await([&] { return !cluster.host(0).IsReady(); }));
  int run = 0;
  cr_assert(cluster.Await([&] {
    newer_peer.SendHeartbeat(0, age);
    return cluster.Get(0, "r" + std::to_string(++run)).response.status ==
           http_status::kUnavailable;
  }));
  PublishNewer(cluster);
  cr_assert(cluster.Await([&] { return cluster.host(0).IsReady(); }));
}

// Fails if FleetSync::ApplyConfig does not set routes_applied_at.
Test(config_behind, heartbeats_report_the_age_of_the_applied_version) {
  TestCluster cluster;
  cluster.StartAll();
  const auto age = [&] {
    return std::chrono::milliseconds(cluster.host(0).Versions().config_age_ms);
  };
  constexpr std::chrono::milliseconds kMinAge{50};
  cr_assert(cluster.Await([&] { return age() > kMinAge; }));
  const Time put = BootClock::now();
  PublishNewer(cluster);
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).Versions().config == kNewerVersion; }));
  const Duration reported = age();
  cr_assert(reported <= BootClock::now() - put);
}

// The newer version may contain the route, so the host answers 503 in place of
// 404.
Test(config_behind,
     unknown_route_is_not_denied_while_a_peer_has_a_newer_version) {
  TestCluster cluster;
  cluster.StartAll();
  NewerPeer newer_peer(cluster);
  HttpRequest request = cluster.GetRequest("r");
  request.target = "/added/later";
  const auto status = [&] {
    return cluster.SendToHost(0, request).response.status;
  };
  cr_assert_eq(status(), http_status::kNotFound);
  cr_assert(cluster.Await([&] {
    newer_peer.SendHeartbeat(0);
    return status() == http_status::kUnavailable;
  }));
  cr_assert_eq(cluster.Get(0, "known").response.status, http_status::kOk);
  PublishNewer(cluster);
  cr_assert(cluster.Await([&] { return status() == http_status::kNotFound; }));
}

// A newer version that no live peer announces any more does not block a host:
// hosts cut off from the rest keep serving by the configuration that they have.
Test(config_behind, host_without_newer_peers_keeps_serving) {
  TestCluster cluster;
  cluster.StartAll();
  NewerPeer newer_peer(cluster);
  int run = 0;
  const auto status = [&] {
    return cluster.Get(0, "r" + std::to_string(++run)).response.status;
  };
  cr_assert(cluster.Await([&] {
    newer_peer.SendHeartbeat(0);
    return status() == http_status::kUnavailable;
  }));
  cr_assert(cluster.Await([&] { return status() == http_status::kOk; }));
}

}  // namespace
}  // namespace pathcleat
