// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

#include "pathcleat/gateway/fleet_snapshot.hpp"
#include "pathcleat/http/http_server.hpp"

namespace pathcleat {

/// @brief Gives other hosts what this one knows, and takes over from them
/// what this one cannot learn from the platform itself.
/// @ingroup gateway
class PeerSnapshots {
 public:
  using Reader = std::function<FleetSnapshot(SourceTopic)>;
  using Handler = std::function<void(const FleetSnapshot&)>;

  /// @param reader tells what this host knows.
  /// @param handler given each snapshot that was fetched.
  PeerSnapshots(boost::asio::io_context& loop, Reader reader, Handler handler);

  Result<void> Open(const std::string& address, std::uint16_t port);

  /// @brief The key that seals snapshots. Without it none is given or taken.
  void SetKey(const std::string& key) { key_ = key; }

  /// @brief Fetches a topic from a host; at most one at a time a topic.
  void Fetch(SourceTopic topic, const std::string& peer_address);

 private:
  void Handle(const ExchangePtr& exchange);
  void OnResult(SourceTopic topic, const std::string& body);

  boost::asio::io_context& loop_;
  Reader reader_;
  Handler handler_;
  HttpServer server_;
  std::string key_;
  std::map<SourceTopic, bool> fetching_;
};

}  // namespace pathcleat
