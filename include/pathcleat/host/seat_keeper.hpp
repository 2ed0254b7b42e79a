// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "pathcleat/host/shared.hpp"
#include "pathcleat/platform/table_store.hpp"
#include "pathcleat/steer/seat_lease.hpp"

namespace pathcleat {

/// @brief Holds this host's seat, and dead siblings' seats, by leases in the
/// table service; starts and stops filling the seats' upstreams and keeps the
/// permits to send. Control thread only.
/// @ingroup host
class SeatKeeper : public QObject {
 public:
  SeatKeeper(Shared& shared, TableStore& store, QObject* parent);

  /// @brief Call every few tens of milliseconds.
  void Tick();

  /// @brief Finishes work and gives all seats back; see IsReleased.
  void BeginLeaving();

  /// @brief Whether no seat is held any more.
  bool IsReleased() const;

  /// @brief Seats that this host holds, or may hold by a claim whose outcome
  /// it does not know.
  std::vector<SeatIndex> Claims() const;

  /// @brief Who holds a seat, as last read, for operators.
  std::string DescribeSeat(SeatIndex seat) const;

  /// @brief Told the outcome of each store call.
  void OnStoreCall(std::function<void(StoreOutcome)> listener);

 private:
  struct Held {
    explicit Held(SeatLease seat_lease) : lease(std::move(seat_lease)) {}
    SeatLease lease;
    Time rival_seen;  ///< last time a sibling had a claim
    bool added = false;
    Time usable_from;  ///< as the owner service was told
    bool reported_serving = false;
    bool reported_alone = false;
  };

  bool Wants(SeatIndex seat, Time now) const;
  bool MayClaim(const SeatLease& lease, Time now) const;
  bool IsHandedOver(SeatIndex seat, const Held& held, Time now) const;
  void TickSeat(SeatIndex seat, Held& held, Time now);
  void ConsiderAlone(SeatIndex seat, Held& held, Time now);
  void UpdateServing(SeatIndex seat, Held& held, bool wants, Time now);
  void ReportState(SeatIndex seat, Held& held, Time now);
  void StopServing(SeatIndex seat, Held& held);
  void Ask(SeatIndex seat, Held& held, LeaseAction action);
  void Read(SeatIndex seat);
  void Write(SeatIndex seat);
  void Release(SeatIndex seat);
  void Told(StoreOutcome outcome);
  const std::string& NameOf(SeatIndex seat) const;

  Shared& shared_;
  TableStore& store_;
  bool leaving_ = false;
  std::map<SeatIndex, Held> seats_;
  std::function<void(StoreOutcome)> on_store_call_;
};

}  // namespace pathcleat
