// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/listen_probe.hpp"

#include <criterion/criterion.h>

#include <boost/asio/ip/address.hpp>

#include "event_loop.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;

constexpr Duration kTimeout{5'000'000};

tcp::endpoint Endpoint() {
  constexpr std::uint16_t kPort = 20'000;
  return {boost::asio::ip::make_address(UniqueLoopbackAddress()), kPort};
}

Test(listen_probe, port_where_nobody_listens_refuses) {
  boost::asio::io_context loop;
  ListenProbe probe(loop);
  bool refused = false;
  probe.Probe(Endpoint(), kTimeout, [&refused] { refused = true; });
  cr_assert(WaitUntil(loop, [&refused] { return refused; }));
}

Test(listen_probe, process_that_listens_does_not_count_as_ended) {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, Endpoint());
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

// Guards against a callback into a host that is gone.
Test(listen_probe, nothing_is_called_once_the_probe_is_gone) {
  boost::asio::io_context loop;
  bool refused = false;
  {
    ListenProbe probe(loop);
    probe.Probe(Endpoint(), kTimeout, [&refused] { refused = true; });
  }
  loop.run();
  cr_assert_not(refused);
}

}  // namespace
}  // namespace pathcleat
