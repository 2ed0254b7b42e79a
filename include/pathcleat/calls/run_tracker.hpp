// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

namespace pathcleat {

/// @brief Tracks whether a request may have run. Each send counts as a run
/// until OnNotRun is called. If that call is missing, a request that did not
/// run is reported as one that may have run, but never the other way round.
/// @ingroup calls
class RunTracker {
 public:
  void OnSent() { ++possible_runs_; }

  /// @brief Called when a send was certainly no run: no byte left this host, or
  /// the upstream said that it did not run the request.
  void OnNotRun() { --possible_runs_; }

  bool MayHaveRun() const { return possible_runs_ > 0; }

 private:
  int possible_runs_ = 0;  ///< sends that may have run
};

}  // namespace pathcleat
