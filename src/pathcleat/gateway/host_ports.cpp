// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/host_ports.hpp"

#include <algorithm>

#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;

// Port 0 selects any free port, so that it never overlaps.
bool Overlap(const tcp::endpoint& a, const tcp::endpoint& b) {
  const bool same_address = a.address() == b.address() ||
                            a.address().is_unspecified() ||
                            b.address().is_unspecified();
  return a.port() != 0 && a.port() == b.port() && same_address;
}

}  // namespace

Result<void> HostPorts::Add(HttpServer& server, const std::string& address) {
  if (address.empty()) {
    return {};
  }
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    return Fail({ErrorCode::kInvalid, "listen", address,
                 "expected an IP number and a port"});
  }
  const bool is_taken = std::any_of(servers_.begin(), servers_.end(),
                                    [&endpoint](const ServerPort& other) {
                                      return Overlap(other.endpoint, *endpoint);
                                    });
  if (is_taken) {
    return Fail({ErrorCode::kInvalid, "listen", address,
                 "two listeners of this host have this address"});
  }
  servers_.push_back({&server, *endpoint});
  return {};
}

void HostPorts::SetPeerAddress(const std::string& address, std::uint16_t port) {
  peer_address_ = address;
  peer_port_ = port;
}

Result<void> HostPorts::Open() {
  Result<void> opened = BindAndListen();
  if (!opened) {
    CloseAll();
  }
  return opened;
}

// No port listens before all are bound: a listener that is closed again would
// reset the connections that it got meanwhile.
Result<void> HostPorts::BindAndListen() {
  BOOST_LEAF_CHECK(BindAll());
  return ListenAtAll();
}

Result<void> HostPorts::BindAll() {
  for (const ServerPort& port : servers_) {
    BOOST_LEAF_CHECK(port.server->Bind(port.endpoint.address().to_string(),
                                       port.endpoint.port()));
  }
  return peer_link_.Bind(peer_address_, peer_port_);
}

Result<void> HostPorts::ListenAtAll() {
  for (const ServerPort& port : servers_) {
    BOOST_LEAF_CHECK(port.server->StartAccepting());
  }
  return {};
}

void HostPorts::CloseAll() {
  for (const ServerPort& port : servers_) {
    port.server->CloseListener();
  }
  peer_link_.Close();
}

}  // namespace pathcleat
