// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "pathcleat/core/index.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/steer/pool_view.hpp"

namespace pathcleat {

/// @brief One place a request could be sent to.
/// @ingroup steer
struct RouteCandidate {
  std::uint32_t target = 0;  ///< a failure domain's or a seat's index
  Duration network{0};       ///< one-way latency to it
  PoolView view;
};

/// @brief Ways to choose among candidates. kExpectedTime ships; the others
/// are the baselines of the measurements.
/// @ingroup steer
enum class RoutePolicy {
  kExpectedTime,   ///< least network time plus expected wait
  kRandom,         ///< uniform
  kLeastReported,  ///< least reported load, believed whatever its age
  kNearest,        ///< least latency only
  kPowerOfTwo,     ///< better of two drawn at random (Mitzenmacher, 2001)
};

/// @brief A choice and why it was made.
/// @ingroup steer
struct RouteChoice {
  std::uint32_t target = 0;
  Duration expected{0};  ///< network both ways plus wait
  Duration age{0};       ///< of the report it rests on
  std::string reason;    ///< the alternatives with their figures
};

/// @brief Chooses where to send one request.
/// @param candidates usable places; empty gives no choice.
/// @param explain whether to fill the reason.
/// @ingroup steer
std::optional<RouteChoice> ChooseRoute(
    RoutePolicy policy,
    const std::vector<RouteCandidate>& candidates,
    Time now,
    std::mt19937_64& random,
    bool explain);

}  // namespace pathcleat
