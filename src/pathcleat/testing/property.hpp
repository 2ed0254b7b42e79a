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
/// @param cases number of cases tried.
/// @return whether it held for all cases tried.
template <class Property>
bool Holds(const std::string& description,
           Property&& property,
           int cases = 200) {
  constexpr int kKeepOthers = 0;
  const std::string params =
      "seed=20261202 max_success=" + std::to_string(cases);
  setenv("RC_PARAMS", params.c_str(), kKeepOthers);
  return rc::check(description, std::forward<Property>(property));
}

}  // namespace pathcleat
