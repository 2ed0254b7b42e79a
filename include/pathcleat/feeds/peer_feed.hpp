// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/feeds/config_update.hpp"
#include "pathcleat/feeds/fleet_snapshot.hpp"
#include "pathcleat/feeds/snapshot_provider.hpp"
#include "pathcleat/fleet/peer_traffic.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_server.hpp"

namespace pathcleat {

/// @brief Whom a host asks.
/// @ingroup feeds
struct FeedPeer {
  std::string name;
  std::string address;  ///< IP number and port
};

/// @brief What another host answered.
/// @ingroup feeds
struct FeedResponse {
  FleetSnapshot snapshot;
  Transfer transfer;
};

/// @brief A question to another host.
/// @ingroup feeds
struct PeerFetch {
  FeedPeer peer;
  FeedRequest request;
  HttpClientPtr client;
};

using PeerFetchPtr = std::shared_ptr<const PeerFetch>;

/// @brief Passes what one host knows of the platform's tables on to others
/// (HTTP, sealed with the hosts' key), at once or as soon as it changes.
/// @ingroup feeds
class PeerFeed {
 public:
  /// Given nothing if the other host did not answer.
  using Handler = std::function<void(const std::optional<FeedResponse>&)>;

  /// @param events where failed transfers are told.
  /// @param traffic where the bytes are counted.
  /// @param tables what this host knows.
  PeerFeed(boost::asio::io_context& loop,
           EventLog& events,
           PeerTraffic& traffic,
           SnapshotProvider& tables);

  Result<void> Open(const std::string& address, std::uint16_t port);

  /// @brief The key that seals answers. Without it none is given or taken.
  void SetKey(const std::string& key) {
    key_ = key;
    kept_.clear();
  }

  /// @brief Answers the hosts that wait for news of a topic, if there are any.
  void Publish(SourceTopic topic);

  /// @brief Whether this host learns news from the store itself. While it
  /// does not, hosts that wait for news here are turned away: two hosts that
  /// wait for each other would learn nothing.
  void SetWatchingStore(bool first_hand);

  /// @brief Asks another host for what it knows beyond the request's version
  /// and the configuration in force here.
  /// @return the question, for Cancel; null if it cannot be asked.
  PeerFetchPtr Fetch(const FeedPeer& peer,
                     FeedRequest request,
                     Handler handler);

  /// @brief Ends a question that is not answered yet; its handler is not
  /// called any more.
  void Cancel(const PeerFetch& question, const std::string& reason);

 private:
  enum class PartUse : std::uint8_t { kComplete, kOvertaken, kUnusable };

  struct Waiting {
    HttpExchangePtr exchange;
    FeedRequest request;
    Time until;
  };

  // Hundreds of hosts ask for the same thing at one moment.
  struct KeptAnswer {
    FeedRequest request;
    std::uint64_t newest = 0;  ///< change in it
    std::string body;
    Time made;
  };

  void Handle(const HttpExchangePtr& exchange);
  const std::string& BodyOf(const FeedRequest& request);
  bool HasNews(const FeedRequest& request) const;
  void Answer(const HttpExchangePtr& exchange, const FeedRequest& request);
  std::optional<FeedResponse> TakeAnswer(const PeerFetch& question,
                                         const CallResult& result);
  void RecordFailure(const PeerFetch& question,
                     std::uint64_t bytes,
                     const std::string& reason);
  std::optional<FleetSnapshot> Open(const FeedRequest& request,
                                    const std::string& body);
  PartUse Complete(FleetSnapshot& snapshot);
  bool IsOvertaken(const ConfigUpdate& part) const;
  void Sweep();

  boost::asio::io_context& loop_;
  EventLog& events_;
  PeerTraffic& traffic_;
  SnapshotProvider& tables_;
  HttpServer server_;
  boost::asio::steady_timer sweep_timer_;
  std::vector<Waiting> waiting_;
  std::vector<KeptAnswer> kept_;  ///< encoded and sealed
  std::string key_;
  bool first_hand_ = false;
  bool wants_whole_ = false;  ///< a change could not be used: ask for the whole
};

}  // namespace pathcleat
