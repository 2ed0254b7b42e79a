// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/split_limit.hpp"

#include <numeric>

#include "property.hpp"

namespace pathcleat {
namespace {

// Part of the promise "no overload": hosts that know nothing of each other
// keep a region's or a link's limit by keeping their shares.
// Checked to fail when each share is taken of the whole limit and rounded.
Test(promise, shares_add_up_to_the_limit) {
  cr_assert(Holds("sum of shares == limit, each >= 0", [] {
    const int limit = *rc::gen::inRange(0, 10'000);
    const auto weights = *rc::gen::suchThat(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500)),
        [](const auto& w) {
          return std::accumulate(w.begin(), w.end(), 0) > 0;
        });
    const auto shares = SplitLimit(limit, weights);
    RC_ASSERT(std::accumulate(shares.begin(), shares.end(), 0) == limit);
    for (std::size_t i = 0; i < shares.size(); ++i) {
      RC_ASSERT(shares[i] >= 0);
      RC_ASSERT(weights[i] > 0 || shares[i] == 0);
    }
  }));
}

}  // namespace
}  // namespace pathcleat
