// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

namespace pathcleat {

/// @brief Whether a request may have run. Each send counts as a run until it
/// is known that it was none, so that what is forgotten to be noted makes an
/// answer promise too little, and never too much.
/// @ingroup calls
class RunTracker {
 public:
  void OnSent() { ++sends_; }

  /// @brief A send was no run: no byte left this host, or the upstream says
  /// that it did not run it.
  void OnNotRun() { --sends_; }

  bool MayHaveRun() const { return sends_ > 0; }

 private:
  int sends_ = 0;  ///< not known to have been no run
};

}  // namespace pathcleat
