// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/pool_router.hpp"

#include <algorithm>
#include <sstream>

namespace pathcleat {
namespace {

// Candidates whose expected times differ by less are taken as equal, and the
// choice among them is drawn by their free slots, so that hosts with the same
// reports do not all run to the same place.
constexpr Duration kEqualWithin{500};

Duration ExpectedTime(const RouteCandidate& candidate, Time now) {
  return candidate.network * 2 + CrowdingCost(candidate.view, now);
}

double ReportedLoad(const RouteCandidate& candidate) {
  const PoolLoad& load = candidate.view.load;
  const int busy = load.slots - load.free + load.waiting;
  return static_cast<double>(busy) / std::max(1, load.slots);
}

std::size_t DrawUniform(std::size_t count, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

std::size_t DrawByHeadroom(const std::vector<RouteCandidate>& candidates,
                           const std::vector<std::size_t>& among,
                           Time now,
                           std::mt19937_64& random) {
  constexpr double kLeastWeight = 0.01;
  std::vector<double> weights;
  weights.reserve(among.size());
  for (const std::size_t index : among) {
    const PoolView& view = candidates[index].view;
    weights.push_back(kLeastWeight + Headroom(view, now) * view.load.slots);
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return among[draw(random)];
}

std::size_t ByExpectedTime(const std::vector<RouteCandidate>& candidates,
                           Time now,
                           std::mt19937_64& random) {
  std::vector<Duration> expected;
  expected.reserve(candidates.size());
  for (const RouteCandidate& candidate : candidates) {
    expected.push_back(ExpectedTime(candidate, now));
  }
  const Duration best = *std::min_element(expected.begin(), expected.end());
  std::vector<std::size_t> among;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (expected[i] <= best + kEqualWithin) {
      among.push_back(i);
    }
  }
  return DrawByHeadroom(candidates, among, now, random);
}

template <class Less>
std::size_t IndexOfLeast(const std::vector<RouteCandidate>& candidates,
                         Less less) {
  const auto least =
      std::min_element(candidates.begin(), candidates.end(), less);
  return static_cast<std::size_t>(least - candidates.begin());
}

std::size_t ByPowerOfTwo(const std::vector<RouteCandidate>& candidates,
                         Time now,
                         std::mt19937_64& random) {
  const std::size_t a = DrawUniform(candidates.size(), random);
  const std::size_t b = DrawUniform(candidates.size(), random);
  const bool first_better =
      ExpectedTime(candidates[a], now) <= ExpectedTime(candidates[b], now);
  return first_better ? a : b;
}

std::size_t Choose(RoutePolicy policy,
                   const std::vector<RouteCandidate>& candidates,
                   Time now,
                   std::mt19937_64& random) {
  switch (policy) {
    case RoutePolicy::kRandom:
      return DrawUniform(candidates.size(), random);
    case RoutePolicy::kLeastReported:
      return IndexOfLeast(candidates, [](const auto& a, const auto& b) {
        return ReportedLoad(a) < ReportedLoad(b);
      });
    case RoutePolicy::kNearest:
      return IndexOfLeast(candidates, [](const auto& a, const auto& b) {
        return a.network < b.network;
      });
    case RoutePolicy::kPowerOfTwo:
      return ByPowerOfTwo(candidates, now, random);
    case RoutePolicy::kExpectedTime:
      break;
  }
  return ByExpectedTime(candidates, now, random);
}

std::string Explain(const std::vector<RouteCandidate>& candidates, Time now) {
  std::ostringstream text;
  for (const RouteCandidate& candidate : candidates) {
    const PoolView& view = candidate.view;
    text << " [" << candidate.target << ": network "
         << ToMilliseconds(candidate.network) << " ms, wait "
         << ToMilliseconds(ExpectedWait(view, now)) << " ms, free "
         << view.load.free << "/" << view.load.slots << ", waiting "
         << view.load.waiting << ", report "
         << ToMilliseconds(now - view.observed) << " ms old]";
  }
  return text.str();
}

}  // namespace

std::optional<RouteChoice> ChooseRoute(
    RoutePolicy policy,
    const std::vector<RouteCandidate>& candidates,
    Time now,
    std::mt19937_64& random,
    bool explain) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const RouteCandidate& chosen =
      candidates[Choose(policy, candidates, now, random)];
  RouteChoice choice;
  choice.target = chosen.target;
  choice.expected = ExpectedTime(chosen, now);
  choice.age = now - chosen.view.observed;
  if (explain) {
    choice.reason = Explain(candidates, now);
  }
  return choice;
}

}  // namespace pathcleat
