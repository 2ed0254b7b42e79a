// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The start of an entry host, as a process of its own, while other sockets hold
// its ports.

#include "pathcleat/http/http_client.hpp"
#include "platform_stand_in.hpp"

#include <criterion/criterion.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "event_loop.hpp"
#include "host_process.hpp"
#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_status.hpp"
#include "read_write_config.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr const char* kPortTaken = "PC1012";
constexpr const char* kPortsOpened = "PC1013";
constexpr const char* kStarted = "PC1001";
constexpr int kTcpPortCount = 6;
constexpr std::chrono::milliseconds kPollInterval{10};
// Ends the tests that write to a pipe which a host may never read.
constexpr double kTestTimeoutSeconds = 60;

bool WaitFor(const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kMaxWait{60};
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// The platform in a thread of this test, and the address of one host.
class Site {
 public:
  Site() : platform_(loop_, 1) {
    SilenceLog();
    cr_assert(platform_.Listen(address_, kStorePort).has_value());
    platform_.PutConfig(MakeReadWriteConfig({}));
    UpstreamInfo upstream;
    upstream.id = "upstream-a";
    upstream.service = "s";
    upstream.address = address_ + ":" + std::to_string(kUpstreamPort);
    upstream.domain = "domain-a";
    upstream.slots = 1;
    platform_.PutUpstream(upstream);
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~Site() {
    loop_.stop();
    thread_.join();
  }
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  HostProcessPlan MakePlan() const {
    HostProcessPlan plan;
    plan.address = address_;
    plan.port = kHostPort;
    plan.store_address = StoreAddress();
    return plan;
  }

  tcp::endpoint TcpPort(int index) const {
    return {boost::asio::ip::make_address(address_),
            static_cast<std::uint16_t>(kHostPort + index)};
  }
  udp::endpoint PeerDatagramPort() const {
    return {TcpPort(kTcpPortCount - 1).address(),
            TcpPort(kTcpPortCount - 1).port()};
  }
  tcp::endpoint StoreEndpoint() const {
    return {boost::asio::ip::make_address(address_), kStorePort};
  }

  bool IsReady(HostProcess& host) const {
    return StatusAt(host.readiness(), "/v1/ready") == http_status::kOk;
  }

  // 0 if nothing answers.
  int StatusAt(std::uint16_t port, const std::string& path) const {
    boost::asio::io_context loop{1};
    const auto client = std::make_shared<HttpClient>(
        loop, *ParseTcpEndpoint(address_ + ":" + std::to_string(port)),
        HttpLimits());
    bool done = false;
    int status = 0;
    client->Send({"GET", path, {{"Host", "test.example"}}, ""},
                 {std::chrono::seconds(2), std::chrono::seconds(2)},
                 [&](const CallResult& result) {
                   status = result.response.status;
                   done = true;
                 });
    cr_assert(WaitUntil(loop, [&] { return done; }));
    client->Cancel();
    return status;
  }

 private:
  static constexpr std::uint16_t kStorePort = 20'000;
  static constexpr std::uint16_t kUpstreamPort = 20'001;
  static constexpr std::uint16_t kHostPort = 20'010;

  std::string StoreAddress() const {
    return address_ + ":" + std::to_string(kStorePort);
  }

  boost::asio::io_context loop_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_ = boost::asio::make_work_guard(loop_);
  std::string address_ = UniqueLoopbackAddress();
  platform::PlatformStandIn platform_;
  std::thread thread_;
};

std::string TextOf(const tcp::endpoint& port) {
  return port.address().to_string() + ":" + std::to_string(port.port());
}

// Waits until a host has said that it waits for a port, and checks that it
// serves nothing meanwhile: its ports that are free refuse connections.
void ExpectWaiting(Site& site, HostProcess& host, const tcp::endpoint& taken) {
  cr_assert(WaitFor(
      [&] { return !host.IsAlive() || host.CountLogLines(kPortTaken) > 0; }));
  cr_assert(host.IsAlive(), "the host ended, exit code %d: %s", host.ExitCode(),
            host.LogTail().c_str());
  cr_expect_gt(host.CountLogLines(TextOf(taken)), 0);
  for (int index = 0; index < kTcpPortCount; ++index) {
    const tcp::endpoint port = site.TcpPort(index);
    if (port != taken) {
      cr_expect_eq(site.StatusAt(port.port(), "/v1/ready"), 0);
    }
  }
  cr_expect_eq(host.CountLogLines(kStarted), 0);
}

void ExpectStarts(Site& site, HostProcess& host) {
  cr_assert(WaitFor([&] { return !host.IsAlive() || site.IsReady(host); }));
  cr_assert(host.IsAlive(), "the host ended, exit code %d: %s", host.ExitCode(),
            host.LogTail().c_str());
  cr_assert(site.IsReady(host));
  cr_assert(WaitFor([&] { return host.CountLogLines(kStarted) == 1; }));
  cr_expect_eq(host.CountLogLines(kPortTaken), 1);
  cr_expect_eq(host.CountLogLines(kPortsOpened), 1);
  cr_expect_eq(host.CountLogLines("host-stood-still"), 0);
}

// Guards against a host that ends as another process listens at one of its
// ports.
Test(host_start, port_of_a_listener_is_awaited) {
  Site site;
  for (int index = 0; index < kTcpPortCount; ++index) {
    boost::asio::io_context loop;
    tcp::acceptor holder(loop, site.TcpPort(index));
    HostProcess host(site.MakePlan());
    ExpectWaiting(site, host, site.TcpPort(index));
    holder.close();
    ExpectStarts(site, host);
  }
}

// Guards against a host that gives up after a few attempts, or that takes the
// time for which it waited for a stall of its machine.
Test(host_start, port_that_is_held_for_long_is_awaited) {
  constexpr std::chrono::milliseconds kHoldTime{2'500};
  Site site;
  boost::asio::io_context loop;
  tcp::acceptor holder(loop, site.TcpPort(0));
  HostProcess host(site.MakePlan());
  ExpectWaiting(site, host, site.TcpPort(0));
  std::this_thread::sleep_for(kHoldTime);
  cr_expect(host.IsAlive());
  cr_expect_eq(host.CountLogLines(kPortTaken), 1);
  holder.close();
  ExpectStarts(site, host);
}

// Guards against a host that ends as an outgoing connection of another process
// has one of its ports as local port.
Test(host_start, port_of_an_outgoing_connection_is_awaited) {
  Site site;
  for (int index = 0; index < kTcpPortCount; ++index) {
    boost::asio::io_context loop;
    tcp::socket connection(loop);
    connection.open(tcp::v4());
    connection.bind(site.TcpPort(index));
    connection.connect(site.StoreEndpoint());
    HostProcess host(site.MakePlan());
    ExpectWaiting(site, host, site.TcpPort(index));
    // Closed by a reset, as a port of a connection that was closed in order
    // stays taken for a minute.
    connection.set_option(boost::asio::socket_base::linger(true, 0));
    connection.close();
    ExpectStarts(site, host);
  }
}

// Guards against a host that ends as its datagram port is taken.
Test(host_start, datagram_port_is_awaited) {
  Site site;
  boost::asio::io_context loop;
  udp::socket holder(loop, site.PeerDatagramPort());
  HostProcess host(site.MakePlan());
  cr_assert(WaitFor(
      [&] { return !host.IsAlive() || host.CountLogLines(kPortTaken) > 0; }));
  cr_assert(host.IsAlive(), "the host ended, exit code %d: %s", host.ExitCode(),
            host.LogTail().c_str());
  for (int index = 0; index < kTcpPortCount; ++index) {
    cr_expect_eq(site.StatusAt(site.TcpPort(index).port(), "/v1/ready"), 0);
  }
  holder.close();
  ExpectStarts(site, host);
}

// Guards against a host that ends as its predecessor is in its grace, and
// against two processes that share a listener.
Test(host_start, predecessor_in_its_grace_is_awaited) {
  constexpr std::uint32_t kGraceMs = 3'000;
  Site site;
  HostProcessPlan plan = site.MakePlan();
  plan.stop_grace_ms = kGraceMs;
  HostProcess predecessor(plan);
  cr_assert(WaitFor([&] { return site.IsReady(predecessor); }));
  // A stopping host without connections ends at once.
  boost::asio::io_context loop;
  tcp::socket caller(loop);
  caller.connect(site.TcpPort(0));
  predecessor.Signal(SIGTERM);
  cr_assert(WaitFor([&] { return !site.IsReady(predecessor); }));
  HostProcess host(plan);
  while (predecessor.IsAlive()) {
    cr_assert(host.IsAlive(), "the host ended, exit code %d: %s",
              host.ExitCode(), host.LogTail().c_str());
    std::this_thread::sleep_for(kPollInterval);
  }
  cr_expect_eq(predecessor.ExitCode(), 0);
  cr_assert(WaitFor([&] { return !host.IsAlive() || site.IsReady(host); }));
  cr_assert(host.IsAlive(), "the host ended: %s", host.LogTail().c_str());
  cr_expect_geq(host.CountLogLines(kPortTaken), 1);
  cr_expect(WaitFor([&] { return host.CountLogLines(kPortsOpened) == 1; }));
}

// Guards against a host that cannot be stopped while it waits for a port, or
// that fails then.
Test(host_start, stop_while_a_port_is_awaited) {
  Site site;
  boost::asio::io_context loop;
  const tcp::acceptor holder(loop, site.TcpPort(0));
  HostProcess host(site.MakePlan());
  ExpectWaiting(site, host, site.TcpPort(0));
  const auto begin = std::chrono::steady_clock::now();
  host.Signal(SIGTERM);
  cr_assert(WaitFor([&] { return !host.IsAlive(); }));
  cr_expect_lt((std::chrono::steady_clock::now() - begin).count(),
               std::chrono::nanoseconds(std::chrono::seconds(2)).count());
  cr_expect_eq(host.ExitCode(), 0);
}

// Guards against settings read anew that end the wait or open a part of the
// ports.
Test(host_start, reload_while_a_port_is_awaited) {
  Site site;
  boost::asio::io_context loop;
  tcp::acceptor holder(loop, site.TcpPort(2));
  HostProcess host(site.MakePlan());
  ExpectWaiting(site, host, site.TcpPort(2));
  host.Signal(SIGHUP);
  cr_assert(WaitFor([&] {
    return !host.IsAlive() || host.CountLogLines("settings-reloaded") == 1;
  }));
  ExpectWaiting(site, host, site.TcpPort(2));
  holder.close();
  ExpectStarts(site, host);
}

// Guards against a host that waits for a port that it can never have: 192.0.2.1
// is reserved for documentation and no address of this machine.
Test(host_start, foreign_address_ends_the_process) {
  const Site site;
  HostProcessPlan plan = site.MakePlan();
  plan.address = "192.0.2.1";
  HostProcess host(plan);
  cr_assert(WaitFor([&] { return !host.IsAlive(); }));
  cr_expect_eq(host.ExitCode(), 1);
  cr_expect_eq(host.CountLogLines("listen (192.0.2.1:"), 1, "%s",
               host.LogTail().c_str());
}

// Guards against a host that is ended by SIGHUP before it has started.
Test(host_start, reload_before_the_start, .timeout = kTestTimeoutSeconds) {
  Site site;
  HostProcessPlan plan = site.MakePlan();
  plan.settings_from_pipe = true;
  HostProcess host(plan);
  host.WriteSettings(SIGHUP);
  // A host that listens has closed the pipe.
  boost::asio::io_context loop;
  cr_assert(WaitFor([&] {
    boost::system::error_code error;
    tcp::socket(loop).connect(site.TcpPort(0), error);
    return !error || !host.IsAlive();
  }));
  cr_assert(host.IsAlive(), "the host ended: %s", host.LogTail().c_str());
  host.WriteSettings();
  cr_assert(
      WaitFor([&] { return host.CountLogLines("settings-reloaded") == 1; }));
  cr_assert(WaitFor([&] { return site.IsReady(host); }));
}

// Guards against a host that is ended by SIGTERM before it has started, in
// place of a planned stop with exit code 0.
Test(host_start, stop_before_the_start, .timeout = kTestTimeoutSeconds) {
  const Site site;
  HostProcessPlan plan = site.MakePlan();
  plan.settings_from_pipe = true;
  plan.stop_grace_ms = 2'000;
  HostProcess host(plan);
  host.WriteSettings(SIGTERM);
  cr_assert(WaitFor([&] { return !host.IsAlive(); }));
  cr_expect_eq(host.ExitCode(), 0);
}

// Guards against a host that waits for a port that it has itself.
Test(host_start, address_of_two_listeners_ends_the_process) {
  const Site site;
  HostProcessPlan plan = site.MakePlan();
  plan.locate_index = 1;
  HostProcess host(plan);
  cr_assert(WaitFor([&] { return !host.IsAlive(); }));
  cr_expect_eq(host.ExitCode(), 1);
  cr_expect_eq(host.CountLogLines("two listeners of this host"), 1, "%s",
               host.LogTail().c_str());
}

}  // namespace
}  // namespace pathcleat
