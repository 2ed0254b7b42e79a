// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "pathcleat/core/index.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief One slot of one instance, held until it is released.
/// @ingroup steer
struct SlotToken {
  UpstreamIndex upstream;
  std::uint64_t serial = 0;
};

/// @brief How a held slot came free.
/// @ingroup steer
enum class SlotUse {
  kAnswered,  ///< a whole answer came; its latency is believed
  kFailed,    ///< the upstream let go without an answer
  kUnused,    ///< nothing was sent
};

/// @brief Who says that an instance is leaving; it is, while any does.
/// @ingroup steer
enum class LeavingSource : unsigned {
  kOperator = 1,  ///< the configuration
  kUpstream = 2,  ///< the instance itself, in an answer or a probe
  kHostList = 4,  ///< the platform's list
};

/// @brief What an owner can say of its instances of one service.
/// @ingroup steer
struct SlotSummary {
  int slots = 0;        ///< usable now
  int free = 0;         ///< usable and not in use
  Duration latency{0};  ///< typical time from send to answer
};

/// @brief Counts, exactly, the slots of the instances this host owns. No
/// decision from it can put more work on an instance than it has slots.
/// A cold instance is filled step by step (slow start). Not thread-safe.
/// @ingroup steer
class SlotTable {
 public:
  /// @brief Takes an instance on; none of its slots is given before usable.
  void Add(UpstreamIndex upstream,
           ServiceIndex service,
           int slots,
           Time usable_from);

  /// @brief Stops giving an instance's slots. Held ones stay held.
  void Remove(UpstreamIndex upstream);

  /// @brief A leaving or failed instance gets nothing new. Who leaves is kept
  /// for instances that are not owned too, so that a new owner knows it from
  /// its first moment.
  void SetLeaving(UpstreamIndex upstream, LeavingSource source, bool leaving);
  void SetHealthy(UpstreamIndex upstream, bool healthy);

  /// @brief Bound on all slots held at once (a region's share); no bound if
  /// it has no value.
  void SetTotalLimit(std::optional<int> limit) { total_limit_ = limit; }

  /// @brief A free slot of the least filled usable instance.
  std::optional<SlotToken> Acquire(ServiceIndex service, Time now);

  /// @brief A free slot of one instance, for a probe.
  std::optional<SlotToken> AcquireAt(UpstreamIndex upstream, Time now);

  /// @brief Gives a slot back; a second call for the same token does nothing.
  void Release(const SlotToken& token, SlotUse use, Duration latency);

  /// @brief Keeps a slot filled until released or until the given time.
  void HoldUntil(const SlotToken& token, Time until);

  /// @brief Frees slots whose hold has ended.
  void Expire(Time now);

  SlotSummary Summary(ServiceIndex service, Time now) const;

  /// @brief Slots of an instance held now.
  int InFlight(UpstreamIndex upstream) const;
  int TotalInFlight() const { return static_cast<int>(held_.size()); }
  bool Owns(UpstreamIndex upstream) const;
  bool IsLeaving(UpstreamIndex upstream) const;
  bool IsHealthy(UpstreamIndex upstream) const;
  std::vector<UpstreamIndex> Owned() const;

  /// @brief Instances of a service that may be given work, free or not.
  int UsableInstances(ServiceIndex service, Time now) const;

 private:
  struct Instance {
    ServiceIndex service;
    int slots = 0;
    int in_flight = 0;
    int window = 1;  ///< slow start: slots that may be used now
    Time usable_from;
    bool owned = true;
    bool healthy = true;
  };
  struct Held {
    UpstreamIndex upstream;
    std::optional<Time> until;
  };

  bool IsUsable(UpstreamIndex upstream,
                const Instance& instance,
                Time now) const;
  int Free(UpstreamIndex upstream, const Instance& instance, Time now) const;
  bool AtTotalLimit() const;
  SlotToken Take(UpstreamIndex upstream, Instance& instance);
  void Learn(Instance& instance, Duration latency);

  std::map<UpstreamIndex, Instance> instances_;
  std::map<UpstreamIndex, unsigned> leaving_;  ///< sources that say so
  std::unordered_map<std::uint64_t, Held> held_;
  std::map<ServiceIndex, Duration> latency_;
  std::uint64_t next_serial_ = 1;
  std::optional<int> total_limit_;
};

}  // namespace pathcleat
