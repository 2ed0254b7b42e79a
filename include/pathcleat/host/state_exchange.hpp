// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <QUdpSocket>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "pathcleat/core/error.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/wire/replay_guard.hpp"

namespace pathcleat {

/// @brief Traffic of the state messages, for measurements.
/// @ingroup host
struct StateTraffic {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
};

/// @brief Sends and takes the small state over UDP: heartbeats to siblings,
/// and to a few random hosts of other failure domains gossip of bounded size.
/// Control thread only.
/// @ingroup host
class StateExchange : public QObject {
 public:
  StateExchange(Shared& shared, QObject* parent);

  /// @brief Binds the peer port.
  Result<void> Bind();

  /// @brief Tells all siblings now; call every heartbeat period, and when
  /// something changed that should not wait.
  void SendHeartbeats();

  /// @brief Tells a few hosts of other failure domains now.
  void SendGossip();

  /// @brief What this host tells of itself in its heartbeats.
  struct OwnState {
    std::vector<SeatIndex> claims;
    bool has_host_list = false;
    std::vector<UpstreamIndex> listed_leaving;
  };
  void SetOwnStateSource(std::function<OwnState()> source);

  /// @brief A host's configuration version was heard.
  void OnPeerVersion(std::function<void(SeatIndex, std::uint64_t)> listener);

  /// @brief A sibling passed on the platform's host list.
  void OnHostList(std::function<void(const std::vector<UpstreamIndex>&)>);

  const StateTraffic& traffic() const { return traffic_; }

 private:
  Heartbeat MakeHeartbeat() const;
  Gossip MakeGossip();
  std::vector<SeatIndex> GossipTargets();
  void Send(SeatIndex seat, const std::variant<Heartbeat, Gossip>& body);
  void OnReadable();
  void OnDatagram(const std::string& bytes, const std::string& from);
  void Take(const StateMessage& message, const Heartbeat& heartbeat);
  void Take(const StateMessage& message, const Gossip& gossip);
  void ReportRejected(const std::string& from, const std::string& why);

  Shared& shared_;
  QUdpSocket socket_;
  ReplayGuard guard_;
  std::uint64_t sequence_ = 0;
  std::size_t gossip_turn_ = 0;
  Time last_rejection_;
  StateTraffic traffic_;
  std::mt19937_64 random_;
  std::function<OwnState()> own_state_;
  std::function<void(SeatIndex, std::uint64_t)> on_peer_version_;
  std::function<void(const std::vector<UpstreamIndex>&)> on_host_list_;
};

}  // namespace pathcleat
