// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/lock_rank.hpp"

#include <cassert>

namespace pathcleat {
namespace {
// Bit r is set while this thread holds a lock of rank r.
thread_local unsigned held_ranks = 0;

unsigned Bit(LockRank rank) {
  return 1U << static_cast<unsigned>(rank);
}
}  // namespace

void RankedMutex::lock() {
  assert(held_ranks < Bit(rank_) &&
         "locks must be acquired in order of rising rank");
  mutex_.lock();
  held_ranks |= Bit(rank_);
}

void RankedMutex::unlock() {
  held_ranks &= ~Bit(rank_);
  mutex_.unlock();
}

}  // namespace pathcleat
