// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <criterion/criterion.h>

#include <rapidcheck.h>
#include <cstdlib>
#include <string>
#include <utility>

namespace pathcleat {

/// @brief Checks a property with rapidcheck, always from the same seed; the
/// environment variable RC_PARAMS overrides it.
/// @return whether it held for all cases tried.
template <class Property>
bool Holds(const std::string& description, Property&& property) {
  constexpr int kKeepOthers = 0;
  setenv("RC_PARAMS", "seed=20261202 max_success=200", kKeepOthers);
  return rc::check(description, std::forward<Property>(property));
}

}  // namespace pathcleat
