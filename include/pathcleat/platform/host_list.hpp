// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "pathcleat/steer/seat_lease.hpp"

namespace pathcleat {

/// @brief Upstreams that the platform's host list says are leaving. The list
/// lags, so an entry adds to what is known and its absence proves nothing.
/// @ingroup platform
struct HostListAnswer {
  StoreOutcome outcome = StoreOutcome::kUnreachable;
  std::vector<std::string> leaving;
};

/// @brief The platform's list of live and leaving hosts.
/// @ingroup platform
class HostList {
 public:
  virtual ~HostList() = default;
  virtual void ReadHosts(std::function<void(HostListAnswer)> callback) = 0;
};

}  // namespace pathcleat
