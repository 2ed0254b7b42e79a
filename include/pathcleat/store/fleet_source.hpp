// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/core/store_outcome.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/store/fleet_change.hpp"
#include "pathcleat/store/transfer.hpp"

namespace pathcleat {

/// @brief What a source tells of.
/// @ingroup store
enum class SourceTopic {
  kOrders,     ///< routing configuration and drains
  kUpstreams,  ///< the list of upstreams
};

/// @brief Stable lower-case name of a topic, for logs and metrics.
/// @ingroup store
inline const char* ToString(SourceTopic topic) {
  return topic == SourceTopic::kOrders ? "orders" : "upstreams";
}

/// @brief Answer to a read or a watch.
/// @ingroup store
struct SourceAnswer {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  std::vector<FleetChange> changes;
  std::uint64_t version = 0;  ///< watch from here on
  std::uint64_t newest_change_version =
      0;                  ///< version of the newest change told, or 0
  std::string next_page;  ///< for a read: the rest begins here, if any
  bool is_full = false;   ///< to a watch: the changes are all there is
  bool relayed = false;   ///< another host answered, not the store
  bool removals_uncertain = false;  ///< what is gone may have lapsed by itself
  Transfer transfer;                ///< how it came here
};

/// @brief Where a host learns the configuration, the drains and the list of
/// upstreams. Calls are asynchronous; each callback comes once.
/// @ingroup store
class FleetSource {
 public:
  using Callback = std::function<void(SourceAnswer)>;
  virtual ~FleetSource() = default;

  /// @brief One page of everything there is.
  /// @param from empty for the first page, else the last answer's next.
  virtual void Read(SourceTopic topic,
                    const std::string& from,
                    Callback callback) = 0;

  /// @brief What has changed after a version, as soon as anything has.
  virtual void Watch(SourceTopic topic,
                     std::uint64_t after,
                     Duration wait,
                     Callback callback) = 0;

  /// @brief Gives the watch of a topic up, if one is under way and can be: its
  /// callback does not come, and no more of its answer is taken.
  virtual void StopWatch(SourceTopic /*topic*/) {}

  /// @brief When bytes of a watch's answer last came, if any have.
  virtual std::optional<Time> WatchLastReceived(SourceTopic /*topic*/) const {
    return std::nullopt;
  }
};

}  // namespace pathcleat
