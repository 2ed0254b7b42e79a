// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <criterion/criterion.h>

#include <rapidcheck.h>
#include <cstdlib>
#include <string>
#include <utility>

namespace pathcleat {

/// @brief Checks a property with rapidcheck, with a fixed seed unless the
/// environment variable RC_PARAMS is set.
/// @param cases number of generated cases.
/// @return whether the property held for all generated cases.
template <class Property>
bool Holds(const std::string& description,
           Property&& property,
           int cases = 200) {
  constexpr int kNoOverwrite = 0;
  const std::string params =
      "seed=20261202 max_success=" + std::to_string(cases);
  setenv("RC_PARAMS", params.c_str(), kNoOverwrite);
  return rc::check(description, std::forward<Property>(property));
}

}  // namespace pathcleat
