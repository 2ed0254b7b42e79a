// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/listen_probe.hpp"

#include <criterion/criterion.h>

#include <boost/asio/ip/address.hpp>

#include "event_loop.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;

constexpr Duration kTimeout{5'000'000};

tcp::endpoint MakeEndpoint() {
  constexpr std::uint16_t kPort = 20'000;
  return {boost::asio::ip::make_address(UniqueLoopbackAddress()), kPort};
}

Test(listen_probe, port_without_listener_refuses) {
  boost::asio::io_context loop;
  ListenProbe probe(loop);
  bool refused = false;
  probe.Probe(MakeEndpoint(), kTimeout, [&refused] { refused = true; });
  cr_assert(WaitUntil(loop, [&refused] { return refused; }));
}

Test(listen_probe, listening_process_does_not_count_as_ended) {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, MakeEndpoint());
  ListenProbe probe(loop);
  bool refused = false;
  probe.Probe(acceptor.local_endpoint(), kTimeout,
              [&refused] { refused = true; });
  bool accepted = false;
  acceptor.async_accept([&accepted](const boost::system::error_code& error,
                                    const tcp::socket&) { accepted = !error; });
  cr_assert(WaitUntil(loop, [&accepted] { return accepted; }));
  loop.restart();
  loop.run();
  cr_assert_not(refused);
}

// Guards against a callback into a destroyed host object.
Test(listen_probe, no_callback_after_the_probe_is_destroyed) {
  boost::asio::io_context loop;
  bool refused = false;
  {
    ListenProbe probe(loop);
    probe.Probe(MakeEndpoint(), kTimeout, [&refused] { refused = true; });
  }
  loop.run();
  cr_assert_not(refused);
}

}  // namespace
}  // namespace pathcleat
