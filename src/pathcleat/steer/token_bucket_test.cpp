// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/token_bucket.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

// Guards against calls that were not made but still use up the rate, and
// against more returned tokens than one burst.
Test(token_bucket, released_tokens_can_be_acquired_again_up_to_the_burst) {
  const Time start{std::chrono::hours(1)};
  TokenBucket bucket(1, 1);
  cr_assert(bucket.TryAcquire(start));
  cr_assert_not(bucket.TryAcquire(start));
  bucket.Release(start);
  bucket.Release(start);
  cr_assert(bucket.TryAcquire(start));
  cr_assert_not(bucket.TryAcquire(start));
}

}  // namespace
}  // namespace pathcleat
