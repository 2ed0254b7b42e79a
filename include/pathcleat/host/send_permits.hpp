// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

#include "pathcleat/core/index.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief For each seat the span of time in which this host may send on its
/// instances. Written by the control thread, checked by workers just before
/// each send. A process that was paused finds its permits run out, whatever
/// it believed before. Thread-safe without locks.
/// @ingroup host
class SendPermits {
 public:
  explicit SendPermits(std::size_t seats);

  void Set(SeatIndex seat, Time from, Time end);
  void Revoke(SeatIndex seat);
  bool MaySend(SeatIndex seat, Time now) const;

 private:
  struct Permit {
    std::atomic<Time::rep> from{0};
    std::atomic<Time::rep> end{0};
  };
  std::unique_ptr<Permit[]> permits_;
};

}  // namespace pathcleat
