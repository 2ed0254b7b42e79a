// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/fleet/peer_traffic.hpp"
#include "pathcleat/gateway/fleet_snapshot.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_server.hpp"

namespace pathcleat {

/// @brief What one host asks another for.
/// @ingroup gateway
struct FeedRequest {
  SourceTopic topic = SourceTopic::kOrders;
  std::uint64_t after = 0;  ///< version known; 0: all there is
  Duration wait{0};         ///< for a change, if there is none yet
};

/// @brief Whom a host asks.
/// @ingroup gateway
struct FeedPeer {
  std::string name;
  std::string address;  ///< IP number and port
};

/// @brief What another host answered.
/// @ingroup gateway
struct FeedAnswer {
  FleetSnapshot snapshot;
  Transfer transfer;
};

/// @brief Passes what one host knows of the platform's tables on to others
/// (HTTP, sealed with the hosts' key), at once or as soon as it changes.
/// @ingroup gateway
class PeerFeed {
 public:
  /// Tells the version of the newest change that this host knows.
  using Newest = std::function<std::uint64_t(SourceTopic)>;
  /// Tells what this host knows beyond a version.
  using Reader = std::function<FleetSnapshot(SourceTopic, std::uint64_t after)>;
  /// Given nothing if the other host did not answer.
  using Handler = std::function<void(const std::optional<FeedAnswer>&)>;

  /// @param events where failed transfers are told.
  /// @param traffic where the bytes are counted.
  PeerFeed(boost::asio::io_context& loop,
           EventLog& events,
           PeerTraffic& traffic,
           Newest newest,
           Reader reader);

  Result<void> Open(const std::string& address, std::uint16_t port);

  /// @brief The key that seals answers. Without it none is given or taken.
  void SetKey(const std::string& key) { key_ = key; }

  /// @brief Answers the hosts that wait for news of a topic, if there are any.
  void Publish(SourceTopic topic);

  /// @brief Whether this host learns news from the store itself. While it
  /// does not, hosts that wait for news here are turned away: two hosts that
  /// wait for each other would learn nothing.
  void SetFirstHand(bool first_hand);

  /// @brief Asks another host.
  void Ask(const FeedPeer& peer, const FeedRequest& request, Handler handler);

 private:
  struct Waiting {
    ExchangePtr exchange;
    FeedRequest request;
    Time until;
  };

  void Handle(const ExchangePtr& exchange);
  bool HasNews(const FeedRequest& request) const;
  void Answer(const ExchangePtr& exchange, const FeedRequest& request);
  std::optional<FeedAnswer> TakeAnswer(const FeedPeer& peer,
                                       const FeedRequest& request,
                                       const CallResult& result);
  std::optional<FleetSnapshot> Open(const FeedRequest& request,
                                    const std::string& body) const;
  void Sweep();

  boost::asio::io_context& loop_;
  EventLog& events_;
  PeerTraffic& traffic_;
  Newest newest_;
  Reader reader_;
  HttpServer server_;
  boost::asio::steady_timer sweep_timer_;
  std::vector<Waiting> waiting_;
  std::string key_;
  bool first_hand_ = false;
};

}  // namespace pathcleat
