// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/core/error.hpp"
#include "pathcleat/fleet/peer_link.hpp"
#include "pathcleat/http/http_server.hpp"

namespace pathcleat {

/// @brief The ports of one host, which are opened all together or not at all,
/// so that a host never serves a part of its interfaces.
/// @ingroup gateway
class HostPorts {
 public:
  /// @param peer_link has the UDP port between hosts; must outlive this.
  explicit HostPorts(PeerLink& peer_link) : peer_link_(peer_link) {}

  /// @brief Adds a server, which must outlive this.
  /// @param address "IP:PORT"; empty: the server is not opened.
  /// @return kInvalid if the address is malformed, or if an earlier server has
  /// the same one, which Open would take for a port of another process.
  Result<void> Add(HttpServer& server, const std::string& address);

  /// @brief Sets the address of the UDP port between hosts.
  void SetPeerAddress(const std::string& address, std::uint16_t port);

  /// @brief Binds all ports, then listens at all. After a failure all are
  /// closed again, and no connection was accepted. The error is kInUse if
  /// another socket has one of the ports.
  Result<void> Open();

 private:
  struct ServerPort {
    HttpServer* server;
    boost::asio::ip::tcp::endpoint endpoint;
  };

  Result<void> BindAndListen();
  Result<void> BindAll();
  Result<void> ListenAtAll();
  void CloseAll();

  std::vector<ServerPort> servers_;
  PeerLink& peer_link_;
  std::string peer_address_;
  std::uint16_t peer_port_ = 0;
};

}  // namespace pathcleat
