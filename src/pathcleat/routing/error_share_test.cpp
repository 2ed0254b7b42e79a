// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/error_share.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{std::chrono::hours(1)};
constexpr Duration kSecond{1'000'000};

Test(error_share, rises_with_errors_and_falls_with_successes_and_time) {
  ErrorShare share;
  cr_assert_float_eq(share.Value(kStart), 0, 1e-9);
  for (int i = 0; i < 20; ++i) {
    share.OnAnswer(true, kStart);
  }
  cr_assert_gt(share.Value(kStart), 0.95);
  cr_assert_lt(share.Value(kStart + 30 * kSecond), 0.1);
  for (int i = 0; i < 20; ++i) {
    share.OnAnswer(false, kStart);
  }
  cr_assert_lt(share.Value(kStart), 0.05);
}

}  // namespace
}  // namespace pathcleat
