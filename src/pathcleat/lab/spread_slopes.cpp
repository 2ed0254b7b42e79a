// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include <algorithm>
#include <cmath>
#include <random>

#include "pathcleat/lab/slope.hpp"

namespace pathcleat {
namespace {

constexpr int kFanout = 2;
constexpr int kHostsInDomain = 15;

// Heartbeat rounds until a version that one host has is known to all: each
// round a host tells its siblings and two random others, as StateExchange
// does; those that hear pull the change before the next round.
int RoundsToAll(int hosts, std::mt19937_64& random) {
  std::vector<bool> knows(static_cast<std::size_t>(hosts), false);
  knows[random() % knows.size()] = true;
  int rounds = 0;
  int count = 1;
  while (count < hosts) {
    ++rounds;
    const std::vector<bool> before = knows;
    const auto tell = [&](int target) {
      const auto index = static_cast<std::size_t>(target);
      count += knows[index] ? 0 : 1;
      knows[index] = true;
    };
    for (int host = 0; host < hosts; ++host) {
      if (!before[static_cast<std::size_t>(host)]) {
        continue;
      }
      const int first = host - host % kHostsInDomain;
      for (int i = first; i < std::min(hosts, first + kHostsInDomain); ++i) {
        tell(i);
      }
      for (int i = 0; i < kFanout; ++i) {
        tell(static_cast<int>(random() % knows.size()));
      }
    }
  }
  return rounds;
}

}  // namespace

std::vector<Slope> SpreadSlopes() {
  Slope rounds{"configuration: rounds until all hosts know (worst of 20)",
               "log2 of hosts",
               {},
               0,
               0,
               0};
  std::mt19937_64 random(1);
  constexpr int kTries = 20;
  constexpr int kRuns = 5;
  for (const int hosts : {9, 36, 144, 575, 2'300}) {
    std::vector<double> runs;
    for (int run = 0; run < kRuns; ++run) {
      int worst = 0;
      for (int i = 0; i < kTries; ++i) {
        worst = std::max(worst, RoundsToAll(hosts, random));
      }
      runs.push_back(worst);
    }
    rounds.points.push_back(PointOf(std::log2(hosts), runs));
  }
  return {Fitted(rounds)};
}

}  // namespace pathcleat
