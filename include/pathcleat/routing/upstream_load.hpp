// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "pathcleat/core/time.hpp"
#include "pathcleat/routing/average_load.hpp"

namespace pathcleat {

/// @brief What an upstream tells of its load in an answer.
/// @ingroup routing
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// @brief Estimates the requests at an upstream from this host's own count
/// and from reports that grow old. The part of a report that others caused
/// fades; the own part is always exact.
/// @ingroup routing
class UpstreamLoad {
 public:
  /// @brief Whether the usual load by others is remembered once a report has
  /// grown old; without it, no load is assumed.
  void SetRememberUsual(bool remember) { remember_usual_ = remember; }

  /// @brief Takes a part in an average over upstreams, which is assumed where
  /// this one's reports have grown old.
  void SetSharedAverage(std::shared_ptr<AverageLoad> average) {
    average_ = std::move(average);
  }

  void OnSent() { ++own_; }
  void OnEnded() { --own_; }

  /// @brief A report came with an answer; call before OnEnded.
  void OnReport(const LoadReport& report, Time now);

  int own_in_flight() const { return own_; }

  /// @brief Expected requests running or waiting there now, from all hosts.
  double ExpectedRequests(Time now) const;

  /// @brief The same by what this upstream itself told, without the average of
  /// others: few that are busy would else move all that told nothing of late.
  double ExpectedFromReports(Time now) const;

 private:
  double AgeMicros(Time now) const;
  double OwnUsualAt(Time now) const;
  double UsualAt(Time now) const;
  double With(double usual, Time now) const;

  bool remember_usual_ = true;
  int own_ = 0;
  double usual_ = 0;              ///< requests of others, on average of late
  double others_ = 0;             ///< at reported_
  std::optional<Time> reported_;  ///< the last report
  std::shared_ptr<AverageLoad> average_;  ///< may be null: no load
};

}  // namespace pathcleat
