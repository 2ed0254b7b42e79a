// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/run_loop.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace pathcleat {
namespace {

using std::chrono::milliseconds;

// A loop that ran for this long since its last exception is sound.
constexpr Duration kSoundTime{100'000};
// Pauses begin once this many exceptions have followed each other at once: a
// few at the same time may well have different causes.
constexpr int kMaxAtOnce = 8;
constexpr milliseconds kFirstPause{1};
// All requests of the host wait meanwhile, so the pause stays short.
constexpr milliseconds kMaxPause{100};

milliseconds PauseAfter(int failures_at_once) {
  constexpr int kMaxDoublings = 7;
  const int excess = failures_at_once - kMaxAtOnce;
  if (excess <= 0) {
    return milliseconds::zero();
  }
  return std::min(kMaxPause,
                  kFirstPause * (1 << std::min(excess - 1, kMaxDoublings)));
}

}  // namespace

void RunLoop(boost::asio::io_context& loop, HandlerFailures& failures) {
  int failures_at_once = 0;
  while (true) {
    const Time started_at = BootClock::now();
    if (failures.Run(EntryPoint::kEventLoop, "", [&loop] { loop.run(); })) {
      return;
    }
    const bool was_sound = BootClock::now() - started_at >= kSoundTime;
    failures_at_once = was_sound ? 1 : failures_at_once + 1;
    std::this_thread::sleep_for(PauseAfter(failures_at_once));
  }
}

}  // namespace pathcleat
