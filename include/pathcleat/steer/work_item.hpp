// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/index.hpp"
#include "pathcleat/core/request_id.hpp"
#include "pathcleat/core/request_kind.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A request as the owner's scheduling sees it.
/// @ingroup steer
struct WorkItem {
  RequestId id;
  ServiceIndex service;
  Priority priority = Priority::kLookup;
  Time deadline;  ///< on this host's clock
};

}  // namespace pathcleat
