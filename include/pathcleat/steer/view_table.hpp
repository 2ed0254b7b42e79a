// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "pathcleat/core/index.hpp"
#include "pathcleat/steer/pool_view.hpp"

namespace pathcleat {

/// @brief One host's views of pools: reports as they came, and the host's own
/// sends counted on top. Keyed by target (a failure domain's or a seat's
/// index) and service. Not thread-safe.
/// @ingroup steer
class ViewTable {
 public:
  /// @brief A report arrived.
  /// @param observed when it was true, on this host's clock; a report older
  /// than the one kept is dropped.
  void OnReport(std::uint32_t target,
                ServiceIndex service,
                const PoolLoad& load,
                Time observed);

  /// @brief This host sends a request there.
  void OnSent(std::uint32_t target, ServiceIndex service);

  /// @brief One of this host's sends there has ended.
  void OnDone(std::uint32_t target, ServiceIndex service);

  /// @brief The view, or a null pointer if nothing was ever reported.
  const PoolView* Find(std::uint32_t target, ServiceIndex service) const;

 private:
  std::map<std::pair<std::uint32_t, ServiceIndex>, PoolView> views_;
};

}  // namespace pathcleat
