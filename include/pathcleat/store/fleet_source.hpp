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

/// @brief Topics that a source reports.
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
  std::uint64_t version = 0;  ///< version from which to watch
  /// Version of the newest change in the answer, or 0.
  std::uint64_t newest_change_version = 0;
  /// For a read: start of the next page; empty: no more pages.
  std::string next_page;
  bool is_full = false;  ///< for a watch: `changes` is the complete state
  /// Whether the answer did not have the shape of the protocol, wholly or in
  /// the version of a row: the topic is to be read as a whole again.
  bool is_unreadable = false;
  bool relayed = false;  ///< whether another host answered instead of the store
  /// Whether entries missing from the answer may have expired instead of having
  /// been removed.
  bool removals_uncertain = false;
  Transfer transfer;  ///< size, origin and times of the answer
};

/// @brief Source from which a host reads the configuration, the drains and the
/// list of upstreams. Calls are asynchronous; each callback is called once.
/// @ingroup store
class FleetSource {
 public:
  using Callback = std::function<void(SourceAnswer)>;
  virtual ~FleetSource() = default;

  /// @brief Reads one page of the complete state of a topic.
  /// @param from empty for the first page, otherwise next_page of the previous
  /// answer.
  virtual void Read(SourceTopic topic,
                    const std::string& from,
                    Callback callback) = 0;

  /// @brief Waits for changes after a version and reports them as soon as they
  /// occur.
  /// @param wait time after which the watch is answered without changes.
  virtual void Watch(SourceTopic topic,
                     std::uint64_t after,
                     Duration wait,
                     Callback callback) = 0;

  /// @brief Cancels the watch of a topic, if one is in flight and the source
  /// supports it: its callback is not called, and the rest of its answer is
  /// discarded.
  virtual void StopWatch(SourceTopic /*topic*/) {}

  /// @brief When bytes of a watch's answer were last received; empty if never.
  virtual std::optional<Time> WatchLastReceived(SourceTopic /*topic*/) const {
    return std::nullopt;
  }
};

}  // namespace pathcleat
