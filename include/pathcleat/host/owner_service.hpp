// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/lock_rank.hpp"
#include "pathcleat/host/send_permits.hpp"
#include "pathcleat/settings/host_settings.hpp"
#include "pathcleat/steer/owner_table.hpp"
#include "pathcleat/wire/service_load.hpp"

namespace pathcleat {

/// @brief Outcome of a submission: a slot, or why there is none.
/// @ingroup host
using SlotDecision = std::variant<SlotToken, Refusal>;

/// @brief State of one owned upstream, for operators.
/// @ingroup host
struct OwnedUpstream {
  UpstreamIndex upstream;
  int in_flight = 0;
  bool leaving = false;
  bool healthy = true;
};

/// @brief The owner table shared by all workers of a host. Thread-safe; its
/// callbacks run in the thread of the context given with the submission.
/// @ingroup host
class OwnerService {
 public:
  using Callback = std::function<void(SlotDecision)>;

  OwnerService(const HostSettings& settings, EventLog& events);

  /// @brief Asks for a slot. Exactly one callback follows.
  void Submit(const WorkItem& item, QObject* context, Callback callback);

  /// @brief Takes back a submission that still waits.
  /// @return whether it did; then its callback does not come.
  bool Cancel(const RequestId& id);

  /// @brief A slot of one instance for a probe, if one is free.
  std::optional<SlotToken> AcquireForProbe(UpstreamIndex upstream);

  void Release(const SlotToken& token, SlotUse use, Duration latency);

  /// @brief Keeps a slot filled until a time, for want of a word from the
  /// upstream.
  void HoldUntil(const SlotToken& token, Time until);

  /// @brief Starts (or stops) filling the instances of a seat.
  void AddSeat(SeatIndex seat, Time usable_from);
  void RemoveSeat(SeatIndex seat);

  /// @brief Takes on no new work; what waits or runs is finished.
  void CloseForNew();

  /// @brief Whether nothing waits and no slot is held.
  bool IsIdle() const;

  /// @brief Requests in flight at the instances of a seat.
  int InFlightOfSeat(SeatIndex seat) const;

  void SetLeaving(UpstreamIndex upstream, LeavingSource source, bool leaving);
  void SetHealthy(UpstreamIndex upstream, bool healthy);

  /// @brief Periodic work: late requests are refused, ended holds freed.
  void Tick();

  PoolLoad Load(ServiceIndex service) const;
  std::vector<ServiceLoad> Loads() const;
  std::vector<OwnedUpstream> Owned() const;

  /// @brief The seat that an upstream belongs to.
  SeatIndex SeatOf(UpstreamIndex upstream) const;

  SendPermits& permits() { return permits_; }

 private:
  struct Pending {
    QObject* context = nullptr;
    Callback callback;
  };
  using Deliveries = std::vector<std::pair<Pending, SlotDecision>>;

  Deliveries Collect(const OwnerActions& actions);
  static void Deliver(const Deliveries& deliveries);
  std::vector<UpstreamIndex> UpstreamsOf(SeatIndex seat) const;
  void UpdateLimit();

  const HostSettings& settings_;
  EventLog& events_;
  std::vector<SeatIndex> seat_of_;
  std::vector<int> region_share_;
  SendPermits permits_;
  mutable RankedMutex mutex_{LockRank::kOwner};
  OwnerTable table_;
  std::set<SeatIndex> seats_;
  bool closed_ = false;
  std::unordered_map<RequestId, Pending, RequestIdHash> pending_;
};

}  // namespace pathcleat
