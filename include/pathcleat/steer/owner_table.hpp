// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <unordered_set>
#include <variant>
#include <vector>

#include "pathcleat/steer/refusal.hpp"
#include "pathcleat/steer/slot_table.hpp"
#include "pathcleat/steer/waiting_room.hpp"
#include "pathcleat/steer/work_item.hpp"

namespace pathcleat {

/// @brief A slot given to a request.
/// @ingroup steer
struct SlotGrant {
  RequestId id;
  SlotToken token;
};

/// @brief A request refused after it had waited.
/// @ingroup steer
struct RefusedWork {
  RequestId id;
  Refusal refusal;
};

/// @brief What follows from an event: work to start and work to refuse.
/// @ingroup steer
struct OwnerActions {
  std::vector<SlotGrant> grants;
  std::vector<RefusedWork> refusals;
};

/// @brief Load of one service at its owner, as told to other hosts.
/// @ingroup steer
struct PoolLoad {
  int slots = 0;
  int free = 0;
  int waiting = 0;
  Duration latency{0};
};

/// @brief Options of an OwnerTable; the defaults are what ships.
/// @ingroup steer
struct OwnerOptions {
  std::size_t max_waiting = 256;  ///< a service
  WaitingRoom::Order order = WaitingRoom::Order::kDeadline;
  bool refuse_late = true;  ///< refuse what cannot meet its deadline
};

/// @brief Decides what runs on the instances this host owns: exact slots, a
/// bounded waiting room a service, early refusal of what would be late, and
/// repeats dropped by request id. Time is an argument. Not thread-safe.
/// @ingroup steer
class OwnerTable {
 public:
  explicit OwnerTable(const OwnerOptions& options);

  /// @brief The slots; changes that free some are followed by Dispatch.
  SlotTable& slots() { return slots_; }
  const SlotTable& slots() const { return slots_; }

  /// @brief Takes a request on. Its grant or refusal is among the actions of
  /// this call or of a later one.
  OwnerActions Submit(const WorkItem& item, Time now);

  /// @brief Takes a waiting request out (its caller left).
  /// @return whether it was waiting.
  bool Cancel(const RequestId& id);

  /// @brief Gives a slot back and starts what may start.
  OwnerActions Release(const SlotToken& token,
                       SlotUse use,
                       Duration latency,
                       Time now);

  /// @brief Frees ended holds, refuses what has become late, starts the rest.
  OwnerActions Dispatch(Time now);

  /// @brief Refuses all that waits for services with no usable instance left.
  OwnerActions RefuseOrphans(Time now);

  PoolLoad Load(ServiceIndex service, Time now) const;

 private:
  WaitingRoom& RoomOf(ServiceIndex service);
  bool IsRepeat(const RequestId& id);
  bool WouldBeLate(const WorkItem& item, Time now);
  Duration ExpectedWait(const WorkItem& item,
                        std::size_t ahead,
                        Time now) const;
  double ShareLeftFor(const WorkItem& item) const;
  void CountGrant(const WorkItem& item, bool contended);
  void Refuse(OwnerActions& actions,
              const WorkItem& item,
              RefusalReason reason,
              Time now);
  void StartWaiting(OwnerActions& actions, Time now);

  OwnerOptions options_;
  SlotTable slots_;
  std::map<ServiceIndex, WaitingRoom> rooms_;
  /// Share of the slots that each priority has lately taken while work
  /// waited, by service; it decays towards nothing when none waits.
  std::map<ServiceIndex, std::array<double, kPriorityCount>> taken_;
  std::unordered_set<RequestId, RequestIdHash> seen_;
  std::deque<RequestId> seen_order_;
};

}  // namespace pathcleat
