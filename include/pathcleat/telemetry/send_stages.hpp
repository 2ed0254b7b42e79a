// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>

#include "pathcleat/core/histogram.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Stages between a change of the upstream list at the store and the
/// arrival of a request that goes by it. The remaining stage, the wait for the
/// event loop, is measured by LoopTurns.
/// @ingroup telemetry
enum class SendStage {
  /// From the first time that another host named a newer list until this host
  /// has that list. Lists that arrive before any other host names them do not
  /// count.
  kListBehind,
  kChoiceToSend,  ///< from the choice of an upstream to the first byte written
  /// From the first byte written to the first byte of the answer: the latest
  /// time at which the request can have arrived.
  kSendToAnswer,
};

/// @brief All stages.
/// @ingroup telemetry
inline constexpr std::array kSendStages = {
    SendStage::kListBehind, SendStage::kChoiceToSend, SendStage::kSendToAnswer};

/// @brief Name of the stage, as printed in the metrics.
/// @ingroup telemetry
const char* ToString(SendStage stage);

/// @brief Histograms of the time spent in each stage. Not thread-safe.
/// @ingroup telemetry
class SendStages {
 public:
  void Add(SendStage stage, Duration duration) {
    histograms_.at(static_cast<std::size_t>(stage)).Add(duration);
  }

  const Histogram& Of(SendStage stage) const {
    return histograms_.at(static_cast<std::size_t>(stage));
  }

 private:
  std::array<Histogram, kSendStages.size()> histograms_;
};

}  // namespace pathcleat
