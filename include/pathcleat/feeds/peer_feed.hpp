// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/feeds/config_update.hpp"
#include "pathcleat/feeds/fleet_snapshot.hpp"
#include "pathcleat/feeds/snapshot_provider.hpp"
#include "pathcleat/fleet/peer_traffic.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_server.hpp"

namespace pathcleat {

/// @brief A host from which this host fetches data.
/// @ingroup feeds
struct FeedPeer {
  std::string name;
  std::string address;  ///< IP number and port
};

/// @brief A usable answer of another host.
/// @ingroup feeds
struct FeedResponse {
  FleetSnapshot snapshot;
  Transfer transfer;
};

/// @brief A fetch from another host that has not ended yet.
/// @ingroup feeds
struct PeerFetch {
  FeedPeer peer;
  FeedRequest request;
  HttpClientPtr client;
};

using PeerFetchPtr = std::shared_ptr<const PeerFetch>;

/// @brief Serves this host's copy of the platform's tables to other hosts and
/// fetches the copies of other hosts. A request is answered at once or, if it
/// waits for a change, as soon as the copy changes. Answers are sent by HTTP
/// and authenticated with the key that all hosts of the fleet share.
/// @ingroup feeds
class PeerFeed {
 public:
  /// Called with `std::nullopt` if the peer gave no usable answer.
  using Handler = std::function<void(const std::optional<FeedResponse>&)>;

  /// @param events log of failed transfers.
  /// @param traffic counts the bytes sent and received.
  /// @param provider the data that this host serves.
  PeerFeed(boost::asio::io_context& loop,
           EventLog& events,
           PeerTraffic& traffic,
           SnapshotProvider& provider);

  /// @brief Listens at an address, then starts: see Start.
  Result<void> Open(const std::string& address, std::uint16_t port);

  /// @brief Starts to answer the requests that wait, once the server listens.
  void Start() { Sweep(); }

  /// @brief Sets what handles the requests that carry a header, in place of
  /// this object.
  void SetHandler(std::string header, HttpExchangeHandler handler) {
    handled_header_ = std::move(header);
    handler_ = std::move(handler);
  }

  /// @brief The server for other hosts, to set its limits.
  HttpServer& server() { return server_; }

  /// @brief Sets the key that authenticates answers. Without a key no answer is
  /// sent or accepted.
  void SetKey(const std::string& key) {
    key_ = key;
    cached_answers_.clear();
  }

  /// @brief Answers the waiting requests for a topic that has changed since the
  /// version they name.
  void Publish(SourceTopic topic);

  /// @brief Sets whether this host watches the store itself. While it does not,
  /// requests that would wait for a change are rejected: two hosts that wait
  /// for each other would never receive a change.
  void SetWatchingStore(bool watching_store);

  /// @brief Fetches from another host the changes since the request's version
  /// and since the configuration in force on this host.
  /// @return the fetch, for Cancel; null if it could not be started. In that
  /// case the handler has already been called with `std::nullopt`.
  PeerFetchPtr Fetch(const FeedPeer& peer,
                     FeedRequest request,
                     Handler handler);

  /// @brief Cancels a fetch in flight; its handler is not called any more.
  /// @param reason logged with the failed transfer.
  void Cancel(const PeerFetch& fetch, const std::string& reason);

 private:
  enum class UpdateResult : std::uint8_t { kComplete, kSuperseded, kUnusable };

  struct WaitingRequest {
    HttpExchangePtr exchange;
    FeedRequest request;
    Time deadline;
  };

  // Answers are cached, as hundreds of hosts may send the same request at the
  // same moment.
  struct CachedAnswer {
    FeedRequest request;
    std::uint64_t newest = 0;  ///< version of the answer's newest change
    MessageBody body;
    Time encoded_at;
  };

  void Handle(const HttpExchangePtr& exchange);
  const MessageBody& AnswerBody(const FeedRequest& request);
  bool HasUpdates(const FeedRequest& request) const;
  void Answer(const HttpExchangePtr& exchange, const FeedRequest& request);
  std::optional<FeedResponse> HandleAnswer(const PeerFetch& fetch,
                                           const CallResult& result);
  void RecordFailure(const PeerFetch& fetch,
                     std::uint64_t bytes,
                     const std::string& reason);
  std::optional<FleetSnapshot> DecodeAnswer(const FeedRequest& request,
                                            std::string_view body);
  UpdateResult CompleteConfig(FleetSnapshot& snapshot);
  bool IsSuperseded(const ConfigUpdate& update) const;
  void Sweep();

  boost::asio::io_context& loop_;
  EventLog& events_;
  PeerTraffic& traffic_;
  SnapshotProvider& provider_;
  HttpServer server_;
  boost::asio::steady_timer sweep_timer_;
  std::vector<WaitingRequest> waiting_;
  std::vector<CachedAnswer> cached_answers_;  ///< encoded and authenticated
  std::string handled_header_;
  HttpExchangeHandler handler_;
  std::string key_;
  bool watching_store_ = false;
  bool needs_full_config_ = false;  ///< the last delta did not apply
};

}  // namespace pathcleat
