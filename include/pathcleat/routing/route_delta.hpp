// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pathcleat/routing/route.hpp"

namespace pathcleat {

/// @brief Hashes of the routes of one version, in their order. Equal routes
/// have equal marks on every host.
/// @ingroup routing
using RouteMarks = std::vector<std::uint64_t>;

/// @brief The marks of a list of routes.
/// @ingroup routing
RouteMarks MarksOf(const std::vector<Route>& routes);

/// @brief One hash of all marks, to check a list that was put together.
/// @ingroup routing
std::uint64_t DigestOf(const RouteMarks& marks);

/// @brief A part of a new list of routes: some of the old list in their
/// order, then some that the old list lacks.
/// @ingroup routing
struct RouteStep {
  std::uint32_t first = 0;  ///< place in the old list
  std::uint32_t count = 0;  ///< routes taken from there
  std::vector<Route> added;
};

/// @brief What makes a new list of routes of an old one, of which only the
/// marks are known.
/// @ingroup routing
std::vector<RouteStep> StepsBetween(const RouteMarks& old_marks,
                                    const std::vector<Route>& routes,
                                    const RouteMarks& marks);

/// @brief The new list.
/// @param digest of the new list's marks.
/// @return nothing if the steps do not lead to it from this old list.
/// @ingroup routing
std::optional<std::vector<Route>> ApplySteps(
    const std::vector<Route>& old_routes,
    const std::vector<RouteStep>& steps,
    std::uint64_t digest);

}  // namespace pathcleat
