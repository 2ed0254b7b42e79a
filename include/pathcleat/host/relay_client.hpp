// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "pathcleat/host/run.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/wire/peer_link.hpp"

namespace pathcleat {

/// @brief One worker's connections to other hosts, over which it relays
/// requests. A request is written at most once; if its link ends after that,
/// its outcome is unknown.
/// @ingroup host
class RelayClient : public QObject {
 public:
  RelayClient(Shared& shared, QObject* parent);

  /// @brief Relays a request to a host.
  /// @param at_owner whether that host must run it itself.
  RunHandlePtr Run(SeatIndex seat,
                   bool at_owner,
                   const RunRequestPtr& request,
                   RunCallback callback);

 private:
  class Handle;
  struct Waiting {
    RunCallback callback;
    RunRequestPtr request;
  };
  struct Channel {
    PeerLink* link = nullptr;
    std::unordered_map<RequestId, Waiting, RequestIdHash> waiting;
  };

  Channel& ChannelTo(SeatIndex seat);
  void OnMessage(SeatIndex seat, PeerMessage message);
  void OnClosed(SeatIndex seat, const Error& error);
  void OnDeadline(SeatIndex seat, const RequestId& id);
  void Cancel(SeatIndex seat, const RequestId& id);

  Shared& shared_;
  std::map<SeatIndex, Channel> channels_;
};

}  // namespace pathcleat
