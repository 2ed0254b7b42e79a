// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <string>

#include "pathcleat/steer/seat_lease.hpp"

namespace pathcleat {

/// @brief Answer to reading an object; kConflict: there is none.
/// @ingroup platform
struct ObjectRead {
  StoreOutcome outcome = StoreOutcome::kUnreachable;
  std::string bytes;
};

/// @brief The platform's object store: whole objects by name.
/// @ingroup platform
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  virtual void ReadObject(const std::string& name,
                          std::function<void(ObjectRead)> callback) = 0;
  virtual void WriteObject(const std::string& name,
                           const std::string& bytes,
                           std::function<void(StoreOutcome)> callback) = 0;
};

}  // namespace pathcleat
