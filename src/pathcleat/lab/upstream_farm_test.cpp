// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The control port through which other processes make upstream stand-ins slow.

#include "pathcleat/lab/upstream_farm.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "event_loop.hpp"
#include "header_names.hpp"
#include "raw_client.hpp"

namespace pathcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint16_t kUpstreamPort = 8001;
constexpr std::uint16_t kControlPort = 8500;
constexpr milliseconds kTail{300};

// A farm of one upstream, and a client of its control port.
struct OneUpstream {
  OneUpstream() {
    SilenceLog();
    deployment.upstreams.push_back({});
    Upstream& upstream = deployment.upstreams.back();
    upstream.name = "u-1";
    upstream.address = address;
    upstream.port = kUpstreamPort;
    upstream.slots = 2;
    farm = std::make_unique<UpstreamFarm>(loop, deployment,
                                          platform::PlatformHeaderNames(),
                                          std::chrono::microseconds(1'000));
    const bool listening = TryOr(
        [this]() -> Result<bool> {
          BOOST_LEAF_CHECK(farm->Listen());
          BOOST_LEAF_CHECK(farm->ListenControl(address, kControlPort));
          return true;
        },
        [](const Error&) { return false; });
    cr_assert(listening);
  }

  // Sends a GET; returns the answer when its last bytes have arrived.
  std::string Get(std::uint16_t port,
                  const std::string& target,
                  const std::string& last) {
    RawClient client(loop, address, port);
    client.Send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(WaitUntil(loop, [&] { return client.HasReceived(last); }));
    return client.received();
  }

  bool Set(const std::string& setting) {
    const std::string answer =
        Get(kControlPort, "/set/u-1/" + setting, "\r\n\r\n");
    return answer.find("HTTP/1.1 200") == 0;
  }

  milliseconds TimeOfRun() {
    const auto start = steady_clock::now();
    Get(kUpstreamPort, "/work", "\nend ");
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    start);
  }

  boost::asio::io_context loop;
  std::string address = UniqueLoopbackAddress();
  Deployment deployment;
  std::unique_ptr<UpstreamFarm> farm;
};

// Guards against a soak whose upstreams have no slow tail although it was
// ordered: stops that end work in progress would not be noticed.
Test(upstream_farm, tail_lasts_as_long_as_ordered_and_can_end) {
  OneUpstream fixture;
  cr_assert(fixture.Set("tail/1:300"));
  cr_assert_geq(fixture.TimeOfRun().count(), kTail.count());
  cr_assert(fixture.Set("tail/0:0"));
  cr_assert_lt(fixture.TimeOfRun().count(), kTail.count());
}

// Guards against a mistyped tail that is taken for none.
Test(upstream_farm, tail_that_cannot_be_read_is_refused) {
  OneUpstream fixture;
  for (const char* tail : {"", "1", "1:", ":300", "2:300", "-1:300", "nan:300",
                           "0.1:x", "0.1:1e9", "0.1:300ms"}) {
    cr_assert_not(fixture.Set(std::string("tail/") + tail), "%s", tail);
  }
}

}  // namespace
}  // namespace pathcleat
